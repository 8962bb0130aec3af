package job

import (
	"time"

	"rosemarygap/core/clock"
)

// Limits of requests to the advisor.
const (
	// maxAdviceWorkers is the maximum number of workers that the advisor takes in one
	// request. minAdviceWorkers is the number in the first request for a step: each worker
	// makes the call longer, and a step needs only a few. The number doubles with each answer
	// after which no task starts.
	maxAdviceWorkers = 100
	minAdviceWorkers = 12
	// maxOpenAdvice is the maximum number of requests without an answer. The advisor serves
	// one at a time, so further ones would wait while what they ask changes.
	maxOpenAdvice = 2
	// maxAdviceTime is the longest time that a request should take to be answered. A job
	// has to make progress within 3 s.
	maxAdviceTime = 2 * time.Second
	// ticketMargin is how long before its expiry a ticket is no longer used, unless it is
	// valid for a short time only.
	// An order usually reaches the worker within milliseconds. Only a
	// repeated order, which may take up to a second, can arrive after the
	// expiry.
	ticketMargin = 400 * time.Millisecond
	// adviceRetryInterval is the time between a request that failed and the next one for
	// the same step.
	adviceRetryInterval = time.Second
	// deniedInterval is how often a step that is denied everywhere is compared with all
	// workers while no new one appears: an allowed one may have been silent.
	deniedInterval = time.Second
)

// workerAdvice is the advisor's newest answer about a worker. It does not hold for a later
// incarnation.
type workerAdvice struct {
	incarnation int64
	// ticket is empty if the worker may not run the step.
	ticket      string
	usableUntil time.Time
}

// advice is what the advisor has answered about the workers for a step. Whether a worker may
// run the step never changes, so no worker that is denied is asked about again.
type advice struct {
	byWorker map[string]workerAdvice
	// usableUntil is until when the last ticket may be used.
	usableUntil time.Time
	// open is true while a request for the step has no answer.
	open bool
	// answers counts the answers since a task of the step last started.
	answers int
	// deniedEverywhere is true if the advisor denied all workers that suited the step when
	// they were last considered.
	deniedEverywhere bool
	// incarnations is how many incarnations of workers the cell had known at surveyedAt, when
	// the workers were last considered.
	incarnations int64
	surveyedAt   time.Time
	// retryAt is the earliest time of the next request after one that failed, or for which
	// there was no worker to ask about.
	retryAt time.Time
}

// permission is what the advisor has answered about a worker.
type permission int

const (
	notAsked permission = iota
	denied
	// ticketExpired means that the worker may run the step, but that its ticket is no longer
	// valid.
	ticketExpired
	ticketValid
)

func (a *advice) permission(w *workerRow, now time.Time) permission {
	x, ok := a.byWorker[w.ID]
	switch {
	case !ok || x.incarnation != w.Incarnation:
		return notAsked
	case x.ticket == "":
		return denied
	case clock.Expired(x.usableUntil, now):
		return ticketExpired
	}
	return ticketValid
}

// ticket returns the valid ticket for starts on w, or "".
func (a *advice) ticket(w *workerRow, now time.Time) string {
	if a.permission(w, now) != ticketValid {
		return ""
	}
	return a.byWorker[w.ID].ticket
}

// permission returns that of the candidate's step on w. A candidate that requires no tickets
// may run anywhere.
func (k *candidate) permission(w *workerRow, now time.Time) permission {
	if !k.queue.RequiresTicket {
		return ticketValid
	}
	return k.step.advice.permission(w, now)
}

// hasTicket reports whether a task of the candidate that starts on w has the ticket that it
// requires, if any.
func (k *candidate) hasTicket(w *workerRow, now time.Time) bool {
	return k.permission(w, now) == ticketValid
}

// hasAnyTicket reports whether the candidate requires no tickets, or has a valid one for any
// worker.
func (k *candidate) hasAnyTicket(now time.Time) bool {
	return !k.queue.RequiresTicket || !clock.Expired(k.step.advice.usableUntil, now)
}

// isDeniedEverywhere reports whether the advisor denies the candidate's step on every worker
// that could run its tasks.
func (k *candidate) isDeniedEverywhere() bool {
	return k.queue.RequiresTicket && k.step.advice.deniedEverywhere
}

// backlog returns the estimated processor seconds of the waiting tasks, or 0 if no worker may
// run them.
func (k *candidate) backlog() float64 {
	if k.isDeniedEverywhere() {
		return 0
	}
	return processorSeconds(k.step.spec, k.step.waiting)
}

// AdvisorRequest asks the advisor which workers may run a step.
type AdvisorRequest struct {
	Step    string
	Workers []string
	// incarnations are those of the workers when the request was made.
	incarnations []int64
}

// AdvisorRequests returns the requests to the advisor that were added since the last call.
// For each of them, either SetTickets or AdviceFailed must be called.
func (c *Cell) AdvisorRequests() []AdvisorRequest {
	out := c.advisorRequests
	c.advisorRequests = nil
	return out
}

// Advice is an answer of the advisor.
type Advice struct {
	// Tickets are the tickets by the ID of the worker. The other workers of the request may
	// not run the step.
	Tickets map[string]string
	// Sent and Received are when the request was sent and the answer received.
	Sent, Received time.Time
	// TTL is how long the tickets are valid.
	TTL time.Duration
}

// usableUntil returns until when the tickets may be used for starts. They are issued at some
// time between the request and the answer. The earlier time is assumed, unless the tickets
// would then have expired before they arrived.
func (a *Advice) usableUntil() time.Time {
	usable := a.TTL - min(ticketMargin, a.TTL/4)
	if until := a.Sent.Add(usable); !clock.Expired(until, a.Received) {
		return until
	}
	return a.Received.Add(usable)
}

// SetTickets stores the advisor's answer to req.
func (c *Cell) SetTickets(req AdvisorRequest, answer Advice) {
	j, s := c.closeRequest(req)
	if s == nil {
		return
	}
	a := &s.advice
	until := answer.usableUntil()
	if a.byWorker == nil {
		a.byWorker = map[string]workerAdvice{}
	}
	for i, id := range req.Workers {
		a.byWorker[id] = workerAdvice{req.incarnations[i], answer.Tickets[id], until}
		if answer.Tickets[id] != "" {
			c.allowedWorkers.add(j.Queue, id)
		}
	}
	if len(answer.Tickets) > 0 {
		a.usableUntil = until
		if answer.TTL <= 0 {
			a.retryAt = answer.Received.Add(adviceRetryInterval)
		}
	}
	a.answers++
	s.blocked = blockedStep{}
}

// AdviceFailed records that req got no answer. It is repeated after a pause.
func (c *Cell) AdviceFailed(req AdvisorRequest, now time.Time) {
	if _, s := c.closeRequest(req); s != nil {
		s.advice.retryAt = now.Add(adviceRetryInterval)
	}
}

// refuseTicket records that w refused the ticket for a start, so that it is not used again.
func (a *advice) refuseTicket(w *workerRow, now time.Time) {
	if x, ok := a.byWorker[w.ID]; ok && x.ticket != "" {
		x.usableUntil = time.Time{}
		a.byWorker[w.ID] = x
	}
	a.retryAt = Later(a.retryAt, now.Add(adviceRetryInterval))
}

// closeRequest records that req is no longer open. It returns the step with its job; s is nil
// if the step does not exist any more.
func (c *Cell) closeRequest(req AdvisorRequest) (j *jobRow, s *stepRow) {
	c.openAdvice = max(0, c.openAdvice-1)
	// A step name with an index appended is the name of a task of the step.
	j, s, _ = c.findTask(req.Step + ".0")
	if s != nil {
		s.advice.open = false
	}
	return j, s
}
