// Package gossip runs the membership core over UDP and links between daemons.
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

// udpOverhead is the size of the IPv4 and UDP headers.
const udpOverhead = 28

// pauseAfter is the lateness from which a timer counts as a pause of this
// process; a loaded VM delays timers by tens of milliseconds.
const pauseAfter = 400 * clock.Millisecond

// maxSleep bounds how long the loop sleeps, so that it notices pauses.
const maxSleep = 250 * time.Millisecond

// Settings are what a shell needs.
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
	// OnMemberChange is called with the new fact for every change of the table, one
	// call at a time; it must not call the shell.
	OnMemberChange func(member.Fact)
	// OnTopicUpdate is called for every item of news, under the same rule.
	OnTopicUpdate func(member.TopicUpdate)
	// CoreOptions holds options for the membership core.
	CoreOptions []member.Option
}

// Membership owns the membership of one daemon. It is safe for concurrent use.
type Membership struct {
	s     Settings
	fleet uint32
	life  *fsm.FSM
	wake  chan struct{}
	asks  chan member.SendSyncRequest

	mu   sync.Mutex
	core *member.Core
	last clock.Milli

	// Dropped counts received packets that were not used, by cause.
	malformed, wrongFleet, unanswered atomic.Int64
}

var dropped = expvar.NewMap("gossip_dropped")

// New returns a shell; Serve runs it.
func New(s Settings) *Membership {
	opts := append([]member.Option{member.WithSendLimiter(s.Limiter)}, s.CoreOptions...)
	return &Membership{
		s: s, fleet: fleetHash(s.Fleet), life: newLife(s.Log), core: member.New(s.Self, opts...),
		wake: make(chan struct{}, 1), asks: make(chan member.SendSyncRequest, maxAsks),
	}
}

// Serve runs the shell's goroutines under a supervisor until ctx is done.
func (s *Membership) Serve(ctx context.Context) error {
	sup := suture.New("gossip", suture.Spec{PassThroughPanics: true})
	sup.Add(service{name: "timer", run: s.runTimer})
	sup.Add(service{name: "receive", run: s.runReceive})
	for range askWorkers {
		sup.Add(service{name: "sync", run: s.runSync})
	}
	sup.Add(service{name: "seeds", run: s.runSeeds})
	stop := context.AfterFunc(ctx, func() { _ = s.s.Conn.SetReadDeadline(time.Now()) })
	defer stop()
	return sup.Serve(ctx)
}

type service struct {
	name string
	run  func(ctx context.Context) error
}

func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

func (s service) String() string { return s.name }

// runTimer ticks the core and notices when this process did not run.
func (s *Membership) runTimer(ctx context.Context) error {
	for {
		s.mu.Lock()
		wake := s.core.NextTick()
		s.mu.Unlock()
		sleep := max(min((wake-s.s.Clock.Now()).Duration(), maxSleep), time.Millisecond)
		due := s.s.Clock.Now() + clock.FromDuration(sleep)
		timer := time.NewTimer(sleep)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-s.wake:
			timer.Stop()
			continue
		case <-timer.C:
		}
		now := s.s.Clock.Now()
		if late := now - due; late > pauseAfter {
			s.s.Log.Warn().Float64("late_ms", float64(late)).Msg("process_paused")
			s.handle(member.ProcessPaused{Duration: late}, budget.Probe)
		}
		if now >= wake {
			s.handle(member.Tick{}, budget.Probe)
		}
	}
}

// runReceive reads packets. After a pause, the timer may not have run yet, so
// the silence since the last event is checked here as well.
func (s *Membership) runReceive(ctx context.Context) error {
	buf := make([]byte, member.MaxPacketBytes+1)
	for {
		n, _, err := s.s.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The deadline is set only to end the read when the shell stops.
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		s.Receive(buf[:n])
	}
}

// Receive handles one datagram.
func (s *Membership) Receive(b []byte) {
	start := time.Now()
	kind := budget.Update
	from, p, err := decodePacket(s.fleet, b)
	if err == nil && len(b) > member.MaxPacketBytes {
		err = errors.Wrapf(ErrMalformed, "%d bytes", len(b))
	}
	if p.Kind != member.Update {
		kind = budget.Probe
	}
	s.s.Meter.AddReceived(kind, len(b)+udpOverhead)
	if err != nil {
		s.drop(err)
		s.s.Meter.AddCPU(kind, start)
		return
	}
	s.handle(member.PacketReceived{From: from, Packet: p}, kind)
}

func (s *Membership) drop(err error) {
	cause, n := "malformed", &s.malformed
	if errors.Is(err, ErrWrongFleet) {
		cause, n = "wrong_fleet", &s.wrongFleet
	}
	n.Add(1)
	dropped.Add(cause, 1)
	s.s.Log.Debug().Str("cause", cause).Err(err).Msg("packet_dropped")
}

// DroppedPackets returns how many packets were malformed or of another fleet.
func (s *Membership) DroppedPackets() (malformed, wrongFleet int64) {
	return s.malformed.Load(), s.wrongFleet.Load()
}

// handle gives the core an event and performs what it returns. It reports an
// answer if there is one.
func (s *Membership) handle(ev member.Event, kind budget.Kind) *member.SyncReply {
	start := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// The clock is read under the lock, so that the core's time never goes back.
	now := max(s.s.Clock.Now(), s.last)
	if _, ticked := ev.(member.Tick); !ticked && s.last > 0 && now-s.last > pauseAfter+clock.FromDuration(maxSleep) && s.core.NextTick() < now-pauseAfter {
		s.perform(s.core.Handle(now, member.ProcessPaused{Duration: now - s.last}))
	}
	s.last = now
	reply := s.perform(s.core.Handle(now, ev))
	select {
	case s.wake <- struct{}{}:
	default:
	}
	s.s.Meter.AddCPU(kind, start)
	return reply
}

func (s *Membership) perform(actions []member.Action) *member.SyncReply {
	var reply *member.SyncReply
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPacket:
			s.send(a)
		case member.SendSyncRequest:
			select {
			case s.asks <- a:
			default:
				s.unanswered.Add(1)
			}
		case member.SendSyncReply:
			reply = &a.Reply
		case member.FactChanged:
			s.changed(a.Fact)
		case member.TopicUpdated:
			if s.s.OnTopicUpdate != nil {
				s.s.OnTopicUpdate(a.Update)
			}
		case member.ReachabilityChanged:
			s.s.Log.Info().Str("centre", a.Centre).Bool("reachable", a.Reachable).Msg("centre_reach")
		case member.Joined:
			s.s.Log.Info().Int("members", a.Members).Msg("joined")
			s.transition(evJoined)
		}
	}
	return reply
}

func (s *Membership) changed(f member.Fact) {
	s.s.Log.Info().Str("member", f.ID).Str("status", f.Status.String()).Bool("leaving", f.Leaving).
		Str("service", f.Service).Str("centre", f.Centre).Uint64("incarnation", f.Incarnation).
		Uint32("seq", f.Seq).Msg("member_changed")
	if s.s.OnMemberChange != nil {
		s.s.OnMemberChange(f)
	}
}

func (s *Membership) send(a member.SendPacket) {
	ap, err := netip.ParseAddrPort(a.To)
	if err != nil {
		return
	}
	b, err := encodePacket(s.fleet, s.s.Self.ID, &a.Packet)
	if err != nil || len(b) > member.MaxPacketBytes {
		s.s.Log.Error().Err(err).Int("bytes", len(b)).Msg("packet_not_sent")
		return
	}
	kind := budget.Probe
	if a.Packet.Kind == member.Update {
		kind = budget.Update
	}
	s.s.Meter.AddSent(kind, len(b)+udpOverhead)
	// A full socket buffer or an unreachable peer is a lost packet.
	_, _ = s.s.Conn.WriteTo(b, net.UDPAddrFromAddrPort(ap))
}
