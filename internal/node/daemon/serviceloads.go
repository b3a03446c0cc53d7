package daemon

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	// arrivalLagWindows is the number of windows after which the samples of all
	// guards have arrived.
	arrivalLagWindows = 4
	// serviceLoadDecay is the weight of the previous estimate per window. It
	// smooths the load over about 5 s.
	serviceLoadDecay = 0.9
)

// serviceLoads estimates the load of services, in busy slots, from the samples
// that a judge receives.
type serviceLoads struct {
	busyTime  map[string]map[int64]clock.Milli
	busySlots map[string]float64
}

func newServiceLoads() *serviceLoads {
	return &serviceLoads{busyTime: make(map[string]map[int64]clock.Milli), busySlots: make(map[string]float64)}
}

// addSample adds the busy time of a guard's sample to its window.
func (l *serviceLoads) addSample(s *shift.Sample) {
	windows := l.busyTime[s.Service]
	if windows == nil {
		windows = make(map[int64]clock.Milli)
		l.busyTime[s.Service] = windows
	}
	for i, n := range s.Latency {
		windows[s.Window] += clock.Milli(n) * call.LatencyBucketStart(i+1)
	}
}

// closeWindows updates the loads with the windows that are complete.
func (l *serviceLoads) closeWindows(now clock.Milli) {
	last := trial.WindowNumber(now) - arrivalLagWindows
	for service, windows := range l.busyTime {
		for w, busy := range windows {
			if w > last {
				continue
			}
			load := float64(busy / trial.WindowDuration)
			if previous, ok := l.busySlots[service]; ok {
				load = serviceLoadDecay*previous + (1-serviceLoadDecay)*load
			}
			l.busySlots[service] = load
			delete(windows, w)
		}
		if len(windows) == 0 {
			delete(l.busyTime, service)
		}
	}
}

// updateCapacity sets the load of a service and the slots of its new upstreams
// in the core of the version moves. The caller holds the lock.
func (m *moveController) updateCapacity(service string, load float64, members []call.Target) {
	for _, v := range m.conf.Config().VersionMoves(service) {
		c := shift.Capacity{Known: true, Offered: load}
		for i := range members {
			if members[i].Service == service && members[i].Version == v.NewVersion {
				c.NewSlots += float64(members[i].Slots)
			}
		}
		m.shiftCore.SetCapacity(service, c)
	}
}
