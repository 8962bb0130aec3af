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

// Parameters of the periodic check of the queue. Every waiter runs the check for
// the whole queue, so the interval grows by minCheckInterval for each
// waitersPerInterval waiters.
const (
	minCheckInterval   = 20 * time.Millisecond
	waitersPerInterval = 64
)

// slotGrant is what a waiter receives: an endpoint with a slot acquired, or the
// reason why it gets none.
type slotGrant struct {
	to  *endpoint.Candidate
	err error
}

// admissionController assigns the slots of one service's endpoints to requests.
// A slot that becomes free goes to the waiter with the earliest deadline.
type admissionController struct {
	policy     endpoint.Policy
	candidates func() []endpoint.Candidate
	budget     caller.RetryBudget

	mu        sync.Mutex
	queue     caller.Queue[chan slotGrant]
	estimator caller.ServiceTimeEstimator
	lastCheck time.Time
}

// admissionError returns nil if a request with the given deadline may join the
// queue, or else the reason why it may not.
func (ac *admissionController) admissionError(deadline time.Time, queueLimit int, now time.Time) error {
	n := ac.queue.Len()
	if n < queueLimit && caller.CanFinishInTime(&ac.estimator, n, deadline, now) {
		return nil
	}
	// Only the waiters with earlier deadlines precede the request. Counting them
	// iterates over the queue.
	if n < queueLimit && caller.CanFinishInTime(&ac.estimator, ac.queue.Ahead(deadline), deadline, now) {
		return nil
	}
	return ac.withRetryAfter(status.ErrQueueFull, now)
}

// withRetryAfter returns err with a retry delay after which the current queue is
// expected to have drained.
func (ac *admissionController) withRetryAfter(err error, now time.Time) error {
	return status.RetryIn(err, caller.RetryAfter(caller.ExpectedWait(&ac.estimator, ac.queue.Len(), now)))
}

// acquireSlot acquires a slot, and waits for one if it can become free in time.
// It avoids the endpoints in tried if there are others, but a request that had to
// wait may get any endpoint.
func (ac *admissionController) acquireSlot(ctx context.Context, req *caller.Request, queueLimit int, tried []string) (*endpoint.Candidate, error) {
	ac.mu.Lock()
	now := time.Now()
	if ac.queue.Len() == 0 {
		if to := ac.tryAcquireSlot(tried, now); to != nil {
			ac.mu.Unlock()
			return to, nil
		}
		ac.estimator.WaitBegan(now)
	}
	if len(ac.candidates()) == 0 {
		defer ac.mu.Unlock()
		return nil, ac.withRetryAfter(status.ErrNoEndpoint, now)
	}
	if err := ac.admissionError(req.Deadline, queueLimit, now); err != nil {
		ac.mu.Unlock()
		return nil, err
	}
	req.MarkQueued()
	w := ac.queue.Push(make(chan slotGrant, 1), req.Deadline)
	ac.mu.Unlock()
	return ac.waitForSlot(ctx, w)
}

// tryAcquireSlot picks an endpoint and acquires one of its slots. It returns nil
// if no slot is free.
func (ac *admissionController) tryAcquireSlot(tried []string, now time.Time) *endpoint.Candidate {
	cs := ac.candidates()
	if len(tried) > 0 {
		cs = excludeTried(cs, tried)
	}
	to := ac.policy.Pick(cs, now)
	if to != nil {
		ac.estimator.SlotTaken(now)
	}
	return to
}

// excludeTried returns the candidates that are not in tried, or all of them if
// none would be left.
func excludeTried(cs []endpoint.Candidate, tried []string) []endpoint.Candidate {
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

func (ac *admissionController) waitForSlot(ctx context.Context, w *caller.Waiter[chan slotGrant]) (*endpoint.Candidate, error) {
	t := time.NewTimer(ac.checkInterval())
	defer t.Stop()
	for {
		select {
		case granted := <-w.Item:
			return granted.to, granted.err
		case <-ctx.Done():
			ac.cancelWait(w)
			return nil, contextError(ctx)
		case <-t.C:
			ac.checkWaiters()
			t.Reset(ac.checkInterval())
		}
	}
}

// cancelWait removes a waiter from the queue. If the waiter was granted a slot
// in the meantime, cancelWait releases the slot.
func (ac *admissionController) cancelWait(w *caller.Waiter[chan slotGrant]) {
	ac.mu.Lock()
	removed := ac.queue.Remove(w)
	ac.mu.Unlock()
	if removed {
		return
	}
	if granted := <-w.Item; granted.to != nil {
		ac.releaseSlot(granted.to, 0, false)
	}
}

func (ac *admissionController) checkInterval() time.Duration {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return minCheckInterval * time.Duration(1+ac.queue.Len()/waitersPerInterval)
}

// checkWaiters grants slots that became free without a release by this
// controller, such as those of new endpoints, and rejects the waiters that can
// no longer be answered in time.
func (ac *admissionController) checkWaiters() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := time.Now()
	if now.Sub(ac.lastCheck) < minCheckInterval/2 {
		return
	}
	ac.lastCheck = now
	ac.grantFreeSlots(now)
	for _, w := range ac.queue.RemoveLate(&ac.estimator, now) {
		w.Item <- slotGrant{err: ac.withRetryAfter(status.ErrQueueFull, now)}
	}
}

// releaseSlot releases a slot that was in use for serviceTime. complete reports
// whether the request got a response.
func (ac *admissionController) releaseSlot(to *endpoint.Candidate, serviceTime time.Duration, complete bool) {
	to.Load.Release()
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := time.Now()
	ac.estimator.SlotFreed(serviceTime, complete, now)
	ac.grantFreeSlots(now)
}

// abandonedSlotHold is how long an endpoint may continue a request before it
// notices that the connection was closed.
const abandonedSlotHold = 25 * time.Millisecond

// releaseFailed releases a slot after an attempt without a response. mayRun
// reports whether this entry stopped waiting for a request that may still run.
// Such a slot stays occupied until the endpoint must have noticed the closed
// connection, so that the next request does not exceed the endpoint's slots.
// The slot of a request that its caller cancelled is free at once.
func (ac *admissionController) releaseFailed(to *endpoint.Candidate, serviceTime time.Duration, mayRun bool) {
	if mayRun {
		to.Load.HoldAbandoned()
		time.AfterFunc(abandonedSlotHold, func() {
			to.Load.ReleaseAbandoned()
			ac.mu.Lock()
			defer ac.mu.Unlock()
			ac.grantFreeSlots(time.Now())
		})
	}
	ac.releaseSlot(to, serviceTime, false)
}

// grantFreeSlots grants free slots to waiters in order of their deadlines.
func (ac *admissionController) grantFreeSlots(now time.Time) {
	for ac.queue.Len() > 0 {
		to := ac.tryAcquireSlot(nil, now)
		if to == nil {
			return
		}
		ac.queue.Pop().Item <- slotGrant{to: to}
	}
}

// contextError returns the coded error for the reason why ctx ended.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.ErrDeadlineExceeded
	}
	return status.ErrCallerCancelled
}
