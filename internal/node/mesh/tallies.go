package mesh

import (
	"context"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// tallyInterval is the time between reports on an upstream during a version
	// move.
	tallyInterval = 200 * clock.Millisecond
	// tallyTimeout bounds one report.
	tallyTimeout = clock.Second
)

// controller sends control messages to daemons.
type controller interface {
	Control(ctx context.Context, member string, kind wire.ControlKind, payload []byte) ([]byte, error)
}

// tallier tells the judges of a version move what this daemon's guard counted.
type tallier struct {
	self     string
	since    uint64
	service  string
	log      zerolog.Logger
	pool     controller
	live     func() []string
	upstream *upstream
	moves    *moves
	// busy has the judges whose last report is still on its way.
	busy map[string]chan struct{}
}

func newTallier(n *Node) *tallier {
	return &tallier{
		self: n.self.ID, since: n.self.Incarnation, service: n.settings.Service, log: n.log,
		pool: n.pool, live: n.table.LinkedIDs, upstream: n.upstream, moves: n.moves,
		busy: make(map[string]chan struct{}),
	}
}

// Serve implements suture.Service.
func (t *tallier) Serve(ctx context.Context) error {
	return t.run(ctx)
}

func (t *tallier) run(ctx context.Context) error {
	return clock.Every(ctx, tallyInterval, func() {
		if t.moves.active(t.service) {
			t.report(ctx)
		}
	})
}

// report sends the counts to each judge that has answered the last report.
// Counts are totals, so a lost report costs nothing but time.
func (t *tallier) report(ctx context.Context) {
	r := t.count()
	if r.GetTarget() == "" {
		return
	}
	payload, err := proto.Marshal(r)
	if err != nil {
		t.log.Error().Err(err).Msg("tallies_not_encoded")
		return
	}
	for _, judge := range shift.SelectJudges(t.service, t.live()) {
		if judge == t.self {
			t.moves.observe(r)
			continue
		}
		if t.free(judge) {
			done := make(chan struct{})
			t.busy[judge] = done
			go (&tallySender{tallier: t, judge: judge, payload: payload, done: done}).run(ctx)
		}
	}
}

// count returns what was counted. The judges should know upstreams without
// calls too.
func (t *tallier) count() *wire.TallyReport {
	u, tallies := t.upstream.tallies()
	return &wire.TallyReport{
		Service: t.service, Version: u.Version, Target: u.Instance, Incarnation: t.since, Tallies: link.EncodeRouteStats(tallies),
	}
}

func (t *tallier) free(judge string) bool {
	done, sent := t.busy[judge]
	if !sent {
		return true
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// serve takes in the counts of a peer.
func (t *tallier) serve(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	r := new(wire.TallyReport)
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, err
	}
	t.moves.observe(r)
	return nil, nil
}

// tallySender sends one report to one judge.
type tallySender struct {
	tallier *tallier
	judge   string
	payload []byte
	done    chan<- struct{}
}

func (s *tallySender) run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, tallyTimeout.Duration())
	defer cancel()
	if _, err := s.tallier.pool.Control(ctx, s.judge, controlTallies, s.payload); err != nil {
		s.tallier.log.Debug().Str("peer", s.judge).Err(err).Msg("tallies_not_sent")
	}
}
