package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
)

const (
	// firstBlockBytes is the size of the first block of a body of unknown length, and
	// blockBytes that of all others.
	firstBlockBytes = 4 << 10
	blockBytes      = 16 << 10
)

// errNoRoom says that there is no room for more of a body.
var errNoRoom = errors.New("no room for the request body")

// blocks holds bytes in blocks that are charged before they are allocated. They cost the same
// however small the pieces are in which the bytes arrive.
type blocks struct {
	list [][]byte
	size int
}

// readFrom reads the body up to its end or limit bytes.
func (b *blocks) readFrom(httpReq *http.Request, limit int64, account *charge.Account) error {
	for int64(b.size) < limit && int64(b.size) != httpReq.ContentLength {
		block, err := b.grow(httpReq, limit, account)
		if err != nil {
			return err
		}
		n, err := readBlock(httpReq.Body, block, account)
		b.list = append(b.list, block[:n])
		b.size += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow allocates the next block.
func (b *blocks) grow(httpReq *http.Request, limit int64, account *charge.Account) ([]byte, error) {
	size := min(blockBytes, limit-int64(b.size))
	switch {
	case httpReq.ContentLength > 0:
		size = min(size, httpReq.ContentLength-int64(b.size))
	case b.size == 0:
		size = min(size, firstBlockBytes)
	}
	if !account.Take(httpReq.Context(), memory.Body, size) {
		return nil, errNoRoom
	}
	return make([]byte, size), nil
}

// readBlock fills the block unless the body ends before.
func readBlock(src io.Reader, block []byte, account *charge.Account) (n int, err error) {
	for n < len(block) && err == nil {
		var m int
		m, err = src.Read(block[n:])
		n += m
		account.Progress(m)
	}
	return n, err
}

// contiguous returns the bytes in one piece.
func (b *blocks) contiguous() []byte {
	if len(b.list) == 1 {
		return b.list[0]
	}
	return bytes.Join(b.list, nil)
}

// reader returns a reader of the bytes.
func (b *blocks) reader() io.Reader {
	readers := make([]io.Reader, len(b.list))
	for i, block := range b.list {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}
