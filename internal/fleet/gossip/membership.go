// Package gossip runs the membership state machine of package member over UDP
// and over links between daemons.
package gossip

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// udpHeaderBytes is the size of the IPv4 and UDP headers.
const udpHeaderBytes = 28

// pauseThreshold is the delay of a timer above which this process is considered
// to have been paused. On a loaded VM, timers are late by tens of milliseconds.
const pauseThreshold = 400 * clock.Millisecond

// maxTimerSleep limits the time between two checks for a pause of this process.
const maxTimerSleep = 250 * time.Millisecond

// Settings holds the identity and the dependencies of a Membership.
type Settings struct {
	Fleet   string
	Self    member.Fact
	Clock   clock.Clock
	Conn    net.PacketConn
	Syncer  Syncer
	Seeds   Seeds
	Log     zerolog.Logger
	Meter   *budget.Meter
	Limiter *budget.Limiter
	// OnMemberChange, if not nil, is called with the new fact for every change
	// of the table. Calls are serialised, and the function must not call the
	// Membership.
	OnMemberChange func(member.Fact)
	// OnTopicUpdate, if not nil, is called for every topic update, under the
	// same conditions.
	OnTopicUpdate func(member.TopicUpdate)
	// CoreOptions are passed to member.New.
	CoreOptions []member.Option
}

// Membership maintains the membership table of one daemon. It is safe for
// concurrent use.
type Membership struct {
	settings Settings
	fleet    uint32
	state    *fsm.FSM
	// wake makes runTimer reread the time of the next tick.
	wake         chan struct{}
	syncRequests chan member.SendSyncRequest

	mu   sync.Mutex
	core *member.Core
	// lastEventAt is the time of the last event that the core handled.
	lastEventAt clock.Milli

	// Numbers of received packets that were dropped, by cause, and of sync
	// requests that were not sent because syncRequests was full.
	malformed, wrongFleet, droppedSyncRequests atomic.Int64
}

// droppedPackets counts dropped messages of all memberships in this process, by
// cause.
var droppedPackets = expvar.NewMap("gossip_dropped")

// New returns a Membership that is inactive until Serve is called.
func New(s Settings) *Membership {
	opts := append([]member.Option{member.WithSendLimiter(s.Limiter)}, s.CoreOptions...)
	return &Membership{
		settings: s, fleet: fleetHash(s.Fleet), state: newStateMachine(s.Log), core: member.New(s.Self, opts...),
		wake: make(chan struct{}, 1), syncRequests: make(chan member.SendSyncRequest, maxQueuedSyncRequests),
	}
}

// Serve runs the goroutines of the membership under a supervisor until ctx is
// done.
func (m *Membership) Serve(ctx context.Context) error {
	sup := suture.New("gossip", suture.Spec{PassThroughPanics: true})
	sup.Add(namedService{name: "timer", run: m.runTimer})
	sup.Add(namedService{name: "receive", run: m.runReceive})
	for range syncWorkers {
		sup.Add(namedService{name: "sync", run: m.runSync})
	}
	sup.Add(namedService{name: "seeds", run: m.runSeeds})
	stop := context.AfterFunc(ctx, func() { _ = m.settings.Conn.SetReadDeadline(time.Now()) })
	defer stop()
	return sup.Serve(ctx)
}

type namedService struct {
	name string
	run  func(ctx context.Context) error
}

func (s namedService) Serve(ctx context.Context) error { return s.run(ctx) }

func (s namedService) String() string { return s.name }

// runTimer sends ticks to the core and detects pauses of this process.
func (m *Membership) runTimer(ctx context.Context) error {
	for {
		m.mu.Lock()
		next := m.core.NextTick()
		m.mu.Unlock()
		sleep := max(min((next-m.settings.Clock.Now()).Duration(), maxTimerSleep), time.Millisecond)
		due := m.settings.Clock.Now() + clock.FromDuration(sleep)
		timer := time.NewTimer(sleep)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-m.wake:
			timer.Stop()
			continue
		case <-timer.C:
		}
		now := m.settings.Clock.Now()
		if delay := now - due; delay > pauseThreshold {
			m.settings.Log.Warn().Float64("late_ms", float64(delay)).Msg("process_paused")
			m.handle(member.ProcessPaused{Duration: delay}, budget.Probe)
		}
		if now >= next {
			m.handle(member.Tick{}, budget.Probe)
		}
	}
}

// runReceive reads and handles packets.
func (m *Membership) runReceive(ctx context.Context) error {
	buf := make([]byte, member.MaxPacketBytes+1)
	for {
		n, _, err := m.settings.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The read deadline is only set to end the read when Serve stops.
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "receive gossip packet")
		}
		m.Receive(buf[:n])
	}
}

// Receive handles one datagram. Invalid ones are counted and dropped.
func (m *Membership) Receive(b []byte) {
	start := time.Now()
	kind := budget.Update
	from, p, err := decodePacket(m.fleet, b)
	if err == nil && len(b) > member.MaxPacketBytes {
		err = errors.Wrapf(ErrMalformed, "packet of %d bytes is too long", len(b))
	}
	if p.Kind != member.Update {
		kind = budget.Probe
	}
	m.settings.Meter.AddReceived(kind, len(b)+udpHeaderBytes)
	if err != nil {
		m.countDropped(err)
		m.settings.Meter.AddCPU(kind, start)
		return
	}
	m.handle(member.PacketReceived{From: from, Packet: p}, kind)
}

func (m *Membership) countDropped(err error) {
	cause, counter := "malformed", &m.malformed
	if errors.Is(err, ErrWrongFleet) {
		cause, counter = "wrong_fleet", &m.wrongFleet
	}
	counter.Add(1)
	droppedPackets.Add(cause, 1)
	m.settings.Log.Debug().Str("cause", cause).Err(err).Msg("packet_dropped")
}

// DroppedPackets returns how many received messages were malformed or from
// another fleet, including sync requests.
func (m *Membership) DroppedPackets() (malformed, wrongFleet int64) {
	return m.malformed.Load(), m.wrongFleet.Load()
}

// handle passes an event to the core and performs the resulting actions. It
// returns the reply to a sync request, or nil for other events. After a pause,
// a packet may arrive before runTimer runs, so the time since the last event is
// checked here as well.
func (m *Membership) handle(ev member.Event, kind budget.Kind) *member.SyncReply {
	start := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	// The clock is read under the lock, so that time does not go backwards for
	// the core.
	now := max(m.settings.Clock.Now(), m.lastEventAt)
	if _, isTick := ev.(member.Tick); !isTick && m.lastEventAt > 0 && now-m.lastEventAt > pauseThreshold+clock.FromDuration(maxTimerSleep) && m.core.NextTick() < now-pauseThreshold {
		m.performActions(m.core.Handle(now, member.ProcessPaused{Duration: now - m.lastEventAt}))
	}
	m.lastEventAt = now
	reply := m.performActions(m.core.Handle(now, ev))
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.settings.Meter.AddCPU(kind, start)
	return reply
}

func (m *Membership) performActions(actions []member.Action) *member.SyncReply {
	var reply *member.SyncReply
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPacket:
			m.sendPacket(a)
		case member.SendSyncRequest:
			select {
			case m.syncRequests <- a:
			default:
				m.droppedSyncRequests.Add(1)
			}
		case member.SendSyncReply:
			reply = &a.Reply
		case member.FactChanged:
			m.reportFactChange(a.Fact)
		case member.TopicUpdated:
			if m.settings.OnTopicUpdate != nil {
				m.settings.OnTopicUpdate(a.Update)
			}
		case member.ReachabilityChanged:
			m.settings.Log.Info().Str("centre", a.Centre).Bool("reachable", a.Reachable).Msg("centre_reach")
		case member.Joined:
			m.settings.Log.Info().Int("members", a.Members).Msg("joined")
			m.transition(eventJoined)
		}
	}
	return reply
}

func (m *Membership) reportFactChange(f member.Fact) {
	m.settings.Log.Info().Str("member", f.ID).Str("status", f.Status.String()).Bool("leaving", f.Leaving).
		Str("service", f.Service).Str("centre", f.Centre).Uint64("incarnation", f.Incarnation).
		Uint32("seq", f.Seq).Msg("member_changed")
	if m.settings.OnMemberChange != nil {
		m.settings.OnMemberChange(f)
	}
}

func (m *Membership) sendPacket(a member.SendPacket) {
	ap, err := netip.ParseAddrPort(a.To)
	if err != nil {
		return
	}
	b, err := encodePacket(m.fleet, m.settings.Self.ID, &a.Packet)
	if err != nil || len(b) > member.MaxPacketBytes {
		m.settings.Log.Error().Err(err).Int("bytes", len(b)).Msg("packet_not_sent")
		return
	}
	kind := budget.Probe
	if a.Packet.Kind == member.Update {
		kind = budget.Update
	}
	m.settings.Meter.AddSent(kind, len(b)+udpHeaderBytes)
	// A write error, such as a full socket buffer, counts as a lost packet.
	_, _ = m.settings.Conn.WriteTo(b, net.UDPAddrFromAddrPort(ap))
}
