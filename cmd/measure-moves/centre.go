package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
)

const (
	centreCount          = 3
	daemonsPerCentre     = 4
	tickInterval         = 20 * clock.Millisecond
	centreCallsPerSecond = 300
	centreOutAt          = 5 * clock.Second
	returnDelay          = 20 * clock.Second
	centreRunDuration    = 4 * clock.Minute
	statusInterval       = 500 * clock.Millisecond
	// maxConfigDelay is the time within which a change has to be in force at
	// every daemon.
	maxConfigDelay = 2 * clock.Second
	callTimeout    = clock.Second
	exceptionID    = "out-c0"
)

// daemon is a simulated daemon that runs the real centre.Core.
type daemon struct {
	id       string
	centre   string
	core     *centre.Core
	revision int64
	// callEnds has the end time of each call in progress.
	callEnds []clock.Milli
	// configArrivals has the times at which the daemon receives configOut and
	// configAfter; the latter is zero until the data centre is returned.
	configArrivals [2]clock.Milli
	pause          interval
	crashAt        clock.Milli
	buffered       []bufferedCall
}

// bufferedCall is a call that reached a guard while it was paused.
type bufferedCall struct {
	receivedAt clock.Milli
	id         call.ID
}

// centreOutcome is the result of one run. Its times count from the start of
// the centre_out exception.
type centreOutcome struct {
	seed          uint64
	lastNewCallAt clock.Milli
	doneAt        clock.Milli
	callsCut      int
	callsRefused  int
	maxShareStep  float64
	shedAsNeeded  bool
	returned      bool
}

type centreRun struct {
	rand    *rand.Rand
	daemons []*daemon
	// observer is a core that receives the status of all daemons.
	observer     *centre.Core
	outFrom      clock.Milli
	configBefore *policy.Config
	configOut    *policy.Config
	configAfter  *policy.Config
	returnAt     clock.Milli
	loads        []centre.ServiceLoad
	// served has the number of calls that started in each second, in data
	// centre c0 and in total.
	served  [int(centreRunDuration / clock.Second)][2]int
	outcome centreOutcome
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func simulateCentreMove(seed uint64) centreOutcome {
	r := rand.New(rand.NewPCG(seed, 11))
	c := &centreRun{rand: r, observer: centre.New(), outcome: centreOutcome{seed: seed}}
	c.outFrom = centreOutAt
	e := policy.Exception{
		ID: exceptionID, Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: "c0"}, Revision: 9,
		Reason: "The power supply is replaced.", Author: "ana",
	}
	if r.IntN(3) == 0 {
		e.Start = centreOutAt + 10*clock.Second
		c.outFrom = e.Start
	}
	c.configBefore = &policy.Config{Revision: 8}
	c.configOut = &policy.Config{Revision: 9, Exceptions: []policy.Exception{e}}
	c.configAfter = &policy.Config{Revision: 10}
	for i := range centreCount * daemonsPerCentre {
		d := &daemon{id: fmt.Sprintf("10.0.%d.%d", i%centreCount, i/centreCount), centre: fmt.Sprintf("c%d", i%centreCount), core: centre.New()}
		d.configArrivals[0] = centreOutAt + clock.Milli(0.05+0.95*r.Float64())*maxConfigDelay
		d.crashAt = clock.Milli(math.Inf(1))
		c.daemons = append(c.daemons, d)
		c.configure(0, d, c.configBefore)
		c.observer.AddMember(d.id, d.centre)
	}
	c.observer.Configure(0, c.configBefore)
	c.planFaults()
	for now := clock.Milli(0); now < centreRunDuration; now += tickInterval {
		c.step(now)
	}
	c.measureReturn()
	return c.outcome
}

// planFaults draws a daemon that crashes and one that pauses around the start
// of the move, and the amount of background load.
func (c *centreRun) planFaults() {
	d := c.daemons[c.rand.IntN(len(c.daemons))]
	d.crashAt = centreOutAt + clock.Milli(5*c.rand.Float64())*clock.Second
	p := c.daemons[c.rand.IntN(len(c.daemons))]
	p.pause.from = centreOutAt - clock.Second + clock.Milli(3*c.rand.Float64())*clock.Second
	p.pause.until = p.pause.from + clock.Milli(1+5*c.rand.Float64())*clock.Second
	background := 30 * c.rand.Float64()
	for i := range centreCount {
		c.loads = append(c.loads, centre.ServiceLoad{
			Service: service, Centre: fmt.Sprintf("c%d", i), Slots: daemonsPerCentre * slotsPerUpstream,
			Foreground: 10, Background: background / centreCount,
		})
	}
}

func (c *centreRun) configure(now clock.Milli, d *daemon, cfg *policy.Config) {
	if cfg.Revision > d.revision {
		d.revision = cfg.Revision
		d.core.Configure(now, cfg)
	}
}

func (c *centreRun) step(now clock.Milli) {
	for _, d := range c.daemons {
		c.processPending(now, d)
	}
	for range c.poisson(centreCallsPerSecond * float64(tickInterval/clock.Second)) {
		entry := c.daemons[c.rand.IntN(len(c.daemons))]
		if !entry.isDown(now) {
			c.routeCall(now, entry)
		}
	}
	if math.Mod(float64(now), float64(statusInterval)) == 0 {
		c.exchangeStatus(now)
	}
}

// poisson draws a number of calls from the Poisson distribution, by Knuth's
// method.
func (c *centreRun) poisson(mean float64) int {
	n, p, limit := 0, c.rand.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= c.rand.Float64()
	}
	return n
}

// isDown reports whether the daemon has crashed or is paused.
func (d *daemon) isDown(now clock.Milli) bool { return now >= d.crashAt || d.pause.contains(now) }

// processPending runs the calls that were buffered during a pause, applies the
// configurations that have arrived and drops the calls that have ended.
func (c *centreRun) processPending(now clock.Milli, d *daemon) {
	if d.isDown(now) {
		return
	}
	// After a pause, the guard handles buffered calls before new configurations.
	for _, b := range d.buffered {
		if now-b.receivedAt <= callTimeout {
			c.runAtGuard(now, d, b.id)
		}
	}
	d.buffered = nil
	if now >= d.configArrivals[0] {
		c.configure(now, d, c.configOut)
	}
	if d.configArrivals[1] > 0 && now >= d.configArrivals[1] {
		c.configure(now, d, c.configAfter)
	}
	kept := d.callEnds[:0]
	for _, e := range d.callEnds {
		if e > now {
			kept = append(kept, e)
		}
	}
	d.callEnds = kept
}

func (c *centreRun) routeCall(now clock.Milli, entry *daemon) {
	id := call.NewID(c.rand)
	gate := entry.core.Gate()
	for range 3 {
		d := c.daemons[c.rand.IntN(len(c.daemons))]
		if now >= d.crashAt || !gate.Allow(now, d.centre, id) {
			continue
		}
		if d.pause.contains(now) {
			d.buffered = append(d.buffered, bufferedCall{receivedAt: now, id: id})
			return
		}
		if c.runAtGuard(now, d, id) {
			return
		}
	}
}

// runAtGuard passes a call to the guard of d and reports whether the call ran.
func (c *centreRun) runAtGuard(now clock.Milli, d *daemon, id call.ID) bool {
	gate := d.core.Gate()
	if !gate.Allow(now, d.centre, id) {
		c.outcome.callsRefused++
		return false
	}
	gate.AssertDispatch(now, d.centre)
	duration := 50 * clock.Millisecond * clock.Milli(c.rand.ExpFloat64())
	if c.rand.IntN(50) == 0 {
		duration = 15 * clock.Second * clock.Milli(c.rand.Float64())
	}
	d.callEnds = append(d.callEnds, now+duration)
	second := int(now / clock.Second)
	c.served[second][1]++
	if d.centre != "c0" {
		return true
	}
	c.served[second][0]++
	if now >= c.outFrom && c.returnAt == 0 {
		c.outcome.lastNewCallAt = max(c.outcome.lastNewCallAt, now-c.outFrom)
		if c.outcome.doneAt > 0 {
			c.outcome.callsCut++
		}
	}
	return true
}

// exchangeStatus passes the status of the running daemons to the observer,
// steps all cores, and ends the exception returnDelay after the move was done.
func (c *centreRun) exchangeStatus(now clock.Milli) {
	for _, d := range c.daemons {
		switch {
		case now >= d.crashAt+10*clock.Second:
			c.observer.RemoveMember(d.id)
		case !d.isDown(now):
			// The status is up to statusInterval old when it is used.
			c.observer.Observe(centre.MemberStatus{Member: d.id, Centre: d.centre, Revision: d.revision, InProgress: len(d.callEnds), ReceivedAt: now})
		}
		d.core.SetLoads(c.loads)
		d.core.Step(now)
	}
	c.observer.SetLoads(c.loads)
	if now >= centreOutAt && now < centreOutAt+statusInterval {
		c.observer.Configure(now, c.configOut)
	}
	for _, m := range c.observer.Step(now) {
		if m.State == centre.Done && c.outcome.doneAt == 0 {
			c.recordDone(now, &m)
		}
		c.outcome.returned = c.outcome.returned || m.State == centre.Returned
	}
	if c.outcome.doneAt > 0 && c.returnAt == 0 && now >= c.outFrom+c.outcome.doneAt+returnDelay {
		c.returnAt = now
		c.observer.Configure(now, c.configAfter)
		for _, d := range c.daemons {
			d.configArrivals[1] = now + clock.Milli(c.rand.Float64())*maxConfigDelay
		}
	}
}

// recordDone counts the calls still in progress in data centre c0 as cut, since
// the operators may switch it off once the move is done. It also checks that
// background load is shed exactly if the remaining data centres lack the
// capacity.
func (c *centreRun) recordDone(now clock.Milli, m *centre.Move) {
	c.outcome.doneAt = now - c.outFrom
	for _, d := range c.daemons {
		if d.centre == "c0" && now < d.crashAt {
			c.outcome.callsCut += len(d.callEnds)
		}
	}
	// Two data centres remain, with the default utilisation limit of 0.85. The
	// foreground load of all three is 30.
	usableSlots, wantedSlots := 2*daemonsPerCentre*slotsPerUpstream*0.85, 30.0
	for _, l := range c.loads {
		wantedSlots += l.Background
	}
	c.outcome.shedAsNeeded = len(m.Capacity) == 1 && (m.Capacity[0].BackgroundShedShare > 0) == (wantedSlots > usableSlots)
}
