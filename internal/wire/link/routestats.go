package link

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// EncodeRouteStats converts statistics of routes to protobuf messages.
func EncodeRouteStats(in []call.RouteStats) []*wire.Tally {
	out := make([]*wire.Tally, 0, len(in))
	for _, t := range in {
		out = append(out, &wire.Tally{Route: t.Route, Calls: t.Calls, Failed: t.Failed, SpentMs: float64(t.TotalServiceTime)})
	}
	return out
}

// DecodeRouteStats converts protobuf messages to statistics of routes.
func DecodeRouteStats(in []*wire.Tally) []call.RouteStats {
	out := make([]call.RouteStats, 0, len(in))
	for _, t := range in {
		out = append(out, call.RouteStats{
			Route: t.GetRoute(), Calls: t.GetCalls(), Failed: t.GetFailed(), TotalServiceTime: clock.Milli(t.GetSpentMs()),
		})
	}
	return out
}
