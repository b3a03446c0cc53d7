package entry

import (
	"bytes"
	"io"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// body is the request body of a caller. A small one is read whole before the
// first attempt; of a large one only the beginning is held until a guard has
// admitted the call.
type body struct {
	head     []byte
	complete bool
	rest     io.Reader
	length   int64
	// sent is set once a part that can't be sent again has left.
	sent bool
}

func readBody(hr *http.Request) (*body, error) {
	b := &body{rest: hr.Body, length: hr.ContentLength}
	if hr.Body == nil || hr.Body == http.NoBody || hr.ContentLength == 0 {
		b.complete = true
		return b, nil
	}
	if hr.ContentLength > link.MaxInlineBytes {
		return b, nil
	}
	head, err := io.ReadAll(io.LimitReader(hr.Body, link.MaxInlineBytes))
	if err != nil {
		return nil, err
	}
	b.head = head
	b.complete = len(head) < link.MaxInlineBytes || int64(len(head)) == hr.ContentLength
	if b.complete {
		b.length = int64(len(head))
	}
	return b, nil
}

// stream sends the part of the body that was not in CallStart.
func (b *body) stream(st *link.Stream) error {
	src := io.MultiReader(bytes.NewReader(b.head), b.rest)
	buf := make([]byte, link.MaxChunkBytes)
	for {
		n, err := src.Read(buf)
		last := err == io.EOF
		if err != nil && !last {
			return err
		}
		if n == 0 && !last {
			continue
		}
		f := &wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: &wire.BodyChunk{Data: buf[:n], Last: last}}}
		if err := st.Send(f); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}
