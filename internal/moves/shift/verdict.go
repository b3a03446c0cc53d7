package shift

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Ruling is the final outcome of a version move.
type Ruling string

// The possible rulings: the new version is taken back or adopted.
const (
	RulingTakenBack Ruling = "taken_back"
	RulingDone      Ruling = "done"
)

// Verdict is the body of a log record of kind verdict.
type Verdict struct {
	Move string `json:"move"`
	// Revision is the revision of the exception. It excludes verdicts on an
	// earlier move with the same id.
	Revision int64       `json:"revision"`
	Ruling   Ruling      `json:"verdict"`
	Judge    string      `json:"judge"`
	At       clock.Milli `json:"at_ms"`
	Evidence string      `json:"evidence"`
}

// ErrInvalidVerdict is returned for a record body that is not a valid verdict.
var ErrInvalidVerdict = errors.New("invalid verdict")

// Record returns the log record of a verdict, based on the given revision. The
// record id is the same for all judges, so only one of their records takes
// effect.
func (v *Verdict) Record(base int64) (applog.Record, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return applog.Record{}, errors.Wrapf(err, "encode verdict on %s", v.Move)
	}
	return applog.Record{
		ID:           fmt.Sprintf("verdict-%s-%d-%s", v.Move, v.Revision, v.Ruling),
		Kind:         applog.KindVerdict,
		BaseRevision: base,
		AtMS:         float64(v.At),
		Author:       v.Judge,
		Body:         b,
	}, nil
}

// ParseVerdict decodes and validates the body of a log record. Errors wrap
// ErrInvalidVerdict.
func ParseVerdict(body []byte) (Verdict, error) {
	var v Verdict
	if err := json.Unmarshal(body, &v); err != nil {
		return v, errors.Wrap(ErrInvalidVerdict, err.Error())
	}
	switch {
	case v.Move == "":
		return v, errors.Wrap(ErrInvalidVerdict, "no move is named")
	case v.Ruling != RulingTakenBack && v.Ruling != RulingDone:
		return v, errors.Wrapf(ErrInvalidVerdict, "unknown ruling %q", v.Ruling)
	case v.Evidence == "":
		return v, errors.Wrap(ErrInvalidVerdict, "no evidence is given")
	}
	return v, nil
}

// ApplyVerdict applies a verdict to the exception of its move and reports
// whether it took effect. Only the first valid verdict in log order does. It
// replaces e.Move, so e must not be shared.
func ApplyVerdict(e *policy.Exception, v *Verdict) bool {
	m := e.Move
	if m == nil || m.TakenBack || m.Done || v.Move != m.ID || v.Revision != e.Revision {
		return false
	}
	settled := *m
	switch v.Ruling {
	case RulingTakenBack:
		settled.TakenBack = true
	case RulingDone:
		settled.Done = true
	default:
		return false
	}
	settled.Evidence = v.Evidence
	e.Move = &settled
	return true
}
