package fold

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Apply folds the record at an offset. Records must come in offset order: one
// that was applied already is old, one after a missing offset is a gap, and
// neither changes the state.
func (s *State) Apply(offset int64, r applog.Record) Result {
	switch {
	case offset <= s.d.Applied:
		return Result{Status: StatusOld}
	case offset > s.d.Applied+1:
		return Result{Status: StatusGap}
	}
	s.d.Applied = offset
	s.d.Digest = DigestOf(r)
	switch r.Kind {
	case applog.KindAnnounce, applog.KindLeave:
		s.announce(offset, r)
		return Result{Status: StatusNoted}
	case applog.KindChange, applog.KindWithdraw, applog.KindVerdict:
		return s.change(offset, r)
	default:
		// Snapshots, and kinds of later versions, change nothing.
		return Result{Status: StatusNoted}
	}
}

// edit is a change that was checked against the state.
type edit struct {
	entry HistoryEntry
	// keys are what the change touches; two changes conflict if they share one
	// and neither was based on the other.
	keys []string
	next *policy.Config
}

func (s *State) change(offset int64, r applog.Record) Result {
	if first, ok := s.Outcome(r.ID); ok {
		return Result{Status: StatusDuplicate, Outcome: first}
	}
	e := edit{entry: HistoryEntry{
		Outcome: Outcome{ID: r.ID, Offset: offset, Digest: xxhash.Sum64(r.Body)},
		Author:  r.Author,
		AtMS:    r.AtMS,
	}}
	s.decide(&e, offset, r)
	o := e.entry.Outcome
	if o.Status == StatusAccepted {
		e.next.Revision = offset
		s.d.Config = e.next
		for _, k := range e.keys {
			s.d.Touched[k] = touch{Offset: offset, ID: r.ID}
		}
	}
	s.remember(e.entry)
	return Result{Status: o.Status, Changed: o.Status == StatusAccepted, Outcome: o}
}

func (s *State) decide(e *edit, offset int64, r applog.Record) {
	o := &e.entry.Outcome
	if r.BaseRevision < s.d.Floor || r.BaseRevision >= offset {
		o.Status = StatusRefused
		o.Detail = fmt.Sprintf("based on revision %d, want one from %d to %d", r.BaseRevision, s.d.Floor, offset-1)
		return
	}
	if r.Kind == applog.KindVerdict {
		s.verdict(e, r)
		return
	}
	d, err := policy.Parse(r.ID, r.Body)
	if err != nil {
		o.Status, o.Detail = StatusRefused, err.Error()
		return
	}
	if (d.Kind == policy.DocumentWithdrawal) != (r.Kind == applog.KindWithdraw) {
		o.Status, o.Detail = StatusRefused, fmt.Sprintf("a %s document in a %s record", d.Kind, r.Kind)
		return
	}
	e.next = clone(s.d.Config)
	refusal := s.edit(e, offset, r, d)
	if w, lost := s.conflict(e.keys, r.BaseRevision); lost {
		o.Status, o.Winner, o.WinnerOffset = StatusConflict, w.ID, w.Offset
		o.Detail = fmt.Sprintf("change %s at revision %d was accepted first", w.ID, w.Offset)
		return
	}
	if refusal != "" {
		o.Status, o.Detail = StatusRefused, refusal
		return
	}
	o.Status = StatusAccepted
}

// conflict returns the newest change that touched one of the keys after base.
func (s *State) conflict(keys []string, base int64) (touch, bool) {
	var w touch
	for _, k := range keys {
		if t, ok := s.d.Touched[k]; ok && t.Offset > base && t.Offset > w.Offset {
			w = t
		}
	}
	return w, w.Offset > 0
}

// edit makes the change in e.next and sets the keys. It returns why the
// change is refused, if it is.
func (s *State) edit(e *edit, offset int64, r applog.Record, d policy.Document) string {
	switch d.Kind {
	case policy.DocumentDefaults:
		e.keys = []string{"defaults"}
		e.entry.Subject = "defaults"
		e.next.Defaults = *d.Defaults
	case policy.DocumentException:
		x := *d.Exception
		x.Revision = offset
		x.Author = author(x.Author, r.Author)
		if x.Move != nil {
			x.Move.Author = x.Author
		}
		e.entry.Subject, e.entry.Reason = "exception "+x.ID, x.Reason
		e.entry.Service = x.Scope.Service
		e.keys = exceptionKeys(&x)
		return s.putException(e.next, x)
	case policy.DocumentTeam:
		t := *d.Team
		t.Revision = offset
		e.entry.Subject = "team " + t.Name
		e.keys = []string{"team " + t.Name}
		return putTeam(e.next, t)
	case policy.DocumentToken:
		t := *d.Token
		t.Revision = offset
		e.entry.Subject = "token " + t.ID
		e.keys = []string{"token " + t.ID}
		if _, ok := e.next.Team(t.Team); !ok {
			return fmt.Sprintf("team %q does not exist", t.Team)
		}
		e.next.Tokens = put(e.next.Tokens, t, func(o policy.Token) bool { return o.ID == t.ID })
	case policy.DocumentWithdrawal:
		w := d.Withdrawal
		e.entry.Subject, e.entry.Reason = "withdrawal of "+w.Kind.String()+" "+w.ID, w.Reason
		if refusal := withdraw(e, w); refusal != "" {
			return refusal
		}
		if w.Kind == policy.DocumentException {
			s.bury(e.next, w, r)
		}
	}
	return ""
}

// author joins the name in the document with the token that was used, which
// alone is authenticated.
func author(name, token string) string {
	if name == "" || name == token {
		return token
	}
	if token == "" {
		return name
	}
	return name + " (" + token + ")"
}

func exceptionKeys(x *policy.Exception) []string {
	sc := x.Scope
	if x.Effect == policy.EffectVersionMove {
		// Two moves of one service would both set its traffic shares.
		sc.Version = ""
	}
	scope := fmt.Sprintf("scope %s %q %q %q %q", x.Effect, sc.Service, sc.Route, sc.Centre, sc.Version)
	return []string{"exception " + x.ID, scope}
}

func (s *State) putException(next *policy.Config, x policy.Exception) string {
	old, exists := next.Exception(x.ID)
	if exists && old.Effect != x.Effect {
		return fmt.Sprintf("exception %q has effect %s, which can't change", x.ID, old.Effect)
	}
	if x.Effect == policy.EffectVersionMove {
		for _, m := range next.VersionMoves(x.Scope.Service) {
			if m.ID != x.ID && !m.TakenBack && !m.Done {
				return fmt.Sprintf("service %q has the unfinished version move %q, withdraw it first", m.Service, m.ID)
			}
		}
		if exists && (old.Move.TakenBack || old.Move.Done) {
			return fmt.Sprintf("version move %q is settled, use a new id", x.ID)
		}
	}
	next.Exceptions = put(next.Exceptions, x, func(o policy.Exception) bool { return o.ID == x.ID })
	return ""
}

func putTeam(next *policy.Config, t policy.Team) string {
	for _, other := range next.Teams {
		for _, service := range t.Services {
			if other.Name != t.Name && service != policy.AllServices && slices.Contains(other.Services, service) {
				return fmt.Sprintf("service %q is owned by team %q", service, other.Name)
			}
		}
	}
	next.Teams = put(next.Teams, t, func(o policy.Team) bool { return o.Name == t.Name })
	return ""
}

// maxPast bounds the withdrawn exceptions that are kept for reports.
const maxPast = 64

// bury keeps a withdrawn exception for reports. The time of its end is the
// sender's clock, which every daemon reads from the record alike.
func (s *State) bury(next *policy.Config, w *policy.Withdrawal, r applog.Record) {
	x, ok := s.d.Config.Exception(w.ID)
	if !ok {
		return
	}
	if at := clock.Milli(r.AtMS); x.End == 0 || at < x.End {
		x.End = at
	}
	x.Withdrawn = fmt.Sprintf("%s withdrew it and gave as reason: “%s”", r.Author, w.Reason)
	next.Past = append(next.Past, x)
	next.Past = next.Past[max(0, len(next.Past)-maxPast):]
}

func withdraw(e *edit, w *policy.Withdrawal) string {
	found := false
	switch w.Kind {
	case policy.DocumentException:
		e.keys = []string{"exception " + w.ID}
		if x, ok := e.next.Exception(w.ID); ok {
			e.keys, found = exceptionKeys(&x), true
			e.entry.Service = x.Scope.Service
		}
		e.next.Exceptions = slices.DeleteFunc(e.next.Exceptions, func(x policy.Exception) bool { return x.ID == w.ID })
	case policy.DocumentTeam:
		e.keys = []string{"team " + w.ID}
		_, found = e.next.Team(w.ID)
		e.next.Teams = slices.DeleteFunc(e.next.Teams, func(t policy.Team) bool { return t.Name == w.ID })
		e.next.Tokens = slices.DeleteFunc(e.next.Tokens, func(t policy.Token) bool { return t.Team == w.ID })
	case policy.DocumentToken:
		e.keys = []string{"token " + w.ID}
		_, found = e.next.Token(w.ID)
		e.next.Tokens = slices.DeleteFunc(e.next.Tokens, func(t policy.Token) bool { return t.ID == w.ID })
	default:
	}
	if !found {
		return fmt.Sprintf("%s %q does not exist", w.Kind, w.ID)
	}
	return ""
}

// put replaces the item that same accepts, or appends it. The new item is
// last in either case, so that lists are ordered by revision.
func put[T any](list []T, item T, same func(T) bool) []T {
	return append(slices.DeleteFunc(list, same), item)
}

func clone(c *policy.Config) *policy.Config {
	next := *c
	next.Exceptions = slices.Clone(c.Exceptions)
	next.Past = slices.Clone(c.Past)
	next.Teams = slices.Clone(c.Teams)
	next.Tokens = slices.Clone(c.Tokens)
	return &next
}
