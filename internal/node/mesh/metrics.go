package mesh

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/meter"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

// maxPriorityLabel bounds the label sets of refused calls. Calls of lower urgency have it, too.
const maxPriorityLabel = 9

// routeType returns the value of the metric label route_type for a request.
func routeType(r *call.Request) string {
	switch {
	case r.Class == call.Transfer:
		return "transfer"
	case r.Repeatable:
		return "idempotent"
	default:
		return "non_idempotent"
	}
}

func (n *Node) recordCall(d entry.CallSummary) {
	if d.Outcome == call.OutcomeAnswered {
		n.startLog.reach(stepAnswered)
	}
	n.meter.ObserveCall(routeType(d.Request), d.Outcome.String(), d.Reason.String(), d.Latency)
	if d.Outcome == call.OutcomeNotRun {
		n.meter.CountRefusedCall(min(d.Request.Priority, maxPriorityLabel), d.Reason.String())
	}
}

func (n *Node) recordUpstream(s guard.Sample) {
	n.meter.ObserveUpstreamCall(s.Failed, s.Latency)
	if s.Status > 0 && (!s.Failed || s.Status >= http.StatusInternalServerError) {
		n.crashes.recordAnswer(crash.Fingerprint(s.Request.Fingerprint))
	}
}

func (n *Node) recordRefusal(r call.Reason) {
	n.meter.CountRefusal(r.String())
}

// addGauges registers the gauges of the daemon's state.
func (n *Node) addGauges() {
	n.meter.AddGauge("config_version", func() float64 {
		if t := n.routes(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	n.meter.AddGauge("orders_offset", func() float64 { return float64(n.registry.End().Offset()) })
	n.meter.AddGauge("store_era", func() float64 { return float64(n.registry.End().Era()) })
	n.meter.AddGauge("orders_store_online", func() float64 { return gaugeValue(n.orderFollower.Online()) })
	n.meter.AddGauge("store_watch_silence_seconds", func() float64 { return float64(n.watch.view.age() / clock.Second) })
	n.meter.AddGauge("peers_known", func() float64 { return float64(len(n.table.Records())) })
	n.meter.AddGauge("peers_linked", func() float64 { return float64(len(n.table.LinkedIDs())) })
	n.meter.AddGauge("peers_complete", func() float64 { return gaugeValue(n.records.isComplete()) })
	n.meter.AddGauge("upstream_usable", func() float64 { return gaugeValue(n.upstream.unusableReason() == call.ReasonNone) })
	n.meter.AddGauge("upstream_pace_age_seconds", func() float64 { return float64(n.upstream.slowdownAge() / clock.Second) })
	n.meter.AddGauge("requests_held", func() float64 { return float64(n.crashes.held()) })
	n.meter.AddGauge("upstream_limited", func() float64 { return gaugeValue(n.upstream.notice().Limited) })
	n.meter.AddGauge("upstream_slots_short", func() float64 { return gaugeValue(n.upstream.isShort()) })
	n.meter.AddGauge("upstream_limit_per_second", func() float64 { return n.upstream.notice().RateLimit })
	n.meter.AddGauge("version_answers", func() float64 { return float64(n.moves.evidence(n.settings.Service).Answers) })
	n.meter.AddGauge("version_bad_answers", func() float64 { return float64(n.moves.evidence(n.settings.Service).Bad) })
	n.meter.AddGauge("version_expected_bad_answers", func() float64 { return n.moves.evidence(n.settings.Service).Expected })
	n.addMemoryGauges()
	n.startLog.addGauges(n.meter)
	n.meter.AddGauge("guard_calls_in_progress", func() float64 { return float64(n.guard.InProgress()) })
}

// addMemoryGauges registers what callers make the daemon hold, by cause.
func (n *Node) addMemoryGauges() {
	n.meter.AddGauge("memory_limit_bytes", func() float64 { return float64(n.gate.Limit()) })
	for c := range memory.NumCauses {
		label := `{cause="` + c.String() + `"}`
		n.meter.AddGauge("memory_charged_bytes"+label, func() float64 { return float64(n.gate.Usage(c).Bytes) })
		n.meter.AddGauge("memory_refused_total"+label, func() float64 { return float64(n.gate.Usage(c).Refused) })
		n.meter.AddGauge("memory_closed_total"+label, func() float64 { return float64(n.gate.Usage(c).Closed) })
	}
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// meteredStore counts the calls to a store by operation and result.
type meteredStore struct {
	store feed.Store
	meter *meter.Meter
}

// Newest implements feed.Store.
func (s *meteredStore) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	b, err := s.store.Newest(ctx, topic)
	s.meter.CountStoreCall("newest", storeResult(err))
	return b, err
}

// Read implements feed.Store.
func (s *meteredStore) Read(ctx context.Context, topic string, from feed.Position, wait clock.Milli) (feed.Batch, error) {
	b, err := s.store.Read(ctx, topic, from, wait)
	s.meter.CountStoreCall("read", storeResult(err))
	return b, err
}

// Append implements feed.Store.
func (s *meteredStore) Append(ctx context.Context, topic string, item feed.Item, at feed.Position) (feed.Position, error) {
	end, err := s.store.Append(ctx, topic, item, at)
	s.meter.CountStoreCall("append", storeResult(err))
	return end, err
}

// storeResult returns the metric label for the result of a call to the store.
func storeResult(err error) string {
	for label, target := range map[string]error{
		"unavailable": feed.ErrUnavailable, "unknown": feed.ErrOutcomeUnknown, "gone": feed.ErrGone, "restored": feed.ErrRestored,
		"moved": feed.ErrPositionMismatch, "refused": feed.ErrRefused,
	} {
		if errors.Is(err, target) {
			return label
		}
	}
	if err != nil {
		return "failed"
	}
	return "ok"
}
