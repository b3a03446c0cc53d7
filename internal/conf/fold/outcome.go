package fold

// Status is the result of a change or of another record.
type Status int

// The values of Status. A change is accepted; in conflict with another change that
// was accepted first; refused as invalid; or a duplicate of an earlier one with the
// same id. Noted records do not change the configuration. Records with StatusOld or
// StatusGap arrived out of order and were not applied.
//
//go:generate ../../../bin/stringer -type Status -linecomment -output status_string.go
const (
	StatusUnknown   Status = iota // unknown
	StatusAccepted                // accepted
	StatusConflict                // conflict
	StatusRefused                 // refused
	StatusDuplicate               // duplicate
	StatusNoted                   // noted
	StatusOld                     // old
	StatusGap                     // gap
)

// Outcome is the result of one change. The last OutcomeWindow outcomes are part
// of the state, so that every daemon can answer queries by change id.
type Outcome struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Status Status `json:"status"`
	// Digest is the hash of the record's body. It distinguishes a repeated change
	// from another change with the same id.
	Digest uint64 `json:"digest"`
	// Winner and WinnerOffset identify the change that was accepted instead, if
	// the status is StatusConflict.
	Winner       string `json:"winner,omitempty"`
	WinnerOffset int64  `json:"winner_offset,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Result is the result of applying one record.
type Result struct {
	Status Status
	// ConfigChanged is true if the record produced a new configuration.
	ConfigChanged bool
	// Outcome is that of the change; zero if the record is not a change or was
	// not applied.
	Outcome Outcome
}

// HistoryEntry describes one change in the history.
type HistoryEntry struct {
	Outcome Outcome `json:"outcome"`
	Author  string  `json:"author"`
	AtMS    float64 `json:"at_ms"`
	Subject string  `json:"subject"`
	// Service is empty if the change affects the whole fleet.
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason,omitempty"`
}
