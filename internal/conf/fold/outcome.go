package fold

// Status says what became of a change.
type Status int

// The states of a change.
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

// Outcome is what became of one change. It is kept for a window of changes,
// so that any daemon answers for any id.
type Outcome struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Status Status `json:"status"`
	// Digest is that of the record's body, it tells a repetition from another
	// change under the same id.
	Digest uint64 `json:"digest"`
	// Winner and WinnerOffset name the change that a conflict was lost to.
	Winner       string `json:"winner,omitempty"`
	WinnerOffset int64  `json:"winner_offset,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Result is the result of applying one record.
type Result struct {
	Status Status
	// Changed says that a new configuration is in force.
	Changed bool
	Outcome Outcome
}

// HistoryEntry is one line of the history of changes.
type HistoryEntry struct {
	Outcome Outcome `json:"outcome"`
	Author  string  `json:"author"`
	AtMS    float64 `json:"at_ms"`
	Subject string  `json:"subject"`
	// Service is empty for what concerns the whole fleet.
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason,omitempty"`
}
