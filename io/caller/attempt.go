package caller

import (
	"context"
	"io"
	"time"

	"rosemarygap/core/caller"
	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/io/endpoint"

	"github.com/pkg/errors"
)

// Observer receives the result of each dispatch. Dispatches that the caller
// cancelled are not reported, because they say nothing about the endpoint.
type Observer interface {
	Observe(endpointID string, latency time.Duration, result caller.Result, httpStatus int, now time.Time)
}

// dispatchWithRetries dispatches the request until an endpoint responds or the
// request can no longer be retried.
func (s *Server) dispatchWithRetries(ctx context.Context, x *exchange, ac *admissionController, fwd *endpoint.Request) (*endpoint.Response, error) {
	var lastErr error
	for {
		to, err := ac.acquireSlot(ctx, &x.req, x.queueLimit, x.triedEndpoints)
		if err != nil {
			return nil, firstError(lastErr, err)
		}
		resp, retryReserved, err := s.dispatchOnce(ctx, x, ac, to, fwd)
		if err == nil {
			return resp, nil
		}
		lastErr = status.RetryIn(err, caller.RetryAfter(defaultRetryAfter))
		if !retryReserved && !ac.budget.TryWithdraw() {
			return nil, lastErr
		}
		if x.req.Attempts() >= maxAttempts || !x.req.MayRetry() || backOff(ctx, x.req.Attempts()) != nil {
			ac.budget.Refund()
			return nil, lastErr
		}
	}
}

// dispatchOnce dispatches the request once in a slot of endpoint to, which the
// caller of dispatchOnce has acquired. If it fails, retryReserved reports
// whether a retry has already been withdrawn from the budget.
func (s *Server) dispatchOnce(ctx context.Context, x *exchange, ac *admissionController, to *coreendpoint.Candidate, fwd *endpoint.Request) (_ *endpoint.Response, retryReserved bool, _ error) {
	fwd.Attempt = x.req.MarkDispatched()
	if fwd.Attempt == 1 {
		ac.budget.Deposit()
	}
	x.lastEndpoint = to.ID
	x.triedEndpoints = append(x.triedEndpoints, to.ID)
	event.RequestRouted.Emit(s.log, event.Request(x.req.ID), event.Service(x.req.Service),
		event.Endpoint(to.ID), event.Attempt(fwd.Attempt))
	startedAt := time.Now()
	attemptCtx, w := ac.startWatchdog(ctx, &x.req)
	resp, result, err := s.client.Dispatch(attemptCtx, to, fwd)
	err = w.stop(err)
	x.req.Record(result)
	now := time.Now()
	s.observe(ctx, to, resp, result, now.Sub(startedAt), now)
	if err != nil {
		w.cancel()
		mayRun := result == caller.Indeterminate && !errors.Is(ctx.Err(), context.Canceled)
		ac.releaseFailed(to, now.Sub(startedAt), mayRun)
		return nil, w.retryReserved, err
	}
	if w.retryReserved {
		ac.budget.Refund()
	}
	release := func() {
		w.cancel()
		ac.releaseSlot(to, now.Sub(startedAt), true)
	}
	if resp.Rest == nil {
		release()
		return resp, false, nil
	}
	resp.Rest = &callbackCloser{resp.Rest, release}
	return resp, false, nil
}

func (s *Server) observe(ctx context.Context, to *coreendpoint.Candidate, resp *endpoint.Response, result caller.Result, latency time.Duration, now time.Time) {
	if s.observer == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	httpStatus := 0
	if resp != nil {
		httpStatus = resp.Status
		result = caller.Complete
	}
	s.observer.Observe(to.ID, latency, result, httpStatus, now)
}

// watchdog cancels an attempt that takes much longer than usual, so that the
// request can be retried at another endpoint before its deadline.
type watchdog struct {
	cancel context.CancelFunc
	// retryReserved is true if the attempt has a timeout, for which a retry
	// was withdrawn from the budget in advance.
	retryReserved bool
	timer         *time.Timer
	fired         chan struct{}
}

// startWatchdog returns the context for one attempt. The attempt gets a timeout
// only if its request may be retried and the budget has a retry for it.
func (ac *admissionController) startWatchdog(ctx context.Context, req *caller.Request) (context.Context, *watchdog) {
	attemptCtx, cancel := context.WithCancel(ctx)
	w := &watchdog{cancel: cancel, fired: make(chan struct{})}
	if !req.Idempotent || req.Attempts() >= maxAttempts || len(ac.candidates()) < 2 || !ac.budget.TryWithdraw() {
		return attemptCtx, w
	}
	w.retryReserved = true
	ac.mu.Lock()
	timeout := ac.estimator.AttemptTimeout()
	ac.mu.Unlock()
	w.timer = time.AfterFunc(timeout, func() {
		close(w.fired)
		cancel()
	})
	return attemptCtx, w
}

// stop stops the timeout and returns the error of the attempt, given err, the
// error of its dispatch.
func (w *watchdog) stop(err error) error {
	if w.timer == nil || w.timer.Stop() || err == nil {
		return err
	}
	<-w.fired
	return errors.WithMessage(status.ErrEndpointFailed, "no response within the attempt timeout")
}

// backOff waits for a random delay before a retry. It returns an error if ctx
// ends first.
func backOff(ctx context.Context, attempts int) error {
	t := time.NewTimer(caller.Backoff(attempts))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callbackCloser calls onClose after the wrapped ReadCloser is closed.
type callbackCloser struct {
	io.ReadCloser
	onClose func()
}

func (c *callbackCloser) Close() error {
	err := c.ReadCloser.Close()
	c.onClose()
	return err
}

// firstError returns first with the retry delay of second, if that has one. It
// returns second if first is nil.
func firstError(first, second error) error {
	if first == nil {
		return second
	}
	if delay := status.RetryAfterOf(second); delay > 0 {
		return status.RetryIn(first, delay)
	}
	return first
}
