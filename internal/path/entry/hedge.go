package entry

import (
	"context"
	"sync"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// hedge runs a second attempt beside one that is slow. The attempt whose
// response starts first wins; the other one is cancelled.
type hedge struct {
	tries *tries
	ctx   context.Context
	first *attempt
	// stopFirst and stopSecond end the context of one attempt.
	stopFirst  context.CancelFunc
	stopSecond context.CancelFunc
	timer      *time.Timer

	mu     sync.Mutex
	winner *attempt
	second *attempt
	result call.Result
	// closed is set when no second attempt may start any more.
	closed bool
	done   chan struct{}
}

// hedged prepares a hedge of the attempt if the call may have one. The
// returned context is that of the first attempt.
func (t *tries) hedged(ctx context.Context, a *attempt) (*hedge, context.Context) {
	if !t.request.Repeatable || !t.body.inline(t.entry.inline) || t.request.MaxAttempts == 1 {
		return nil, ctx
	}
	after, ok := t.service.hedgeAfter(a.began, retry.Attempt{Request: t.request, Number: t.attempts, StartedAt: a.began})
	if !ok {
		return nil, ctx
	}
	h := &hedge{tries: t, ctx: ctx, first: a, done: make(chan struct{})}
	firstCtx, stop := context.WithCancel(ctx)
	h.stopFirst = stop
	h.timer = time.AfterFunc(after.Duration(), h.run)
	return h, firstCtx
}

// run is started by the timer.
func (h *hedge) run() {
	defer close(h.done)
	ctx, a := h.start()
	if a == nil {
		return
	}
	res := a.open(ctx)
	h.mu.Lock()
	h.result = res
	if h.winner == nil && a.head != nil {
		h.winner = a
		h.first.lost.Store(true)
		h.stopFirst()
	}
	won := h.winner == a
	h.mu.Unlock()
	if !won {
		h.tries.service.done(h.tries.entry.clock.Now(), a.target.ID, res)
		a.close()
	}
}

// start chooses the target of the second attempt, unless the first has ended.
func (h *hedge) start() (context.Context, *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.tries.service.mayHedge() {
		return nil, nil
	}
	t := h.tries
	now := t.entry.clock.Now()
	target, _, ok := t.service.choose(now, t.query(now, []string{h.first.target.ID}), t.entry.roster, false)
	if !ok {
		return nil, nil
	}
	t.service.hedged(now)
	h.second = &attempt{tries: t, target: target, choice: call.ReasonHedge, began: now, hedge: true}
	t.entry.log.Info().Str("request", t.request.ID.String()).Str("target", target.ID).Msg("call_hedged")
	ctx, stop := context.WithCancel(h.ctx)
	h.stopSecond = stop
	return ctx, h.second
}

// settle ends the race after the first attempt returned with res. It returns
// the attempt that counts for the call.
func (h *hedge) settle(res call.Result) (*attempt, call.Result) {
	t := h.tries
	h.mu.Lock()
	h.closed = true
	started := !h.timer.Stop()
	if h.winner == nil && h.first.head != nil {
		h.winner = h.first
		if h.second != nil {
			h.second.lost.Store(true)
			h.stopSecond()
		}
	}
	winner, second := h.winner, h.second
	h.mu.Unlock()
	if second != nil {
		t.attempts++
		t.ran++
		t.tried = append(t.tried, second.target.ID)
	}
	if winner == h.first || second == nil {
		return h.first, res
	}
	// The first attempt failed or lost; the second decides.
	if started {
		<-h.done
	}
	t.service.done(t.entry.clock.Now(), h.first.target.ID, res)
	h.first.close()
	if res.Outcome == call.OutcomeUnknown {
		t.unknown = true
	}
	return second, h.result
}

// release frees the contexts of the attempts.
func (h *hedge) release() {
	h.stopFirst()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopSecond != nil {
		h.stopSecond()
	}
}
