package caller

import (
	"context"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/status"
)

// Periods of the check of waiting requests. Each waiter checks for all of
// them, so the period grows with their number.
const (
	checkEvery  = 20 * time.Millisecond
	checkSpread = 64
)

// grant is what a waiter receives: a slot, or the reason why it gets none.
type grant struct {
	to  *endpoint.Candidate
	err error
}

// gate admits the requests of one service to the endpoints' slots. A slot
// that becomes free goes to the waiter with the earliest deadline.
type gate struct {
	policy     endpoint.Policy
	candidates func() []endpoint.Candidate
	budget     caller.RetryBudget

	mu      sync.Mutex
	queue   caller.Queue[chan grant]
	pace    caller.ServiceTimeEstimator
	checked time.Time
}

// refusal returns the reason why a request may not wait, or nil.
func (g *gate) refusal(deadline time.Time, limit int, now time.Time) error {
	n := g.queue.Len()
	if n < limit && caller.CanFinishInTime(&g.pace, n, deadline, now) {
		return nil
	}
	if n < limit && caller.CanFinishInTime(&g.pace, g.queue.Ahead(deadline), deadline, now) {
		return nil
	}
	return g.comeBack(status.ErrQueueFull, now)
}

// comeBack adds to err when the present queue will have drained.
func (g *gate) comeBack(err error, now time.Time) error {
	return status.RetryIn(err, caller.RetryAfter(caller.ExpectedWait(&g.pace, g.queue.Len(), now)))
}

// enter takes a slot, waiting for one if it can come in time. tried are the
// endpoints to avoid if there are others.
func (g *gate) enter(ctx context.Context, q *caller.Request, limit int, tried []string) (*endpoint.Candidate, error) {
	g.mu.Lock()
	now := time.Now()
	if g.queue.Len() == 0 {
		if to := g.pick(tried, now); to != nil {
			g.mu.Unlock()
			return to, nil
		}
		g.pace.WaitBegan(now)
	}
	if len(g.candidates()) == 0 {
		defer g.mu.Unlock()
		return nil, g.comeBack(status.ErrNoEndpoint, now)
	}
	if err := g.refusal(q.Deadline, limit, now); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	q.MarkQueued()
	w := g.queue.Push(make(chan grant, 1), q.Deadline)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// pick chooses an endpoint and takes one of its slots; nil if none is free.
func (g *gate) pick(tried []string, now time.Time) *endpoint.Candidate {
	cs := g.candidates()
	if len(tried) > 0 {
		cs = without(cs, tried)
	}
	to := g.policy.Pick(cs, now)
	if to != nil {
		g.pace.SlotTaken(now)
	}
	return to
}

// without leaves the tried endpoints out, unless no other is left.
func without(cs []endpoint.Candidate, tried []string) []endpoint.Candidate {
	var out []endpoint.Candidate
	for i := range cs {
		if !slices.Contains(tried, cs[i].ID) {
			out = append(out, cs[i])
		}
	}
	if len(out) == 0 {
		return cs
	}
	return out
}

func (g *gate) wait(ctx context.Context, w *caller.Waiter[chan grant]) (*endpoint.Candidate, error) {
	t := time.NewTimer(g.checkPeriod())
	defer t.Stop()
	for {
		select {
		case got := <-w.Item:
			return got.to, got.err
		case <-ctx.Done():
			g.abandon(w)
			return nil, ended(ctx)
		case <-t.C:
			g.check()
			t.Reset(g.checkPeriod())
		}
	}
}

// abandon takes a waiter out, or passes on the slot that it was just given.
func (g *gate) abandon(w *caller.Waiter[chan grant]) {
	g.mu.Lock()
	waited := g.queue.Remove(w)
	g.mu.Unlock()
	if waited {
		return
	}
	if got := <-w.Item; got.to != nil {
		g.leave(got.to, 0, false)
	}
}

func (g *gate) checkPeriod() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return checkEvery * time.Duration(1+g.queue.Len()/checkSpread)
}

// check gives out slots that became free elsewhere, and turns away the
// waiters that can no longer be answered in time.
func (g *gate) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.checked) < checkEvery/2 {
		return
	}
	g.checked = now
	g.pump(now)
	for _, w := range g.queue.RemoveLate(&g.pace, now) {
		w.Item <- grant{err: g.comeBack(status.ErrQueueFull, now)}
	}
}

// leave frees a slot that was held for held; whole tells whether an answer
// came of it.
func (g *gate) leave(to *endpoint.Candidate, held time.Duration, whole bool) {
	to.Load.Release()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.pace.SlotFreed(held, whole, now)
	g.pump(now)
}

// slotSettle is how long an endpoint may go on with a request whose connection
// was closed, until it notices.
const slotSettle = 25 * time.Millisecond

// giveUp frees a slot after an attempt without an answer. If this entry gave
// up on a request that may still run, nobody gets the slot until the endpoint
// must have noticed, so that the next request does not exceed its slots. The
// slots of callers that went away are free at once.
func (g *gate) giveUp(to *endpoint.Candidate, held time.Duration, runs bool) {
	if runs {
		to.Load.HoldAbandoned()
		time.AfterFunc(slotSettle, func() {
			to.Load.ReleaseAbandoned()
			g.mu.Lock()
			defer g.mu.Unlock()
			g.pump(time.Now())
		})
	}
	g.leave(to, held, false)
}

// pump gives free slots to waiters.
func (g *gate) pump(now time.Time) {
	for g.queue.Len() > 0 {
		to := g.pick(nil, now)
		if to == nil {
			return
		}
		g.queue.Pop().Item <- grant{to: to}
	}
}

// ended returns why ctx ended, as a coded error.
func ended(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.ErrDeadlineExceeded
	}
	return status.ErrCallerCancelled
}
