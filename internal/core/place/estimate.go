package place

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// admitDelay returns the time until the target's stated rate limit admits another call.
// The calls that this entry has sent since the last report come first.
func (t *target) admitDelay(now clock.Milli) clock.Milli {
	if !t.hasState || t.state.CallInterval == 0 {
		return 0
	}
	sent := max(0, t.inFlight-t.inFlightAtState)
	return max(0, t.state.AdmitDelay+clock.Milli(sent)*t.state.CallInterval-(now-t.state.ReceivedAt))
}

// latencyRatio returns the ratio of a target's latency to the baseline, without
// the slowdown of its VM. Ratios up to slowLatencyRatio are noise and count as 1. An old
// report counts less, so that a target that was slow is tried again.
func (p *Picker) latencyRatio(now clock.Milli, t *target) float64 {
	if !t.hasState || p.baselineLatency == 0 {
		return 1
	}
	excess := float64(t.state.Latency/p.baselineLatency) - 1
	if r := 1 + excess*ageWeight(now-t.state.ReceivedAt, failureHalfLife); r > slowLatencyRatio {
		return r
	}
	return 1
}

// estimateLoad estimates the number of calls at a target, its limit and the
// slowdown of its VM.
func (p *Picker) estimateLoad(now clock.Milli, t *target) (load, limit, slowdown float64) {
	limit = float64(max(1, t.Slots))
	if !t.hasState {
		return p.meanUtilisation*limit + float64(t.inFlight), limit, defaultSlowdown
	}
	age := now - t.state.ReceivedAt
	w := ageWeight(age, loadHalfLife)
	if t.state.Limit > 0 && t.state.Limit < t.state.Slots && age < failureHalfLife {
		limit = float64(t.state.Limit)
	}
	reported := float64(t.state.InProgress + t.state.Queued + t.inFlight - t.inFlightAtState)
	load = max(float64(t.inFlight), w*reported+(1-w)*(p.meanUtilisation*limit+float64(t.inFlight)/2))
	slowdown = defaultSlowdown
	if t.state.Slowdown > 0 {
		f := ageWeight(age, slowdownHalfLife)
		slowdown = f*t.state.Slowdown + (1-f)*defaultSlowdown
	}
	return load, limit, slowdown
}
