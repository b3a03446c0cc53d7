package usage

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Timing has the times of windows and their reports.
type Timing struct {
	// Length is the length of a window.
	Length clock.Milli
	// Due is how long after the end of a window its report is due.
	Due clock.Milli
	// Tolerance is the tolerated relative error of a count.
	Tolerance float64
}

const (
	// settleDelay is how long after the end of a window its counts are collected: clocks
	// differ a little, and requests that the upstream refuses are taken back.
	settleDelay = 500 * clock.Millisecond
	// dueReserve is the part of the time until the report is due that is left for sending it.
	dueReserve = 0.35
	// missingShare is the part of the tolerance that missing guards may take, as they fall
	// unevenly on workspaces.
	missingShare = 0.5
)

//go:generate ../../../bin/stringer -type Verdict -linecomment -output verdict_string.go

// Verdict is what the holder does about a window.
type Verdict uint8

// The verdicts.
const (
	// VerdictWait leaves the window until the next decision.
	VerdictWait Verdict = iota // wait
	// VerdictSettle stores the counts of the window in the log of the duty.
	VerdictSettle // settle
	// VerdictSend reports the stored counts to the platform.
	VerdictSend // send
	// VerdictMiss ends the window without a report.
	VerdictMiss // miss
	// VerdictDone ends the window, which was reported or had no guards.
	VerdictDone // done
)

//go:generate ../../../bin/stringer -type Reason -linecomment -output reason_string.go

// Reason says why a window is missed.
type Reason uint8

// The reasons.
const (
	ReasonNone          Reason = iota // none
	ReasonRestored                    // store_restored
	ReasonCountsMissing               // counts_missing
	ReasonNotSettled                  // not_settled
	ReasonNotAccepted                 // not_accepted
)

// State is the state of a window at the holder.
type State struct {
	// Settled is set if the log has the counts of the window.
	Settled bool
	// Accepted is set once the platform accepted the report from this holder.
	Accepted bool
	// Complete is the true time since which the log is complete.
	Complete clock.Milli
	// Collecting is set while a new holder waits for the first answers of the guards.
	Collecting bool
	Coverage   Coverage
}

// First returns the first window whose report is not due yet.
func (t Timing) First(now clock.Milli) int64 {
	return int64((now - t.Due) / t.Length)
}

// Start returns the start of a window.
func (t Timing) Start(window int64) clock.Milli {
	return clock.Milli(window) * t.Length
}

// CollectAt returns when the counts of a window are collected.
func (t Timing) CollectAt(window int64) clock.Milli {
	return t.Start(window+1) + settleDelay
}

// Decide returns what to do about a window, and for VerdictMiss the reason.
func (t Timing) Decide(now clock.Milli, window int64, s State) (Verdict, Reason) {
	due := t.Start(window+1) + t.Due
	switch {
	case s.Accepted:
		return VerdictDone, ReasonNone
	case s.Settled && now < due:
		return VerdictSend, ReasonNone
	case !s.Settled && s.Coverage.Guards == 0:
		return VerdictDone, ReasonNone
	case s.Settled:
		return VerdictMiss, ReasonNotAccepted
	case t.Start(window) < s.Complete:
		return VerdictMiss, ReasonRestored
	case now < t.CollectAt(window):
		return VerdictWait, ReasonNone
	case now >= due:
		return VerdictMiss, ReasonNotSettled
	case s.Coverage.Missing == 0:
		return VerdictSettle, ReasonNone
	case s.Collecting, now < due-dueReserve*t.Due:
		return VerdictWait, ReasonNone
	case s.Coverage.Missing <= missingShare*t.Tolerance:
		return VerdictSettle, ReasonNone
	default:
		return VerdictMiss, ReasonCountsMissing
	}
}
