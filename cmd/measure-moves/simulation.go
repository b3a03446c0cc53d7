package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	service    = "booking"
	oldVersion = "v1"
	newVersion = "v2"

	oldTargets   = 6
	newTargets   = 3
	slotsEach    = 6
	callsASecond = 400
	baseErrors   = 0.002
	baseLatency  = 15 * clock.Millisecond
	moveLength   = 10 * clock.Minute
	// faultLoad is the number of calls a second at one target from which a
	// version fails that fails only under load.
	faultLoad = 40
)

// routeShares are the parts of the four routes' calls.
var routeShares = []float64{0.5, 0.25, 0.15, 0.1}

// span is a time in which something holds.
type span struct{ from, until clock.Milli }

func (s span) holds(now clock.Milli) bool { return now >= s.from && now < s.until }

// fault says how a bad version is bad.
type fault struct {
	errors    float64
	slower    float64
	from      clock.Milli
	underLoad bool
	route     int
}

// upstream is a fake server.
type upstream struct {
	id      string
	version string
	noisy   []span
	calls   int
	rate    float64
	samples []trial.Sample
}

// world is the fakes' side of a run: servers, callers and their troubles.
type world struct {
	rand *rand.Rand
	old  []*upstream
	new  []*upstream
	// slow and faulty hold for both versions alike.
	slow   []span
	faulty span
	fault  *fault
	// shown is when a call failed or slowed through the fault first.
	shown  clock.Milli
	before int64
	after  int64
}

func newWorld(r *rand.Rand, f *fault) *world {
	w := &world{rand: r, fault: f}
	for i := range oldTargets {
		w.old = append(w.old, &upstream{id: fmt.Sprintf("10.0.0.%d", i), version: oldVersion})
	}
	for i := range newTargets {
		w.new = append(w.new, &upstream{id: fmt.Sprintf("10.0.1.%d", i), version: newVersion})
	}
	for range 3 {
		w.slow = append(w.slow, w.period(20, 60))
	}
	w.faulty = w.period(10, 30)
	for range 2 {
		u := w.old[r.IntN(oldTargets)]
		u.noisy = append(u.noisy, w.period(30, 120))
	}
	w.neighbours()
	return w
}

// neighbours slows one target of the new version after the other, and never
// two at once: a slowdown of most targets at once is no noisy neighbour.
func (w *world) neighbours() {
	at := clock.Milli(w.rand.Float64()) * moveLength / 3
	for range 3 {
		u := w.new[w.rand.IntN(newTargets)]
		s := span{from: at, until: at + clock.Milli(30+90*w.rand.Float64())*clock.Second}
		u.noisy = append(u.noisy, s)
		at = s.until + clock.Milli(60*w.rand.Float64())*clock.Second
	}
}

// period draws a time within the move that lasts some seconds.
func (w *world) period(least, most float64) span {
	from := clock.Milli(w.rand.Float64()) * moveLength
	return span{from: from, until: from + clock.Milli(least+(most-least)*w.rand.Float64())*clock.Second}
}

func (w *world) route() int {
	x := w.rand.Float64()
	for i, s := range routeShares {
		if x < s {
			return i
		}
		x -= s
	}
	return 0
}

// serve runs a call and counts it as the guard does.
func (w *world) serve(now clock.Milli, u *upstream, route int) {
	failed := w.rand.Float64() < baseErrors
	latency := baseLatency * clock.Milli(math.Exp(0.5*w.rand.NormFloat64())*(1+0.3*float64(route)))
	for _, s := range w.slow {
		if s.holds(now) {
			latency *= 2.5
		}
	}
	for _, s := range u.noisy {
		if s.holds(now) {
			latency *= 4
		}
	}
	if w.faulty.holds(now) {
		failed = failed || w.rand.Float64() < 0.05
	}
	if u.version == newVersion {
		failed, latency = w.spoil(now, u, route, failed, latency)
	}
	u.calls++
	u.samples[route].Count(latency, failed)
}

func (w *world) spoil(now clock.Milli, u *upstream, route int, failed bool, latency clock.Milli) (bool, clock.Milli) {
	f := w.fault
	if f == nil {
		return failed, latency
	}
	active := now >= f.from && (f.route < 0 || f.route == route) && (!f.underLoad || u.rate > faultLoad)
	if active {
		if w.rand.Float64() < f.errors {
			failed = true
		}
		latency *= clock.Milli(f.slower)
		if w.shown == 0 && (failed || f.slower > 1) {
			w.shown = now
		}
	}
	if w.shown == 0 {
		w.before++
	} else {
		w.after++
	}
	return failed, latency
}

// begin opens a window.
func (w *world) begin(now clock.Milli) {
	for _, u := range w.all() {
		u.samples = make([]trial.Sample, len(routeShares))
		for i := range u.samples {
			u.samples[i] = trial.Sample{
				Service: service, Route: fmt.Sprintf("r%d", i), Version: u.version,
				Target: u.id, Window: trial.WindowNumber(now),
			}
		}
	}
}

// end closes a window and hands its samples over as they travel on the wire.
func (w *world) end(send func(*trial.Sample)) {
	for _, u := range w.all() {
		u.rate = 0.7*u.rate + 0.3*float64(u.calls)/float64(trial.WindowDuration/clock.Second)
		u.calls = 0
		for i := range u.samples {
			if s, ok := shift.SampleFromWire(shift.SampleToWire(&u.samples[i])); ok && s.Calls > 0 {
				send(&s)
			}
		}
	}
}

func (w *world) all() []*upstream {
	return append(append([]*upstream{}, w.old...), w.new...)
}

// poisson draws the number of calls of a window.
func (w *world) poisson(mean float64) int {
	return max(int(math.Round(mean+math.Sqrt(mean)*w.rand.NormFloat64())), 0)
}
