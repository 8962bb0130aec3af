package job

import (
	"cmp"
	"slices"
	"time"

	"rosemarygap/core/clock"
)

// Limits of requests to an advisor.
const (
	// maxRequestedWorkers limits the workers in one request: each worker
	// makes the call longer, and a step needs only a few.
	maxRequestedWorkers = 12
	// ticketMargin is how long before its expiry a ticket is no longer used.
	// An order usually reaches the worker within milliseconds. Only a
	// repeated order, which may take up to a second, can arrive after the
	// expiry.
	ticketMargin = 400 * time.Millisecond
	// advisorRetryInterval is how long to wait for an answer before the
	// request is repeated.
	advisorRetryInterval = time.Second
)

// advisorTickets holds the advisor's tickets for a step, by worker.
type advisorTickets struct {
	byWorker    map[string]string
	expires     time.Time
	requestedAt time.Time
}

// AdvisorRequest asks the advisor which workers may run a step.
type AdvisorRequest struct {
	Step    string
	Workers []string
}

// ensureTickets reports whether the candidate may be placed. If the
// candidate needs tickets and has none that are valid, ensureTickets adds a
// request to the advisor.
func (c *Cell) ensureTickets(k *candidate, now time.Time) bool {
	if !k.queue.RequiresTicket {
		return true
	}
	a := &k.step.tickets
	if !clock.Expired(a.expires, now.Add(ticketMargin)) && len(a.byWorker) > 0 {
		return true
	}
	if now.Sub(a.requestedAt) < advisorRetryInterval {
		return false
	}
	r := c.newScorer(k, now)
	var scored []scoredWorker
	for _, w := range c.workers.All {
		if c.mayRun(w, k, now) {
			o := scoredWorker{worker: w}
			r.setScore(&o)
			scored = append(scored, o)
		}
	}
	slices.SortFunc(scored, func(x, y scoredWorker) int { return cmp.Compare(y.score, x.score) })
	req := AdvisorRequest{Step: stepName(k.job, k.occ, k.number)}
	for _, o := range scored[:min(len(scored), maxRequestedWorkers)] {
		req.Workers = append(req.Workers, o.worker.ID)
	}
	if len(req.Workers) > 0 {
		a.requestedAt = now
		c.advisorRequests = append(c.advisorRequests, req)
	}
	return false
}

// AdvisorRequests returns the requests to the advisor that were added since
// the last call.
func (c *Cell) AdvisorRequests() []AdvisorRequest {
	out := c.advisorRequests
	c.advisorRequests = nil
	return out
}

// SetTickets stores the advisor's answer to req: tickets by worker, which are
// valid until expires.
func (c *Cell) SetTickets(req AdvisorRequest, tickets map[string]string, expires time.Time) {
	// A step name with an index appended is the name of a task of the step.
	t, err := ParseTask(req.Step + ".0")
	if err != nil {
		return
	}
	if j := c.jobs.Get(t.Job); j != nil {
		if s, _ := j.task(t); s != nil {
			s.tickets.byWorker, s.tickets.expires = tickets, expires
			s.blocked = blockedStep{}
		}
	}
}
