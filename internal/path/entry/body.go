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

// requestBody is the request body of a caller. Before the first attempt, a body
// shorter than Entry.maxBufferedBytes is read completely, and the first
// maxBufferedBytes of a larger body of unknown length are read. A larger body of
// known length, or one with trailers, is read only after a guard has admitted the
// call.
type requestBody struct {
	buffered []byte
	// complete is set if buffered contains the whole body.
	complete bool
	// unbuffered reads the part of the body that follows buffered.
	unbuffered io.Reader
	// contentLength is -1 if unknown.
	contentLength int64
	// streamed is set when the body is about to be read from the caller and
	// sent to a guard, after which it can't be sent again.
	streamed bool
	// readToEnd is set when streamTo has read the caller's body to its end.
	readToEnd atomic.Bool
	// trailerNames are the names of the announced trailers. httpReq has their
	// values after the body was read to its end.
	trailerNames []string
	httpReq      *http.Request
}

func readBody(httpReq *http.Request, maxBuffered int64) (*requestBody, error) {
	b := &requestBody{unbuffered: httpReq.Body, contentLength: httpReq.ContentLength, httpReq: httpReq}
	for name := range httpReq.Trailer {
		b.trailerNames = append(b.trailerNames, name)
	}
	if httpReq.Body == nil || httpReq.Body == http.NoBody || httpReq.ContentLength == 0 {
		b.complete = true
		return b, nil
	}
	// Trailers are sent with the last chunk, so a body with trailers is never
	// sent inline.
	if httpReq.ContentLength > maxBuffered || len(b.trailerNames) > 0 {
		return b, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(httpReq.Body, maxBuffered))
	if err != nil {
		return nil, err
	}
	b.buffered = prefix
	b.complete = int64(len(prefix)) < maxBuffered || int64(len(prefix)) == httpReq.ContentLength
	if b.complete {
		b.contentLength = int64(len(prefix))
	}
	return b, nil
}

// fitsInline reports whether the body is sent in the CallStart message. A larger
// one is sent only after the guard has admitted the call.
func (b *requestBody) fitsInline(limit int) bool {
	return b.complete && len(b.buffered) <= limit
}

// mayHaveUnreadData reports whether a part of the body may still be unread on the
// caller's connection. The server can't read another request from such a
// connection.
func (b *requestBody) mayHaveUnreadData() bool {
	return b != nil && !b.complete && !b.readToEnd.Load()
}

// streamTo sends the whole body in chunks. It is used if the CallStart message did
// not contain the body.
func (b *requestBody) streamTo(st *link.Stream) error {
	src := io.MultiReader(bytes.NewReader(b.buffered), b.unbuffered)
	buf := make([]byte, link.MaxChunkBytes)
	for {
		n, err := src.Read(buf)
		last := err == io.EOF
		if last {
			b.readToEnd.Store(true)
		}
		if err != nil && !last {
			return err
		}
		if n == 0 && !last {
			continue
		}
		chunk := &wire.BodyChunk{Data: buf[:n], Last: last}
		if last && len(b.trailerNames) > 0 {
			chunk.Trailers = header.Encode(b.httpReq.Trailer)
		}
		if err := st.Send(&wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: chunk}}); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}
