package fold

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// The verdicts on a version move.
const (
	VerdictTakenBack = "taken_back"
	VerdictDone      = "done"
)

// Verdict settles a version move. The first valid one in the log wins.
type Verdict struct {
	Move string `json:"move"`
	// Revision is that of the move's exception, so that a verdict on an older
	// form of the move does not settle a changed one.
	Revision int64  `json:"revision"`
	Verdict  string `json:"verdict"`
	Evidence string `json:"evidence"`
}

// NewVerdict returns the record for a verdict. Its id is the same at every
// daemon that comes to the same verdict, so that several appends of it take
// effect once.
func NewVerdict(v Verdict, base int64, author string, at float64) (applog.Record, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return applog.Record{}, errors.Wrap(err, "encode verdict")
	}
	id := fmt.Sprintf("verdict-%s-%d-%s", v.Move, v.Revision, v.Verdict)
	return applog.Record{ID: id, Kind: applog.KindVerdict, Base: base, At: at, Author: author, Body: body}, nil
}

func (s *State) verdict(e *edit, r applog.Record) {
	o := &e.entry.Outcome
	var v Verdict
	if err := json.Unmarshal(r.Body, &v); err != nil {
		o.Status, o.Detail = StatusRefused, "verdict is not valid JSON: "+err.Error()
		return
	}
	e.entry.Subject, e.entry.Reason = v.Verdict+" of "+v.Move, v.Evidence
	e.next = clone(s.d.Config)
	if refusal := settle(e.next, v); refusal != "" {
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

func settle(next *policy.Config, v Verdict) string {
	i := slices.IndexFunc(next.Exceptions, func(x policy.Exception) bool { return x.ID == v.Move && x.Move != nil })
	switch {
	case i < 0:
		return fmt.Sprintf("version move %q does not exist", v.Move)
	case next.Exceptions[i].Revision != v.Revision:
		return fmt.Sprintf("version move %q has revision %d, not %d", v.Move, next.Exceptions[i].Revision, v.Revision)
	case next.Exceptions[i].Move.TakenBack || next.Exceptions[i].Move.Done:
		return fmt.Sprintf("version move %q is settled", v.Move)
	case v.Verdict != VerdictTakenBack && v.Verdict != VerdictDone:
		return fmt.Sprintf("verdict %q is not one of taken_back, done", v.Verdict)
	}
	m := *next.Exceptions[i].Move
	m.TakenBack = v.Verdict == VerdictTakenBack
	m.Done = v.Verdict == VerdictDone
	m.Evidence = v.Evidence
	next.Exceptions[i].Move = &m
	return ""
}
