package lbsim

import (
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

// Chooser is what an entry needs to choose targets.
type Chooser interface {
	Choose(now clock.Milli, q pick.Query) pick.Choice
	RecordStart(now clock.Milli, id string)
	RecordResult(now clock.Milli, id string, r call.Result)
	Observe(now clock.Milli, v call.UpstreamState)
}

// Prober is a chooser that asks for views.
type Prober interface {
	NextProbe(now clock.Milli) (string, bool)
	ProbesPerCall() int
	IgnoresBudget() bool
}

// Admitter is what an upstream needs to admit calls.
type Admitter interface {
	Offer(now clock.Milli, t admit.Request) []admit.Decision
	Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision
	Cancel(now clock.Milli, id call.ID) []admit.Decision
	Tick(now clock.Milli) []admit.Decision
	UpstreamState(now clock.Milli) call.UpstreamState
}

// core is the picker of production, which probes within its budgets.
type core struct{ *pick.Picker }

// ProbesPerCall implements Prober.
func (core) ProbesPerCall() int { return 1 }

// IgnoresBudget implements Prober.
func (core) IgnoresBudget() bool { return false }

// rule is how a baseline scores a target; the lowest score wins.
type rule func(b *baseline, now clock.Milli, i int) float64

// baseline is a simple chooser.
type baseline struct {
	rand    *rand.Rand
	targets []call.Target
	index   map[string]int
	state   []known
	next    int
	// samples is the number of random targets compared, zero for all.
	samples int
	rule    rule
}

type known struct {
	pending int
	view    call.UpstreamState
	ewma    float64
	at      clock.Milli
}

func newBaseline(r *rand.Rand, targets []call.Target, samples int, score rule) *baseline {
	b := &baseline{rand: r, targets: targets, samples: samples, rule: score, index: map[string]int{}}
	b.state = make([]known, len(targets))
	for i := range targets {
		b.index[targets[i].ID] = i
	}
	b.next = r.IntN(len(targets))
	return b
}

// Choose implements Chooser.
func (b *baseline) Choose(now clock.Milli, _ pick.Query) pick.Choice {
	n := len(b.targets)
	if b.rule == nil {
		b.next = (b.next + 1) % n
		return pick.Choice{Target: &b.targets[b.next], Candidates: 1}
	}
	best, least := -1, math.Inf(1)
	for i, at := range b.rand.Perm(n) {
		if b.samples > 0 && i >= b.samples {
			break
		}
		if s := b.rule(b, now, at); best < 0 || s < least {
			best, least = at, s
		}
	}
	return pick.Choice{Target: &b.targets[best], Candidates: max(1, b.samples)}
}

// Started implements Chooser.
func (b *baseline) RecordStart(_ clock.Milli, id string) { b.state[b.index[id]].pending++ }

// RecordResult implements Chooser.
func (b *baseline) RecordResult(now clock.Milli, id string, r call.Result) {
	s := &b.state[b.index[id]]
	s.pending--
	l := float64(r.Latency)
	if l > s.ewma {
		s.ewma = l
	} else {
		w := math.Exp(-float64(now-s.at) / float64(clock.Second))
		s.ewma = s.ewma*w + l*(1-w)
	}
	s.at = now
	if r.State != nil {
		b.Observe(now, *r.State)
	}
}

// Observe implements Chooser.
func (b *baseline) Observe(now clock.Milli, v call.UpstreamState) {
	v.ReceivedAt = now
	b.state[b.index[v.Target]].view = v
}

// probing adds unbounded probes to a baseline.
type probing struct{ *baseline }

// NextProbe implements Prober.
func (p probing) NextProbe(clock.Milli) (string, bool) {
	return p.targets[p.rand.IntN(len(p.targets))].ID, true
}

// ProbesPerCall implements Prober.
func (probing) ProbesPerCall() int { return 2 }

// IgnoresBudget implements Prober.
func (probing) IgnoresBudget() bool { return true }

func scoreRandom(*baseline, clock.Milli, int) float64 { return 0 }

func scoreReports(b *baseline, _ clock.Milli, i int) float64 {
	return float64(b.state[i].view.InProgress + b.state[i].view.Queued)
}

func scoreLocal(b *baseline, _ clock.Milli, i int) float64 { return float64(b.state[i].pending) }

func scorePeak(b *baseline, now clock.Milli, i int) float64 {
	s := &b.state[i]
	w := math.Exp(-float64(now-s.at) / float64(clock.Second))
	return (s.ewma*w + 1) * float64(s.pending+1)
}

// scoreProbed puts targets with few calls first and the fastest among them.
func scoreProbed(b *baseline, _ clock.Milli, i int) float64 {
	v := &b.state[i].view
	if load := v.InProgress + v.Queued; load >= Slots {
		return 1e6 + float64(load)
	}
	return float64(v.Latency)
}

// fifo is a guard without admission control.
type fifo struct {
	running map[call.ID]bool
	queue   []admit.Request
	latency clock.Milli
}

func newFIFO() *fifo { return &fifo{running: map[call.ID]bool{}} }

// Offer implements Guard.
func (f *fifo) Offer(now clock.Milli, t admit.Request) []admit.Decision {
	f.queue = append(f.queue, t)
	return f.Tick(now)
}

// Finish implements Guard.
func (f *fifo) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	delete(f.running, id)
	f.latency += 0.1 * (r.Latency - f.latency)
	return f.Tick(now)
}

// Cancel implements Guard.
func (f *fifo) Cancel(clock.Milli, call.ID) []admit.Decision { return nil }

// Tick implements Guard.
func (f *fifo) Tick(now clock.Milli) []admit.Decision {
	var actions []admit.Decision
	for len(f.queue) > 0 {
		t := f.queue[0]
		late := now >= t.Deadline
		if !late && len(f.running) >= Slots {
			break
		}
		if late {
			actions = append(actions, admit.Decision{ID: t.ID, Reason: call.ReasonDeadline})
		} else {
			f.running[t.ID] = true
			actions = append(actions, admit.Decision{ID: t.ID, Admit: true})
		}
		f.queue = f.queue[1:]
	}
	return actions
}

// UpstreamState implements Guard.
func (f *fifo) UpstreamState(clock.Milli) call.UpstreamState {
	return call.UpstreamState{InProgress: len(f.running), Queued: len(f.queue), Limit: Slots, Slots: Slots, Latency: f.latency}
}
