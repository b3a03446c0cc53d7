package guard

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxWhole bounds the part of a response that is held back until its end.
const maxWhole = 256 << 10

// readWhole reads a response up to its end or maxWhole. The returned reader has
// all of it.
func readWhole(resp *http.Response) (io.Reader, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(min(resp.ContentLength, maxWhole)))
	}
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, maxWhole))
	if err != nil {
		return nil, errors.Wrapf(err, "response broke off after %d bytes", n)
	}
	if n < maxWhole {
		return &buf, nil
	}
	return io.MultiReader(&buf, resp.Body), nil
}
