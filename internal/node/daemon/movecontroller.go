package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	stepInterval   = 100 * clock.Millisecond
	surveyInterval = clock.Second
	sendTimeout    = clock.Second
	appendTimeout  = 5 * clock.Second
	// sendAtOnce bounds the control messages that the moves have in flight.
	sendAtOnce = 16
)

// follower is what the moves need of the configuration.
type follower interface {
	Config() *policy.Config
	Publish(ctx context.Context, r applog.Record) (fold.Outcome, error)
	KnownRevision(member string) int64
}

// mover runs the decisions about data centre and version moves.
type mover struct {
	self    call.Target
	clock   clock.Clock
	log     zerolog.Logger
	control control
	conf    follower
	fleet   Membership
	guard   *guard.Guard
	counts  *counts
	rules   *rules
	store   *report.Store
	sending chan struct{}

	mu      sync.Mutex
	centres *centre.Core
	shifts  *shift.Core
	known   map[string]bool
	// ids holds the keys of known in order; a new slice replaces it.
	ids []string
	// followed is the version of the membership that known is of.
	followed uint64
	loads    map[string]*wire.StatusReply
	offers   *offers
	last     []centre.Move
	seen     *history
}

// Serve implements suture.Service.
func (m *mover) Serve(ctx context.Context) error {
	return m.run(ctx)
}

func (m *mover) run(ctx context.Context) error {
	var surveyed, sampled clock.Milli
	return clock.Every(ctx, stepInterval, func() {
		now := m.clock.Now()
		actions := m.step(now)
		m.act(ctx, actions)
		if now-sampled >= sampleInterval {
			sampled = now
			m.sendSamples(ctx, now)
		}
		if now-surveyed >= surveyInterval {
			surveyed = now
			m.survey(ctx, now)
		}
	})
}

// configure takes in a new configuration. The rules follow at once.
func (m *mover) configure(c *policy.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.centres.Configure(now, c)
	m.shifts.Configure(now, c)
	m.publish()
}

func (m *mover) publish() {
	m.rules.gate.Store(m.centres.Gate())
	m.rules.table.Store(m.shifts.Table())
}

func (m *mover) step(now clock.Milli) []shift.Action {
	// The version is read first: a change in between is followed next time.
	version := m.fleet.Version()
	members := m.fleet.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.followed {
		m.followed = version
		m.follow(members)
	}
	m.observe(now, m.ownStatus())
	m.last = m.centres.Step(now)
	m.offers.step(now)
	for service, load := range m.offers.load {
		m.capacity(service, load, members)
	}
	actions := m.shifts.Step(now)
	m.publish()
	for _, e := range m.seen.events(now, m.last, m.shifts.Progress()) {
		m.store.RecordEvent(e)
		m.log.Info().Str("move", e.Move).Str("kind", e.Kind.String()).Str("detail", e.Detail).Msg("move_event")
	}
	return actions
}

// follow passes changes of the membership on.
func (m *mover) follow(members []call.Target) {
	ids := make([]string, 0, len(members))
	live := make(map[string]bool, len(members))
	changed := false
	for _, t := range members {
		ids = append(ids, t.ID)
		live[t.ID] = true
		if !m.known[t.ID] {
			m.centres.AddMember(t.ID, t.Centre)
			changed = true
		}
	}
	for id := range m.known {
		if !live[id] {
			m.centres.RemoveMember(id)
			delete(m.loads, id)
			changed = true
		}
	}
	if !changed {
		return
	}
	slices.Sort(ids)
	m.known, m.ids = live, ids
	m.shifts.SetMembers(ids)
}

// observe takes in a member's status.
func (m *mover) observe(now clock.Milli, s *wire.StatusReply) {
	m.centres.Observe(centre.Status{
		Member: s.GetMember(), Centre: s.GetCentre(), Revision: s.GetRevision(),
		InProgress: int(s.GetInProgress()), ReceivedAt: now,
	})
	m.loads[s.GetMember()] = s
}
