package fold

import (
	"fmt"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// evaluateVerdict sets the outcome of a verdict, which ends a version move. The
// first valid verdict in the log wins.
func (s *State) evaluateVerdict(p *pendingChange, r applog.Record) {
	o := &p.historyEntry.Outcome
	v, err := shift.ParseVerdict(r.Body)
	if err != nil {
		o.Status, o.Detail = StatusRefused, err.Error()
		return
	}
	p.historyEntry.Subject, p.historyEntry.Reason = string(v.Ruling)+" of "+v.Move, v.Evidence
	p.next = cloneConfig(s.data.Config)
	if refusal := applyVerdict(p.next, &v); refusal != "" {
		o.Status, o.Detail = StatusRefused, refusal
		// A verdict on a move that has already ended conflicts with the one that
		// ended it.
		if t, ok := s.data.LastChanges["verdict "+v.Move]; ok {
			o.Status, o.Winner, o.WinnerOffset = StatusConflict, t.ID, t.Offset
		}
		return
	}
	o.Status = StatusAccepted
	p.conflictKeys = []string{"exception " + v.Move, "verdict " + v.Move}
}

// applyVerdict applies a verdict to next. It returns the reason for a refusal,
// or "".
func applyVerdict(next *policy.Config, v *shift.Verdict) string {
	i := slices.IndexFunc(next.Exceptions, func(x policy.Exception) bool { return x.ID == v.Move && x.Move != nil })
	switch {
	case i < 0:
		return fmt.Sprintf("version move %q does not exist", v.Move)
	case next.Exceptions[i].Revision != v.Revision:
		return fmt.Sprintf("version move %q has revision %d, not %d", v.Move, next.Exceptions[i].Revision, v.Revision)
	case !shift.ApplyVerdict(&next.Exceptions[i], v):
		return fmt.Sprintf("version move %q is settled", v.Move)
	default:
		return ""
	}
}
