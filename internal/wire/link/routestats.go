package link

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// EncodeRouteStats converts statistics of routes to protobuf messages.
func EncodeRouteStats(in []call.RouteStats) []*wire.Tally {
	out := make([]*wire.Tally, 0, len(in))
	for i := range in {
		t := &in[i]
		out = append(out, &wire.Tally{
			Route: t.Route, Calls: t.Calls, Failed: t.Failed, SpentMs: float64(t.TotalServiceTime),
			Answered: encodeHistogram(&t.Answered), CutOff: encodeHistogram(&t.CutOff),
			Running: encodeHistogram(&t.Running),
		})
	}
	return out
}

// DecodeRouteStats converts protobuf messages to statistics of routes.
func DecodeRouteStats(in []*wire.Tally) []call.RouteStats {
	out := make([]call.RouteStats, 0, len(in))
	for _, t := range in {
		out = append(out, call.RouteStats{
			Route: t.GetRoute(), Calls: t.GetCalls(), Failed: t.GetFailed(), TotalServiceTime: clock.Milli(t.GetSpentMs()),
			Answered: decodeHistogram(t.GetAnswered()), CutOff: decodeHistogram(t.GetCutOff()),
			Running: decodeHistogram(t.GetRunning()),
		})
	}
	return out
}

// encodeHistogram returns nil for a histogram without counts.
func encodeHistogram(h *call.LatencyHistogram) *wire.Histogram {
	first, end := 0, len(h)
	for first < end && h[first] == 0 {
		first++
	}
	for end > first && h[end-1] == 0 {
		end--
	}
	if first == end {
		return nil
	}
	return &wire.Histogram{First: uint32(first), Counts: h[first:end]}
}

// decodeHistogram ignores counts of buckets that do not exist.
func decodeHistogram(w *wire.Histogram) call.LatencyHistogram {
	var h call.LatencyHistogram
	if first := w.GetFirst(); first < call.LatencyBuckets {
		copy(h[first:], w.GetCounts())
	}
	return h
}
