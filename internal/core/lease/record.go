// Package lease decides which daemon holds a duty, from a log in the store. Every append
// names the end of the log that its writer knows, so the order of the log alone says who
// holds the duty. The package reads no clock and performs no calls.
package lease

import (
	"encoding/json"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// recordKey is the key of the lease record. Entries of the work have other keys.
const recordKey = "lease"

// Record is the lease record of a duty.
type Record struct {
	// Holder identifies a process, empty if there never was a holder.
	Holder string `json:"holder"`
	// Token is the fencing token, which rises with each holder.
	Token int64 `json:"token"`
	// Released is set when the holder gave up the duty.
	Released bool `json:"released,omitempty"`
	// Era is the era of the store in which the record was written. A record of an earlier
	// era is void: later ones may have been lost.
	Era int64 `json:"era,omitempty"`
	// Since is the true time from which the log is complete, zero if it always was.
	Since clock.Milli `json:"since,omitempty"`
}

// entry is the stored form of an entry that the work of a duty appends. It is void in another
// era, as a lease record is.
type entry struct {
	Era  int64           `json:"era,omitempty"`
	Body json.RawMessage `json:"body"`
}

// encode returns the JSON form of a value of this package, which can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
