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
	// maxConcurrentSends limits the number of control messages about moves that
	// await a reply.
	maxConcurrentSends = 16
)

// configSource is the part of follow.Follower that the move controller uses.
type configSource interface {
	Config() *policy.Config
	Publish(ctx context.Context, r applog.Record) (fold.Outcome, error)
	KnownRevision(member string) int64
}

// moveController runs the data centre and version moves: it passes the
// configuration, the membership, statuses and samples to their cores, and
// applies the results to the rules of this daemon.
type moveController struct {
	self      call.Target
	clock     clock.Clock
	log       zerolog.Logger
	control   control
	conf      configSource
	fleet     memberSource
	guard     *guard.Guard
	callStats *callStats
	rules     *rules
	store     *report.Store
	sendSlots chan struct{}

	mu          sync.Mutex
	centreCore  *centre.Core
	shiftCore   *shift.Core
	liveMembers map[string]bool
	// sortedIDs holds the keys of liveMembers. It is replaced as a whole, never
	// modified.
	sortedIDs []string
	// membershipVersion is the version of the membership that liveMembers
	// reflects.
	membershipVersion uint64
	statuses          map[string]*wire.StatusReply
	loads             *serviceLoads
	centreMoves       []centre.Move
	history           *history
}

// Serve implements suture.Service.
func (m *moveController) Serve(ctx context.Context) error {
	return m.run(ctx)
}

func (m *moveController) run(ctx context.Context) error {
	var lastSurvey, lastSampling clock.Milli
	return clock.Every(ctx, stepInterval, func() {
		now := m.clock.Now()
		actions := m.step(now)
		m.performActions(ctx, actions)
		if now-lastSampling >= sampleInterval {
			lastSampling = now
			m.sendSamples(ctx, now)
		}
		if now-lastSurvey >= surveyInterval {
			lastSurvey = now
			m.survey(ctx, now)
		}
	})
}

// configure applies a new configuration and updates the rules at once.
func (m *moveController) configure(c *policy.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.centreCore.Configure(now, c)
	m.shiftCore.Configure(now, c)
	m.publishRules()
}

func (m *moveController) publishRules() {
	m.rules.gate.Store(m.centreCore.Gate())
	m.rules.table.Store(m.shiftCore.Table())
}

func (m *moveController) step(now clock.Milli) []shift.Action {
	// The version is read before the members, so a change in between is applied
	// at the next step.
	version := m.fleet.Version()
	members := m.fleet.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.membershipVersion {
		m.membershipVersion = version
		m.updateMembers(members)
	}
	m.recordStatus(now, m.ownStatus())
	m.centreMoves = m.centreCore.Step(now)
	m.loads.closeWindows(now)
	for service, load := range m.loads.busySlots {
		m.updateCapacity(service, load, members)
	}
	actions := m.shiftCore.Step(now)
	m.publishRules()
	for _, e := range m.history.events(now, m.centreMoves, m.shiftCore.Progress()) {
		m.store.RecordEvent(e)
		m.log.Info().Str("move", e.Move).Str("kind", e.Kind.String()).Str("detail", e.Detail).Msg("move_event")
	}
	return actions
}

// updateMembers applies changes of the membership to the cores. The caller
// holds the lock.
func (m *moveController) updateMembers(members []call.Target) {
	ids := make([]string, 0, len(members))
	live := make(map[string]bool, len(members))
	changed := false
	for _, t := range members {
		ids = append(ids, t.ID)
		live[t.ID] = true
		if !m.liveMembers[t.ID] {
			m.centreCore.AddMember(t.ID, t.Centre)
			changed = true
		}
	}
	for id := range m.liveMembers {
		if !live[id] {
			m.centreCore.RemoveMember(id)
			delete(m.statuses, id)
			changed = true
		}
	}
	if !changed {
		return
	}
	slices.Sort(ids)
	m.liveMembers, m.sortedIDs = live, ids
	m.shiftCore.SetMembers(ids)
}

// recordStatus stores a status of a member. The caller holds the lock.
func (m *moveController) recordStatus(now clock.Milli, s *wire.StatusReply) {
	m.centreCore.Observe(centre.MemberStatus{
		Member: s.GetMember(), Centre: s.GetCentre(), Revision: s.GetRevision(),
		InProgress: int(s.GetInProgress()), ReceivedAt: now,
	})
	m.statuses[s.GetMember()] = s
}
