package link

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// EncodeUpstreamState converts an upstream state to a protobuf message. ReceivedAt is
// not sent.
func EncodeUpstreamState(state call.UpstreamState) *wire.View {
	return &wire.View{
		Target:       state.Target,
		Incarnation:  state.Incarnation,
		Epoch:        state.Epoch,
		InProgress:   uint32(state.InProgress),
		Queued:       uint32(state.Queued),
		Limit:        uint32(state.Limit),
		Slots:        uint32(state.Slots),
		Latency:      float64(state.Latency),
		Cold:         state.Cold,
		Leaving:      state.Leaving,
		Pace:         state.Slowdown,
		AdmitDelay:   float64(state.AdmitDelay),
		CallInterval: float64(state.CallInterval),
	}
}

// DecodeUpstreamState converts a message that was received at now. It returns nil for
// nil.
func DecodeUpstreamState(v *wire.View, now clock.Milli) *call.UpstreamState {
	if v == nil {
		return nil
	}
	return &call.UpstreamState{
		Target:       v.GetTarget(),
		Incarnation:  v.GetIncarnation(),
		Epoch:        v.GetEpoch(),
		InProgress:   int(v.GetInProgress()),
		Queued:       int(v.GetQueued()),
		Limit:        int(v.GetLimit()),
		Slots:        int(v.GetSlots()),
		Latency:      clock.Milli(v.GetLatency()),
		Cold:         v.GetCold(),
		Leaving:      v.GetLeaving(),
		Slowdown:     v.GetPace(),
		AdmitDelay:   clock.Milli(v.GetAdmitDelay()),
		CallInterval: clock.Milli(v.GetCallInterval()),
		ReceivedAt:   now,
	}
}
