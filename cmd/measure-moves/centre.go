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
	centreCount   = 3
	daemonsEach   = 4
	tick          = 20 * clock.Millisecond
	centreCalls   = 300
	outAt         = 5 * clock.Second
	backAfter     = 20 * clock.Second
	centreRunTime = 4 * clock.Minute
	statusEvery   = 500 * clock.Millisecond
	// configDelay is the goal for a change to be in force everywhere.
	configDelay = 2 * clock.Second
	callTimeout = clock.Second
	exceptionID = "out-c0"
)

// daemon is a fake daemon with the real decision code.
type daemon struct {
	id       string
	centre   string
	core     *centre.Core
	revision int64
	ends     []clock.Milli
	arrives  [2]clock.Milli
	paused   span
	crash    clock.Milli
	waiting  []arrival
}

// arrival is a call that reached a guard while it was paused.
type arrival struct {
	at clock.Milli
	id call.ID
}

type centreOutcome struct {
	seed     uint64
	lastNew  clock.Milli
	doneAt   clock.Milli
	cut      int
	refused  int
	jump     float64
	shedOK   bool
	returned bool
}

type centreRun struct {
	rand    *rand.Rand
	daemons []*daemon
	watch   *centre.Core
	from    clock.Milli
	before  *policy.Config
	out     *policy.Config
	after   *policy.Config
	backAt  clock.Milli
	load    []centre.Load
	// served counts the calls of the data centre and of all in each second.
	served [int(centreRunTime / clock.Second)][2]int
	res    centreOutcome
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func runCentre(seed uint64) centreOutcome {
	r := rand.New(rand.NewPCG(seed, 11))
	c := &centreRun{rand: r, watch: centre.New(), res: centreOutcome{seed: seed}}
	c.from = outAt
	e := policy.Exception{
		ID: exceptionID, Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: "c0"}, Revision: 9,
		Reason: "The power supply is replaced.", Author: "ana",
	}
	if r.IntN(3) == 0 {
		e.Start = outAt + 10*clock.Second
		c.from = e.Start
	}
	c.before = &policy.Config{Revision: 8}
	c.out = &policy.Config{Revision: 9, Exceptions: []policy.Exception{e}}
	c.after = &policy.Config{Revision: 10}
	for i := range centreCount * daemonsEach {
		d := &daemon{id: fmt.Sprintf("10.0.%d.%d", i%centreCount, i/centreCount), centre: fmt.Sprintf("c%d", i%centreCount), core: centre.New()}
		d.arrives[0] = outAt + clock.Milli(0.05+0.95*r.Float64())*configDelay
		d.crash = clock.Milli(math.Inf(1))
		c.daemons = append(c.daemons, d)
		c.configure(0, d, c.before)
		c.watch.AddMember(d.id, d.centre)
	}
	c.watch.Configure(0, c.before)
	c.trouble()
	for now := clock.Milli(0); now < centreRunTime; now += tick {
		c.step(now)
	}
	c.judgeReturn()
	return c.res
}

// trouble lets one daemon crash and one pause around the time of the move.
func (c *centreRun) trouble() {
	d := c.daemons[c.rand.IntN(len(c.daemons))]
	d.crash = outAt + clock.Milli(5*c.rand.Float64())*clock.Second
	p := c.daemons[c.rand.IntN(len(c.daemons))]
	p.paused.from = outAt - clock.Second + clock.Milli(3*c.rand.Float64())*clock.Second
	p.paused.until = p.paused.from + clock.Milli(1+5*c.rand.Float64())*clock.Second
	background := 30 * c.rand.Float64()
	for i := range centreCount {
		c.load = append(c.load, centre.Load{
			Service: service, Centre: fmt.Sprintf("c%d", i), Slots: daemonsEach * slotsEach,
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
		c.wake(now, d)
	}
	for range c.poisson(centreCalls * float64(tick/clock.Second)) {
		entry := c.daemons[c.rand.IntN(len(c.daemons))]
		if !entry.down(now) {
			c.call(now, entry)
		}
	}
	if math.Mod(float64(now), float64(statusEvery)) == 0 {
		c.status(now)
	}
}

func (c *centreRun) poisson(mean float64) int {
	n, p, limit := 0, c.rand.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= c.rand.Float64()
	}
	return n
}

func (d *daemon) down(now clock.Milli) bool { return now >= d.crash || d.paused.holds(now) }

// wake delivers configurations and what waited during a pause.
func (c *centreRun) wake(now clock.Milli, d *daemon) {
	if d.down(now) {
		return
	}
	// The guard works off what is in its buffers before anything else.
	for _, a := range d.waiting {
		if now-a.at <= callTimeout {
			c.guard(now, d, a.id)
		}
	}
	d.waiting = nil
	if now >= d.arrives[0] {
		c.configure(now, d, c.out)
	}
	if d.arrives[1] > 0 && now >= d.arrives[1] {
		c.configure(now, d, c.after)
	}
	kept := d.ends[:0]
	for _, e := range d.ends {
		if e > now {
			kept = append(kept, e)
		}
	}
	d.ends = kept
}

func (c *centreRun) call(now clock.Milli, entry *daemon) {
	id := call.NewID(c.rand)
	gate := entry.core.Gate()
	for range 3 {
		d := c.daemons[c.rand.IntN(len(c.daemons))]
		if now >= d.crash || !gate.Allow(now, d.centre, id) {
			continue
		}
		if d.paused.holds(now) {
			d.waiting = append(d.waiting, arrival{at: now, id: id})
			return
		}
		if c.guard(now, d, id) {
			return
		}
	}
}

// guard reports whether the call ran.
func (c *centreRun) guard(now clock.Milli, d *daemon, id call.ID) bool {
	gate := d.core.Gate()
	if !gate.Allow(now, d.centre, id) {
		c.res.refused++
		return false
	}
	gate.AssertDispatch(now, d.centre)
	length := 50 * clock.Millisecond * clock.Milli(c.rand.ExpFloat64())
	if c.rand.IntN(50) == 0 {
		length = 15 * clock.Second * clock.Milli(c.rand.Float64())
	}
	d.ends = append(d.ends, now+length)
	second := int(now / clock.Second)
	c.served[second][1]++
	if d.centre != "c0" {
		return true
	}
	c.served[second][0]++
	if now >= c.from && c.backAt == 0 {
		c.res.lastNew = max(c.res.lastNew, now-c.from)
		if c.res.doneAt > 0 {
			c.res.cut++
		}
	}
	return true
}

// status tells the watching core what the daemons report, and acts on done.
func (c *centreRun) status(now clock.Milli) {
	for _, d := range c.daemons {
		switch {
		case now >= d.crash+10*clock.Second:
			c.watch.RemoveMember(d.id)
		case !d.down(now):
			// The status is up to one period old when it is used.
			c.watch.Observe(centre.Status{Member: d.id, Centre: d.centre, Revision: d.revision, InProgress: len(d.ends), ReceivedAt: now})
		}
		d.core.SetLoads(c.load)
		d.core.Step(now)
	}
	c.watch.SetLoads(c.load)
	if now >= outAt && now < outAt+statusEvery {
		c.watch.Configure(now, c.out)
	}
	for _, m := range c.watch.Step(now) {
		if m.State == centre.Done && c.res.doneAt == 0 {
			c.done(now, &m)
		}
		c.res.returned = c.res.returned || m.State == centre.Returned
	}
	if c.res.doneAt > 0 && c.backAt == 0 && now >= c.from+c.res.doneAt+backAfter {
		c.backAt = now
		c.watch.Configure(now, c.after)
		for _, d := range c.daemons {
			d.arrives[1] = now + clock.Milli(c.rand.Float64())*configDelay
		}
	}
}

// done switches the data centre off: a call that is still there is cut.
func (c *centreRun) done(now clock.Milli, m *centre.Move) {
	c.res.doneAt = now - c.from
	for _, d := range c.daemons {
		if d.centre == "c0" && now < d.crash {
			c.res.cut += len(d.ends)
		}
	}
	usable, wanted := 2*daemonsEach*slotsEach*0.85, 30.0
	for _, l := range c.load {
		wanted += l.Background
	}
	c.res.shedOK = len(m.Capacity) == 1 && (m.Capacity[0].BackgroundShedShare > 0) == (wanted > usable)
}
