package link

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// EncodeView converts a view to its wire form.
func EncodeView(v call.View) *wire.View {
	return &wire.View{
		Target:      v.Target,
		Incarnation: v.Incarnation,
		Epoch:       v.Epoch,
		InProgress:  uint32(v.InProgress),
		Queued:      uint32(v.Queued),
		Limit:       uint32(v.Limit),
		Slots:       uint32(v.Slots),
		Latency:     float64(v.Latency),
		Cold:        v.Cold,
		Leaving:     v.Leaving,
		Pace:        v.Pace,
	}
}

// DecodeView converts a view that arrived at now; it returns nil for nil.
func DecodeView(v *wire.View, now clock.Milli) *call.View {
	if v == nil {
		return nil
	}
	return &call.View{
		Target:      v.GetTarget(),
		Incarnation: v.GetIncarnation(),
		Epoch:       v.GetEpoch(),
		InProgress:  int(v.GetInProgress()),
		Queued:      int(v.GetQueued()),
		Limit:       int(v.GetLimit()),
		Slots:       int(v.GetSlots()),
		Latency:     clock.Milli(v.GetLatency()),
		Cold:        v.GetCold(),
		Leaving:     v.GetLeaving(),
		Pace:        v.GetPace(),
		Taken:       now,
	}
}
