package link

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// EncodeTallies converts counts to their wire form.
func EncodeTallies(in []call.Tally) []*wire.Tally {
	out := make([]*wire.Tally, 0, len(in))
	for _, t := range in {
		out = append(out, &wire.Tally{Route: t.Route, Calls: t.Calls, Failed: t.Failed, SpentMs: float64(t.Spent)})
	}
	return out
}

// DecodeTallies converts counts from their wire form.
func DecodeTallies(in []*wire.Tally) []call.Tally {
	out := make([]call.Tally, 0, len(in))
	for _, t := range in {
		out = append(out, call.Tally{
			Route: t.GetRoute(), Calls: t.GetCalls(), Failed: t.GetFailed(), Spent: clock.Milli(t.GetSpentMs()),
		})
	}
	return out
}
