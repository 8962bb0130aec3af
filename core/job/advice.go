package job

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Limits of questions to an advisor.
const (
	// askedWorkers is how many workers one question names: each one lengthens
	// the answer, and a step needs a few.
	askedWorkers = 12
	// ticketMargin is how long before its end a ticket is not used any more;
	// an order takes some milliseconds, and a repeated one up to a second.
	ticketMargin = 400 * time.Millisecond
	// askAgain is how soon a question without an answer is repeated.
	askAgain = time.Second
)

// advice is what the advisor said about a step.
type advice struct {
	tickets map[string]string
	until   time.Time
	asked   time.Time
}

// Question asks which workers may run a step.
type AdvisorRequest struct {
	Step    string
	Workers []string
}

// stepName returns the name that the advisor knows the step by.
func (k *candidate) stepName() string {
	return k.job.ID + "." + strconv.Itoa(k.occ.number) + "." + strconv.Itoa(k.number)
}

// advised reports whether the candidate may be placed, and asks the advisor
// if that is not known.
func (c *Cell) advised(k *candidate, now time.Time) bool {
	if !k.queue.RequiresTicket {
		return true
	}
	a := &k.step.advice
	if now.Add(ticketMargin).Before(a.until) && len(a.tickets) > 0 {
		return true
	}
	if now.Sub(a.asked) < askAgain {
		return false
	}
	options := c.options(k, "", now)
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	q := AdvisorRequest{Step: k.stepName()}
	for _, o := range options[:min(len(options), askedWorkers)] {
		q.Workers = append(q.Workers, o.worker.ID)
	}
	if len(q.Workers) > 0 {
		a.asked = now
		c.questions = append(c.questions, q)
	}
	return false
}

// Questions returns the questions to the advisor since the last call.
func (c *Cell) AdvisorRequests() []AdvisorRequest {
	out := c.questions
	c.questions = nil
	return out
}

// Advise takes in the advisor's answer: tickets by worker, which count until
// a time.
func (c *Cell) SetTickets(q AdvisorRequest, tickets map[string]string, until time.Time) {
	t, err := ParseTask(q.Step + ".0")
	if err != nil {
		return
	}
	if j := c.jobs.Get(t.Job); j != nil {
		if s, _ := j.task(t); s != nil {
			s.advice.tickets, s.advice.until = tickets, until
		}
	}
}
