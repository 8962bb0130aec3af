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

// Observer is told how each dispatch went. A dispatch that its caller
// cancelled says nothing about the endpoint and is not reported.
type Observer interface {
	Observe(endpointID string, latency time.Duration, result caller.Result, httpStatus int, now time.Time)
}

// attempts dispatches the request until one answer or a final failure.
func (s *Server) attempts(ctx context.Context, x *exchange, g *gate, m *endpoint.Request) (*endpoint.Response, error) {
	var failed error
	for {
		to, err := g.enter(ctx, &x.q, x.limit, x.tried)
		if err != nil {
			return nil, firstError(failed, err)
		}
		a, spare, err := s.attempt(ctx, x, g, to, m)
		if err == nil {
			return a, nil
		}
		failed = status.RetryIn(err, caller.RetryAfter(retryDelay))
		if !spare && !g.budget.TryWithdraw() {
			return nil, failed
		}
		if x.q.Attempts() >= maxAttempts || !x.q.MayRetry() || backOff(ctx, x.q.Attempts()) != nil {
			g.budget.Refund()
			return nil, failed
		}
	}
}

// attempt dispatches the request once in a slot of to. spare reports that a
// retry was taken from the budget and not used.
func (s *Server) attempt(ctx context.Context, x *exchange, g *gate, to *coreendpoint.Candidate, m *endpoint.Request) (_ *endpoint.Response, spare bool, _ error) {
	m.Attempt = x.q.MarkDispatched()
	if m.Attempt == 1 {
		g.budget.Deposit()
	}
	x.last = to.ID
	x.tried = append(x.tried, to.ID)
	event.RequestRouted.Emit(s.log, event.Request(x.q.ID), event.Service(x.q.Service),
		event.Endpoint(to.ID), event.Attempt(m.Attempt))
	began := time.Now()
	limited, w := g.watch(ctx, &x.q)
	a, result, err := s.client.Dispatch(limited, to, m)
	err = w.stop(err)
	x.q.Record(result)
	now := time.Now()
	s.observe(ctx, to, a, result, now.Sub(began), now)
	if err != nil {
		w.cancel()
		runs := result == caller.Indeterminate && !errors.Is(ctx.Err(), context.Canceled)
		g.giveUp(to, now.Sub(began), runs)
		return nil, w.timed, err
	}
	if w.timed {
		g.budget.Refund()
	}
	done := func() {
		w.cancel()
		g.leave(to, now.Sub(began), true)
	}
	if a.Rest == nil {
		done()
		return a, false, nil
	}
	a.Rest = &closer{a.Rest, done}
	return a, false, nil
}

func (s *Server) observe(ctx context.Context, to *coreendpoint.Candidate, a *endpoint.Response, r caller.Result, d time.Duration, now time.Time) {
	if s.observer == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	code := 0
	if a != nil {
		code = a.Status
		r = caller.Complete
	}
	s.observer.Observe(to.ID, d, r, code, now)
}

// watchdog ends an attempt that takes much longer than usual, so that the
// request can be retried elsewhere before its deadline.
type watchdog struct {
	cancel context.CancelFunc
	// timed is true if a retry was taken from the budget beforehand.
	timed bool
	timer *time.Timer
	fired chan struct{}
}

// watch limits an attempt if its request may be retried and the budget holds
// a retry for it.
func (g *gate) watch(ctx context.Context, q *caller.Request) (context.Context, *watchdog) {
	limited, cancel := context.WithCancel(ctx)
	w := &watchdog{cancel: cancel, fired: make(chan struct{})}
	if !q.Idempotent || q.Attempts() >= maxAttempts || len(g.candidates()) < 2 || !g.budget.TryWithdraw() {
		return limited, w
	}
	w.timed = true
	g.mu.Lock()
	limit := g.pace.AttemptTimeout()
	g.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		close(w.fired)
		cancel()
	})
	return limited, w
}

// stop ends the time limit and returns why the attempt failed.
func (w *watchdog) stop(err error) error {
	if w.timer == nil || w.timer.Stop() || err == nil {
		return err
	}
	<-w.fired
	return errors.WithMessage(status.ErrEndpointFailed, "no answer in the usual time")
}

// backOff waits a random time before a retry.
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

// closer calls done once the rest of an answer is closed.
type closer struct {
	io.ReadCloser
	done func()
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.done()
	return err
}

// firstError returns err, with the delay that otherwise tells.
func firstError(err, otherwise error) error {
	if err == nil {
		return otherwise
	}
	if after := status.RetryAfterOf(otherwise); after > 0 {
		return status.RetryIn(err, after)
	}
	return err
}
