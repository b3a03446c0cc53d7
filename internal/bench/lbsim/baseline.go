package lbsim

import (
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

// Chooser chooses the target of each attempt of an entry.
type Chooser interface {
	Choose(now clock.Milli, q pick.Query) pick.Choice
	RecordStart(now clock.Milli, id string)
	RecordResult(now clock.Milli, id string, r call.Result)
	Observe(now clock.Milli, state call.UpstreamState)
}

// Prober is implemented by choosers that probe targets for their state.
// IgnoresBudget reports whether its probes are exempt from the probe budgets.
type Prober interface {
	NextProbe(now clock.Milli) (string, bool)
	ProbesPerCall() int
	IgnoresBudget() bool
}

// Admitter decides which of the calls offered to an upstream run and when.
type Admitter interface {
	Offer(now clock.Milli, request admit.Request) []admit.Decision
	Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision
	Cancel(now clock.Milli, id call.ID) []admit.Decision
	Tick(now clock.Milli) []admit.Decision
	UpstreamState(now clock.Milli) call.UpstreamState
}

// corePicker is the production picker. It probes within the probe budgets.
type corePicker struct{ *pick.Picker }

// ProbesPerCall implements Prober.
func (corePicker) ProbesPerCall() int { return 1 }

// IgnoresBudget implements Prober.
func (corePicker) IgnoresBudget() bool { return false }

// scoreFunc returns the score of the target with index i. The target with the
// lowest score is chosen.
type scoreFunc func(b *baseline, now clock.Milli, i int) float64

// baseline is a chooser that compares targets by a simple score. The production
// picker is measured against it.
type baseline struct {
	rand      *rand.Rand
	targets   []call.Target
	index     map[string]int
	states    []targetState
	nextIndex int
	// samples is the number of random targets to compare; zero means all.
	samples int
	score   scoreFunc
}

type targetState struct {
	pending   int
	reported  call.UpstreamState
	ewma      float64
	updatedAt clock.Milli
}

func newBaseline(r *rand.Rand, targets []call.Target, samples int, score scoreFunc) *baseline {
	b := &baseline{rand: r, targets: targets, samples: samples, score: score, index: map[string]int{}}
	b.states = make([]targetState, len(targets))
	for i := range targets {
		b.index[targets[i].ID] = i
	}
	b.nextIndex = r.IntN(len(targets))
	return b
}

// Choose implements Chooser.
func (b *baseline) Choose(now clock.Milli, _ pick.Query) pick.Choice {
	n := len(b.targets)
	if b.score == nil {
		b.nextIndex = (b.nextIndex + 1) % n
		return pick.Choice{Target: &b.targets[b.nextIndex], Compared: 1}
	}
	best, lowest := -1, math.Inf(1)
	for i, target := range b.rand.Perm(n) {
		if b.samples > 0 && i >= b.samples {
			break
		}
		if s := b.score(b, now, target); best < 0 || s < lowest {
			best, lowest = target, s
		}
	}
	return pick.Choice{Target: &b.targets[best], Compared: max(1, b.samples)}
}

// RecordStart implements Chooser.
func (b *baseline) RecordStart(_ clock.Milli, id string) { b.states[b.index[id]].pending++ }

// RecordResult implements Chooser.
func (b *baseline) RecordResult(now clock.Milli, id string, r call.Result) {
	s := &b.states[b.index[id]]
	s.pending--
	l := float64(r.Latency)
	if l > s.ewma {
		s.ewma = l
	} else {
		w := math.Exp(-float64(now-s.updatedAt) / float64(clock.Second))
		s.ewma = s.ewma*w + l*(1-w)
	}
	s.updatedAt = now
	if r.State != nil {
		b.Observe(now, *r.State)
	}
}

// Observe implements Chooser.
func (b *baseline) Observe(now clock.Milli, state call.UpstreamState) {
	state.ReceivedAt = now
	b.states[b.index[state.Target]].reported = state
}

// probingBaseline is a baseline that probes two random targets per call, without
// a budget.
type probingBaseline struct{ *baseline }

// NextProbe implements Prober.
func (p probingBaseline) NextProbe(clock.Milli) (string, bool) {
	return p.targets[p.rand.IntN(len(p.targets))].ID, true
}

// ProbesPerCall implements Prober.
func (probingBaseline) ProbesPerCall() int { return 2 }

// IgnoresBudget implements Prober.
func (probingBaseline) IgnoresBudget() bool { return true }

func scoreRandom(*baseline, clock.Milli, int) float64 { return 0 }

func scoreReportedLoad(b *baseline, _ clock.Milli, i int) float64 {
	return float64(b.states[i].reported.InProgress + b.states[i].reported.Queued)
}

func scorePending(b *baseline, _ clock.Milli, i int) float64 { return float64(b.states[i].pending) }

func scorePeakEWMA(b *baseline, now clock.Milli, i int) float64 {
	s := &b.states[i]
	w := math.Exp(-float64(now-s.updatedAt) / float64(clock.Second))
	return (s.ewma*w + 1) * float64(s.pending+1)
}

// scoreProbedLatency prefers targets with fewer calls than slots, and among them
// the one with the lowest reported latency.
func scoreProbedLatency(b *baseline, _ clock.Milli, i int) float64 {
	reported := &b.states[i].reported
	if load := reported.InProgress + reported.Queued; load >= Slots {
		return 1e6 + float64(load)
	}
	return float64(reported.Latency)
}

// fifoAdmitter admits calls in the order of their arrival and rejects only those
// whose deadline has passed.
type fifoAdmitter struct {
	running map[call.ID]bool
	queue   []admit.Request
	latency clock.Milli
}

func newFIFOAdmitter() *fifoAdmitter { return &fifoAdmitter{running: map[call.ID]bool{}} }

// Offer implements Admitter.
func (f *fifoAdmitter) Offer(now clock.Milli, request admit.Request) []admit.Decision {
	f.queue = append(f.queue, request)
	return f.Tick(now)
}

// Finish implements Admitter.
func (f *fifoAdmitter) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	delete(f.running, id)
	f.latency += 0.1 * (r.Latency - f.latency)
	return f.Tick(now)
}

// Cancel implements Admitter. It does nothing, so cancelled calls run anyway.
func (f *fifoAdmitter) Cancel(clock.Milli, call.ID) []admit.Decision { return nil }

// Tick implements Admitter.
func (f *fifoAdmitter) Tick(now clock.Milli) []admit.Decision {
	var decisions []admit.Decision
	for len(f.queue) > 0 {
		request := f.queue[0]
		expired := now >= request.Deadline
		if !expired && len(f.running) >= Slots {
			break
		}
		if expired {
			decisions = append(decisions, admit.Decision{ID: request.ID, Reason: call.ReasonDeadline})
		} else {
			f.running[request.ID] = true
			decisions = append(decisions, admit.Decision{ID: request.ID, Admit: true})
		}
		f.queue = f.queue[1:]
	}
	return decisions
}

// UpstreamState implements Admitter.
func (f *fifoAdmitter) UpstreamState(clock.Milli) call.UpstreamState {
	return call.UpstreamState{InProgress: len(f.running), Queued: len(f.queue), Limit: Slots, Slots: Slots, Latency: f.latency}
}
