package daemon

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	// offerLag is the number of windows after which the samples of all guards
	// have arrived.
	offerLag = 4
	// offerDecay smooths the load over about 5 s.
	offerDecay = 0.9
)

// offers estimates the load of services from the samples that judges get, in
// busy slots.
type offers struct {
	work map[string]map[int64]clock.Milli
	load map[string]float64
}

func newOffers() *offers {
	return &offers{work: make(map[string]map[int64]clock.Milli), load: make(map[string]float64)}
}

// add takes in a guard's sample.
func (o *offers) add(s *shift.Sample) {
	windows := o.work[s.Service]
	if windows == nil {
		windows = make(map[int64]clock.Milli)
		o.work[s.Service] = windows
	}
	for i, n := range s.Latency {
		windows[s.Window] += clock.Milli(n) * trial.BucketLowerBound(i+1)
	}
}

// step takes the windows that are complete into the load.
func (o *offers) step(now clock.Milli) {
	last := trial.WindowNumber(now) - offerLag
	for service, windows := range o.work {
		for w, work := range windows {
			if w > last {
				continue
			}
			load := float64(work / trial.WindowDuration)
			if old, ok := o.load[service]; ok {
				load = offerDecay*old + (1-offerDecay)*load
			}
			o.load[service] = load
			delete(windows, w)
		}
		if len(windows) == 0 {
			delete(o.work, service)
		}
	}
}

// capacity tells the version moves of a service what load its new upstreams
// can bear. The caller holds the lock.
func (m *mover) capacity(service string, load float64, members []call.Target) {
	for _, v := range m.conf.Config().VersionMoves(service) {
		c := shift.Capacity{Known: true, Offered: load}
		for i := range members {
			if members[i].Service == service && members[i].Version == v.NewVersion {
				c.NewSlots += float64(members[i].Slots)
			}
		}
		m.shifts.SetCapacity(service, c)
	}
}
