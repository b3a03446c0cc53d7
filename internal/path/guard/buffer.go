package guard

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxBufferedResponseBytes is the size up to which a response is buffered before
// it is forwarded.
const maxBufferedResponseBytes = 256 << 10

// bufferResponse reads a response body up to its end or maxBufferedResponseBytes.
// The returned reader reads the whole body, including any part not yet received.
func bufferResponse(resp *http.Response) (io.Reader, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		// With less, the buffer grows once more to see the end.
		buf.Grow(int(min(resp.ContentLength, maxBufferedResponseBytes)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, maxBufferedResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "response truncated after %d bytes", n)
	}
	if n < maxBufferedResponseBytes {
		return &buf, nil
	}
	return io.MultiReader(&buf, resp.Body), nil
}
