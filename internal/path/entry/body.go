package entry

import (
	"io"
	"net/http"
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
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
	buffered blocks
	// account is charged for buffered and for what is read later.
	account *charge.Account
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

func readBody(httpReq *http.Request, maxBuffered int64, account *charge.Account) (*requestBody, error) {
	b := &requestBody{unbuffered: httpReq.Body, contentLength: httpReq.ContentLength, httpReq: httpReq, account: account}
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
	account.Expect(0)
	defer account.SetAwaitsRemote(false)
	if err := b.buffered.readFrom(httpReq, maxBuffered, account); err != nil {
		return b, err
	}
	size := int64(b.buffered.size)
	b.complete = size < maxBuffered || size == httpReq.ContentLength
	if b.complete {
		b.contentLength = size
	}
	return b, nil
}

// fitsInline reports whether the body is sent in the CallStart message. A larger
// one is sent only after the guard has admitted the call.
func (b *requestBody) fitsInline(limit int) bool {
	return b.complete && b.buffered.size <= limit
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
	if !b.complete {
		if !b.account.Take(b.httpReq.Context(), memory.Body, link.MaxChunkBytes) {
			return errNoRoom
		}
		b.account.Expect(0)
	}
	src := io.MultiReader(b.buffered.reader(), b.unbuffered)
	buf := make([]byte, link.MaxChunkBytes)
	for {
		n, err := src.Read(buf)
		b.account.Progress(n)
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
		// The guard's reads are not the caller's progress.
		b.account.SetAwaitsRemote(false)
		if err := st.Send(&wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: chunk}}); err != nil {
			return err
		}
		if last {
			return nil
		}
		b.account.SetAwaitsRemote(!b.complete)
	}
}
