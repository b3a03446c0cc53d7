package mesh

import (
	"context"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// reportInterval is the time between reports on an upstream during a version move.
	reportInterval = 200 * clock.Millisecond
	// reportTimeout limits one report.
	reportTimeout = clock.Second
)

// controller sends control messages to daemons. *link.Pool implements it.
type controller interface {
	Control(ctx context.Context, member string, kind wire.ControlKind, payload []byte) ([]byte, error)
}

// statsReporter reports the call statistics of this daemon's guard to the judges of a
// version move.
type statsReporter struct {
	self        string
	incarnation uint64
	service     string
	log         zerolog.Logger
	pool        controller
	linkedIDs   func() []string
	upstream    *upstream
	moves       *moveTracker
	trial       trialStats
	// inFlight has, by judge, a channel that is closed at the end of the last report.
	inFlight map[string]chan struct{}
}

func newStatsReporter(n *Node) *statsReporter {
	return &statsReporter{
		self: n.self.ID, incarnation: n.self.Incarnation, service: n.settings.Service, log: n.log,
		pool: n.pool, linkedIDs: n.table.LinkedIDs, upstream: n.upstream, moves: n.moves,
		inFlight: make(map[string]chan struct{}),
	}
}

// beginTrial limits the statistics of a new version to the calls from now on.
func (s *statsReporter) beginTrial(ord order.Move) {
	if ord.Service == s.service {
		s.trial.begin(s.upstream.routeStats())
	}
}

// Serve implements suture.Service.
func (s *statsReporter) Serve(ctx context.Context) error {
	return s.run(ctx)
}

func (s *statsReporter) run(ctx context.Context) error {
	return clock.Every(ctx, reportInterval, func() {
		s.report(ctx)
	})
}

// report sends the statistics to each judge of a running move without a report in flight. They
// are cumulative, so a lost report only delays the evaluation.
func (s *statsReporter) report(ctx context.Context) {
	ord, ok := s.moves.runningOrder(s.service)
	if !ok {
		return
	}
	r := s.buildReport(ord)
	if r.GetTarget() == "" {
		return
	}
	payload, err := proto.Marshal(r)
	if err != nil {
		s.log.Error().Err(err).Msg("tallies_not_encoded")
		return
	}
	for _, judge := range shift.SelectJudges(s.service, s.linkedIDs()) {
		if judge == s.self {
			s.moves.observe(r)
			continue
		}
		if s.isIdle(judge) {
			done := make(chan struct{})
			s.inFlight[judge] = done
			go (&reportSender{reporter: s, judge: judge, payload: payload, done: done}).run(ctx)
		}
	}
}

// buildReport returns the statistics of the upstream, also if it had no calls: judges
// count the upstreams of a version.
func (s *statsReporter) buildReport(ord order.Move) *wire.TallyReport {
	state, routeStats := s.upstream.routeStats()
	routeStats = s.trial.sinceOrder(ord, state, routeStats)
	return &wire.TallyReport{
		Service: s.service, Version: state.Version, Target: state.Instance, Incarnation: s.incarnation, Tallies: link.EncodeRouteStats(routeStats),
	}
}

// isIdle reports whether no report to the judge is in flight.
func (s *statsReporter) isIdle(judge string) bool {
	done, sent := s.inFlight[judge]
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

// handleReport records the statistics that a peer reports.
func (s *statsReporter) handleReport(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	r := new(wire.TallyReport)
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, err
	}
	s.moves.observe(r)
	return nil, nil
}

// reportSender sends one report to one judge.
type reportSender struct {
	reporter *statsReporter
	judge    string
	payload  []byte
	done     chan<- struct{}
}

func (s *reportSender) run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	if _, err := s.reporter.pool.Control(ctx, s.judge, controlTallies, s.payload); err != nil {
		s.reporter.log.Debug().Str("peer", s.judge).Err(err).Msg("tallies_not_sent")
	}
}
