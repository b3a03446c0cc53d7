package fold

import (
	"fmt"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// verdict settles a version move. The first valid one in the log wins.
func (s *State) verdict(e *edit, r applog.Record) {
	o := &e.entry.Outcome
	v, err := shift.ParseVerdict(r.Body)
	if err != nil {
		o.Status, o.Detail = StatusRefused, err.Error()
		return
	}
	e.entry.Subject, e.entry.Reason = string(v.Ruling)+" of "+v.Move, v.Evidence
	e.next = clone(s.d.Config)
	if refusal := settle(e.next, &v); refusal != "" {
		o.Status, o.Detail = StatusRefused, refusal
		// A verdict that came too late loses to the one that settled the move.
		if t, ok := s.d.Touched["verdict "+v.Move]; ok {
			o.Status, o.Winner, o.WinnerOffset = StatusConflict, t.ID, t.Offset
		}
		return
	}
	o.Status = StatusAccepted
	e.keys = []string{"exception " + v.Move, "verdict " + v.Move}
}

// settle applies a verdict or says why it does not count.
func settle(next *policy.Config, v *shift.Verdict) string {
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
