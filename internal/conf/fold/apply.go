package fold

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Apply applies the record at an offset. Records must arrive in offset order:
// the result is StatusOld for a record that was already applied and StatusGap
// for one whose predecessor is missing, and neither changes the state.
func (s *State) Apply(offset int64, r applog.Record) Result {
	switch {
	case offset <= s.data.Applied:
		return Result{Status: StatusOld}
	case offset > s.data.Applied+1:
		return Result{Status: StatusGap}
	}
	s.data.Applied = offset
	s.data.Digest = DigestOf(r)
	switch r.Kind {
	case applog.KindAnnounce, applog.KindLeave:
		s.applyAnnouncement(offset, r)
		return Result{Status: StatusNoted}
	case applog.KindChange, applog.KindWithdraw, applog.KindVerdict:
		return s.applyChange(offset, r)
	default:
		// Snapshots, and record kinds of later versions, don't change the
		// configuration.
		return Result{Status: StatusNoted}
	}
}

// pendingChange is a change while it is checked against the state.
type pendingChange struct {
	historyEntry HistoryEntry
	// conflictKeys name the items that the change modifies. Two changes conflict
	// if they share a key and neither is based on the other.
	conflictKeys []string
	// next is the configuration that results if the change is accepted.
	next *policy.Config
}

func (s *State) applyChange(offset int64, r applog.Record) Result {
	if original, ok := s.Outcome(r.ID); ok {
		return Result{Status: StatusDuplicate, Outcome: original}
	}
	p := pendingChange{historyEntry: HistoryEntry{
		Outcome: Outcome{ID: r.ID, Offset: offset, Digest: xxhash.Sum64(r.Body)},
		Author:  r.Author,
		AtMS:    r.AtMS,
	}}
	s.evaluate(&p, offset, r)
	o := p.historyEntry.Outcome
	if o.Status == StatusAccepted {
		p.next.Revision = offset
		s.data.Config = p.next
		for _, k := range p.conflictKeys {
			s.data.LastChanges[k] = keyChange{Offset: offset, ID: r.ID}
		}
	}
	s.recordOutcome(p.historyEntry)
	return Result{Status: o.Status, ConfigChanged: o.Status == StatusAccepted, Outcome: o}
}

// evaluate sets the outcome of a change and, if it is accepted, the resulting
// configuration in p.next.
func (s *State) evaluate(p *pendingChange, offset int64, r applog.Record) {
	o := &p.historyEntry.Outcome
	if r.BaseRevision < s.data.Floor || r.BaseRevision >= offset {
		o.Status = StatusRefused
		o.Detail = fmt.Sprintf("based on revision %d, want one from %d to %d", r.BaseRevision, s.data.Floor, offset-1)
		return
	}
	if r.Kind == applog.KindVerdict {
		s.evaluateVerdict(p, r)
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
	p.next = cloneConfig(s.data.Config)
	refusal := s.applyDocument(p, offset, r, d)
	if winner, conflicts := s.newestConflict(p.conflictKeys, r.BaseRevision); conflicts {
		o.Status, o.Winner, o.WinnerOffset = StatusConflict, winner.ID, winner.Offset
		o.Detail = fmt.Sprintf("change %s at revision %d was accepted first", winner.ID, winner.Offset)
		return
	}
	if refusal != "" {
		o.Status, o.Detail = StatusRefused, refusal
		return
	}
	o.Status = StatusAccepted
}

// newestConflict returns the newest change accepted after the base revision
// that modified one of the keys, and false if there is none.
func (s *State) newestConflict(keys []string, base int64) (keyChange, bool) {
	var newest keyChange
	for _, k := range keys {
		if change, ok := s.data.LastChanges[k]; ok && change.Offset > base && change.Offset > newest.Offset {
			newest = change
		}
	}
	return newest, newest.Offset > 0
}

// applyDocument modifies p.next as the document requests and sets the conflict
// keys. It returns the reason for a refusal, or "".
func (s *State) applyDocument(p *pendingChange, offset int64, r applog.Record, d policy.Document) string {
	switch d.Kind {
	case policy.DocumentDefaults:
		p.conflictKeys = []string{"defaults"}
		p.historyEntry.Subject = "defaults"
		p.next.Defaults = *d.Defaults
	case policy.DocumentException:
		x := *d.Exception
		x.Revision = offset
		x.Author = combineAuthors(x.Author, r.Author)
		if x.Move != nil {
			x.Move.Author = x.Author
		}
		p.historyEntry.Subject, p.historyEntry.Reason = "exception "+x.ID, x.Reason
		p.historyEntry.Service = x.Scope.Service
		p.conflictKeys = exceptionKeys(&x)
		return s.upsertException(p.next, x)
	case policy.DocumentTeam:
		t := *d.Team
		t.Revision = offset
		p.historyEntry.Subject = "team " + t.Name
		p.conflictKeys = []string{"team " + t.Name}
		return upsertTeam(p.next, t)
	case policy.DocumentToken:
		t := *d.Token
		t.Revision = offset
		p.historyEntry.Subject = "token " + t.ID
		p.conflictKeys = []string{"token " + t.ID}
		if _, ok := p.next.Team(t.Team); !ok {
			return fmt.Sprintf("team %q does not exist", t.Team)
		}
		p.next.Tokens = upsert(p.next.Tokens, t, func(o policy.Token) bool { return o.ID == t.ID })
	case policy.DocumentWithdrawal:
		w := d.Withdrawal
		p.historyEntry.Subject, p.historyEntry.Reason = "withdrawal of "+w.Kind.String()+" "+w.ID, w.Reason
		if refusal := applyWithdrawal(p, w); refusal != "" {
			return refusal
		}
		if w.Kind == policy.DocumentException {
			s.archiveException(p.next, w, r)
		}
	}
	return ""
}

// combineAuthors returns the author named in the document together with the
// token of the request. Only the token is authenticated.
func combineAuthors(name, token string) string {
	if name == "" || name == token {
		return token
	}
	if token == "" {
		return name
	}
	return name + " (" + token + ")"
}

// exceptionKeys returns the conflict keys of an exception: its id, and its
// effect with its scope.
func exceptionKeys(x *policy.Exception) []string {
	sc := x.Scope
	if x.Effect == policy.EffectVersionMove {
		// Two version moves of one service would both set its traffic shares, so
		// they conflict whatever their versions.
		sc.Version = ""
	}
	scope := fmt.Sprintf("scope %s %q %q %q %q", x.Effect, sc.Service, sc.Route, sc.Centre, sc.Version)
	return []string{"exception " + x.ID, scope}
}

// upsertException adds or replaces an exception. It returns the reason for a
// refusal, or "".
func (s *State) upsertException(next *policy.Config, x policy.Exception) string {
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
	next.Exceptions = upsert(next.Exceptions, x, func(o policy.Exception) bool { return o.ID == x.ID })
	return ""
}

// upsertTeam adds or replaces a team. It refuses, with the reason, a service
// that another team owns.
func upsertTeam(next *policy.Config, t policy.Team) string {
	for _, other := range next.Teams {
		for _, service := range t.Services {
			if other.Name != t.Name && service != policy.AllServices && slices.Contains(other.Services, service) {
				return fmt.Sprintf("service %q is owned by team %q", service, other.Name)
			}
		}
	}
	next.Teams = upsert(next.Teams, t, func(o policy.Team) bool { return o.Name == t.Name })
	return ""
}

// maxPastExceptions is how many withdrawn exceptions are kept for reports.
const maxPastExceptions = 64

// archiveException keeps a withdrawn exception for reports. Unless it ended
// earlier, it ends at the timestamp of the record, which comes from the sender's
// clock and is thus the same on every daemon.
func (s *State) archiveException(next *policy.Config, w *policy.Withdrawal, r applog.Record) {
	x, ok := s.data.Config.Exception(w.ID)
	if !ok {
		return
	}
	if at := clock.Milli(r.AtMS); x.End == 0 || at < x.End {
		x.End = at
	}
	x.Withdrawn = fmt.Sprintf("%s withdrew it and gave as reason: “%s”", r.Author, w.Reason)
	next.Past = append(next.Past, x)
	next.Past = next.Past[max(0, len(next.Past)-maxPastExceptions):]
}

// applyWithdrawal removes the item that a document withdraws from p.next and
// sets the conflict keys. It returns the reason for a refusal, or "".
func applyWithdrawal(p *pendingChange, w *policy.Withdrawal) string {
	found := false
	switch w.Kind {
	case policy.DocumentException:
		p.conflictKeys = []string{"exception " + w.ID}
		if x, ok := p.next.Exception(w.ID); ok {
			p.conflictKeys, found = exceptionKeys(&x), true
			p.historyEntry.Service = x.Scope.Service
		}
		p.next.Exceptions = slices.DeleteFunc(p.next.Exceptions, func(x policy.Exception) bool { return x.ID == w.ID })
	case policy.DocumentTeam:
		p.conflictKeys = []string{"team " + w.ID}
		_, found = p.next.Team(w.ID)
		p.next.Teams = slices.DeleteFunc(p.next.Teams, func(t policy.Team) bool { return t.Name == w.ID })
		p.next.Tokens = slices.DeleteFunc(p.next.Tokens, func(t policy.Token) bool { return t.Team == w.ID })
	case policy.DocumentToken:
		p.conflictKeys = []string{"token " + w.ID}
		_, found = p.next.Token(w.ID)
		p.next.Tokens = slices.DeleteFunc(p.next.Tokens, func(t policy.Token) bool { return t.ID == w.ID })
	default:
	}
	if !found {
		return fmt.Sprintf("%s %q does not exist", w.Kind, w.ID)
	}
	return ""
}

// upsert removes the items for which matches is true and appends item, so that
// lists stay ordered by revision.
func upsert[T any](list []T, item T, matches func(T) bool) []T {
	return append(slices.DeleteFunc(list, matches), item)
}

// cloneConfig returns a copy of c whose lists can be modified.
func cloneConfig(c *policy.Config) *policy.Config {
	next := *c
	next.Exceptions = slices.Clone(c.Exceptions)
	next.Past = slices.Clone(c.Past)
	next.Teams = slices.Clone(c.Teams)
	next.Tokens = slices.Clone(c.Tokens)
	return &next
}
