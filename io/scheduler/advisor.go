package scheduler

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
)

// Limits of requests to the advisor, which issues the tickets that runs of some
// queues require.
const (
	// maxAdvisorRequests is the size of the queue of requests.
	maxAdvisorRequests = 64
	// advisorTimeout is the timeout of one call to the advisor. A call may have
	// to wait at the advisor until 32 earlier calls of several hundred
	// milliseconds each have been served.
	advisorTimeout = 10 * time.Second
)

// advisorResult is a message to the control goroutine with the outcome of a request.
type advisorResult struct {
	session *ownerSession
	request job.AdvisorRequest
	advice  job.Advice
	// failed is true if the advisor did not answer.
	failed bool
}

// advisorRequest is a request to the advisor, with the session of the owner
// that made it.
type advisorRequest struct {
	session *ownerSession
	request job.AdvisorRequest
}

// requestTickets queues the cell's requests to the advisor. Those for which the queue has
// no room fail.
func (c *control) requestTickets() {
	for _, q := range c.cell.AdvisorRequests() {
		select {
		case c.s.advisorRequests <- advisorRequest{c.session, q}:
		default:
			c.cell.AdviceFailed(q, time.Now())
		}
	}
}

// applyAdvice passes the outcome of a request to the cell that made it.
func (c *control) applyAdvice(x advisorResult) {
	switch {
	case c.cell == nil || c.session != x.session:
	case x.failed:
		c.cell.AdviceFailed(x.request, time.Now())
	default:
		c.cell.SetTickets(x.request, x.advice)
	}
}

// serveAdvisorRequests calls the advisor for the queued requests, one at a
// time, as the advisor also serves one call at a time.
func (s *Scheduler) serveAdvisorRequests(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-s.advisorRequests:
			s.callAdvisor(ctx, q)
		}
	}
}

func (s *Scheduler) callAdvisor(ctx context.Context, q advisorRequest) {
	callCtx, cancel := context.WithTimeout(ctx, advisorTimeout)
	defer cancel()
	began := time.Now()
	tickets, ttl, err := s.advisor.RequestTickets(callCtx, q.request.Step, q.request.Workers)
	s.advisorHealth.Observe(err)
	s.logAdvice(q, len(tickets), err, time.Since(began))
	s.sendToControl(ctx, advisorResult{q.session, q.request, job.Advice{Tickets: tickets, Sent: began, Received: time.Now(), TTL: ttl}, err != nil})
}

// logAdvice logs and counts the outcome of a call to the advisor.
func (s *Scheduler) logAdvice(q advisorRequest, allowed int, err error, elapsed time.Duration) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	event.AdviceReceived.Emit(s.log, event.Step(q.request.Step), event.Count(len(q.request.Workers)), event.Allowed(allowed),
		event.Elapsed(elapsed), event.Reason(status.Code(reason)), event.Epoch(q.session.ownership.Epoch))
	countAdvice(len(q.request.Workers), allowed, err, elapsed)
}
