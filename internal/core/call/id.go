// Package call holds the types that describe a call on its way from a caller
// to an upstream.
package call

import (
	"encoding/hex"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// IDSize is the length of a request id in bytes.
const IDSize = 16

// ID identifies one request of a caller.
type ID [IDSize]byte

// NewID returns a random id from r.
func NewID(r *rand.Rand) ID {
	var id ID
	a, b := r.Uint64(), r.Uint64()
	for i := range 8 {
		id[i] = byte(a >> (8 * i))
		id[8+i] = byte(b >> (8 * i))
	}
	return id
}

// ParseID parses the hexadecimal form of an id.
func ParseID(s string) (ID, error) {
	var id ID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != IDSize {
		return id, errors.Errorf("request id %q is not %d hexadecimal bytes", s, IDSize)
	}
	copy(id[:], b)
	return id, nil
}

// IDFromBytes converts b, which must be IDSize bytes long, to an id.
func IDFromBytes(b []byte) (ID, error) {
	var id ID
	if len(b) != IDSize {
		return id, errors.Errorf("request id has %d bytes, want %d", len(b), IDSize)
	}
	copy(id[:], b)
	return id, nil
}

// String returns the hexadecimal form, which ParseID accepts.
func (i ID) String() string {
	return hex.EncodeToString(i[:])
}
