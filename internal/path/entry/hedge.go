package entry

import (
	"context"
	"sync"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// hedge starts a second attempt in parallel with one that is slow. The attempt
// whose response head arrives first wins; the other one is cancelled.
type hedge struct {
	runner *callRunner
	ctx    context.Context
	first  *attempt
	// stopFirst and stopSecond cancel the context of the respective attempt.
	stopFirst  context.CancelFunc
	stopSecond context.CancelFunc
	timer      *time.Timer

	mu           sync.Mutex
	winner       *attempt
	second       *attempt
	secondResult call.Result
	// closed is set when the second attempt must not start any more.
	closed bool
	// runDone is closed when run returns.
	runDone chan struct{}
}

// prepareHedge starts the timer for a hedge of the attempt. It returns a nil
// hedge if the call must not be hedged. The returned context is that of the
// first attempt.
func (r *callRunner) prepareHedge(ctx context.Context, a *attempt) (*hedge, context.Context) {
	if !r.request.Repeatable || !r.body.fitsInline(r.entry.maxInlineBytes) || r.request.MaxAttempts == 1 || r.isSuspect() {
		return nil, ctx
	}
	delay, ok := r.service.hedgeDelay(a.startedAt, retry.Attempt{Request: r.request, Number: r.attempts, StartedAt: a.startedAt})
	if !ok {
		return nil, ctx
	}
	h := &hedge{runner: r, ctx: ctx, first: a, runDone: make(chan struct{})}
	firstCtx, stop := context.WithCancel(ctx)
	h.stopFirst = stop
	h.timer = time.AfterFunc(delay.Duration(), h.run)
	return h, firstCtx
}

// run starts the second attempt and waits for its result. The timer calls it.
func (h *hedge) run() {
	defer close(h.runDone)
	ctx, a := h.startSecond()
	if a == nil {
		return
	}
	res := a.open(ctx)
	h.mu.Lock()
	h.secondResult = res
	if h.winner == nil && a.head != nil {
		h.winner = a
		h.first.superseded.Store(true)
		h.stopFirst()
	}
	won := h.winner == a
	h.mu.Unlock()
	if !won {
		h.runner.service.recordResult(h.runner.entry.clock.Now(), a.target.ID, res)
		a.close()
	}
}

// startSecond chooses the target of the second attempt. It returns a nil attempt
// if the first has ended, the hedge budget is exhausted or no target is left.
func (h *hedge) startSecond() (context.Context, *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.runner.service.mayHedge() {
		return nil, nil
	}
	runner := h.runner
	now := runner.entry.clock.Now()
	target, _, ok := runner.service.choose(now, runner.pickQuery(now, []string{h.first.target.ID}), runner.entry.roster, false)
	if !ok {
		return nil, nil
	}
	runner.service.recordHedge(now)
	h.second = &attempt{runner: runner, target: target, selectionReason: call.ReasonHedge, startedAt: now, isHedge: true}
	runner.entry.log.Info().Str("request", runner.request.ID.String()).Str("target", target.ID).Msg("call_hedged")
	ctx, stop := context.WithCancel(h.ctx)
	h.stopSecond = stop
	return ctx, h.second
}

// resolve determines the winner after the first attempt returned with res. It
// returns the attempt that decides the outcome of the call, and its result.
func (h *hedge) resolve(res call.Result) (*attempt, call.Result) {
	runner := h.runner
	h.mu.Lock()
	h.closed = true
	started := !h.timer.Stop()
	if h.winner == nil && h.first.head != nil {
		h.winner = h.first
		if h.second != nil {
			h.second.superseded.Store(true)
			h.stopSecond()
		}
	}
	winner, second := h.winner, h.second
	h.mu.Unlock()
	if second != nil {
		runner.attempts++
		runner.possiblyRun++
		runner.triedIDs = append(runner.triedIDs, second.target.ID)
	}
	if winner == h.first || second == nil {
		return h.first, res
	}
	// The first attempt failed or lost, so the second one decides.
	if started {
		<-h.runDone
	}
	runner.service.recordResult(runner.entry.clock.Now(), h.first.target.ID, res)
	h.first.close()
	if res.Outcome == call.OutcomeUnknown {
		runner.outcomeUnknown = true
	}
	return second, h.secondResult
}

// release cancels the contexts of both attempts.
func (h *hedge) release() {
	h.stopFirst()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopSecond != nil {
		h.stopSecond()
	}
}
