package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// body is the request body of a caller. One of moderate size is read whole
// before the first attempt; of a larger one only the beginning is held until a
// guard has admitted the call.
type body struct {
	head     []byte
	complete bool
	rest     io.Reader
	length   int64
	// sent is set once a part that can't be sent again has left.
	sent bool
	// done is set when the caller's body was read to its end.
	done atomic.Bool
	// trailers are the announced names; source has their values once the body
	// was read.
	trailers []string
	source   *http.Request
}

func readBody(hr *http.Request, held int64) (*body, error) {
	b := &body{rest: hr.Body, length: hr.ContentLength, source: hr}
	for name := range hr.Trailer {
		b.trailers = append(b.trailers, name)
	}
	if hr.Body == nil || hr.Body == http.NoBody || hr.ContentLength == 0 {
		b.complete = true
		return b, nil
	}
	// Trailers travel with the last chunk, so such a body is never inline.
	if hr.ContentLength > held || len(b.trailers) > 0 {
		return b, nil
	}
	head, err := io.ReadAll(io.LimitReader(hr.Body, held))
	if err != nil {
		return nil, err
	}
	b.head = head
	b.complete = int64(len(head)) < held || int64(len(head)) == hr.ContentLength
	if b.complete {
		b.length = int64(len(head))
	}
	return b, nil
}

// inline reports whether the body travels with the start of the call. A larger
// one is sent only to a guard that has admitted the call.
func (b *body) inline(limit int) bool {
	return b.complete && len(b.head) <= limit
}

// unread reports whether a part of the body may still be in the connection. The
// server can't read another request from such a connection.
func (b *body) unread() bool {
	return b != nil && !b.complete && !b.done.Load()
}

// stream sends the part of the body that was not in CallStart.
func (b *body) stream(st *link.Stream) error {
	src := io.MultiReader(bytes.NewReader(b.head), b.rest)
	buf := make([]byte, link.MaxChunkBytes)
	for {
		n, err := src.Read(buf)
		last := err == io.EOF
		if last {
			b.done.Store(true)
		}
		if err != nil && !last {
			return err
		}
		if n == 0 && !last {
			continue
		}
		chunk := &wire.BodyChunk{Data: buf[:n], Last: last}
		if last && len(b.trailers) > 0 {
			chunk.Trailers = header.Encode(b.source.Trailer)
		}
		if err := st.Send(&wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: chunk}}); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}
