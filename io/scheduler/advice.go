package scheduler

import (
	"context"
	"time"

	"rosemarygap/core/job"
)

const (
	// maxQuestions bounds the questions that wait; later ones are asked again.
	maxQuestions = 64
	// adviceLimit bounds one question: 32 waiting calls of some hundred
	// milliseconds, and the own one.
	adviceLimit = 10 * time.Second
)

// advised is the advisor's answer, for the control goroutine.
type advised struct {
	tenure   *tenure
	question job.AdvisorRequest
	tickets  map[string]string
	until    time.Time
}

// asked is a question with the ownership that it is for.
type asked struct {
	tenure   *tenure
	question job.AdvisorRequest
}

// ask passes the cell's questions on; those that find no room come again.
func (c *control) ask() {
	for _, q := range c.cell.AdvisorRequests() {
		select {
		case c.s.questions <- asked{c.tenure, q}:
		default:
		}
	}
}

// consult asks the advisor, one question at a time as it serves them.
func (s *Scheduler) consult(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-s.questions:
			s.consultOnce(ctx, q)
		}
	}
}

func (s *Scheduler) consultOnce(ctx context.Context, q asked) {
	limited, cancel := context.WithTimeout(ctx, adviceLimit)
	defer cancel()
	began := time.Now()
	tickets, valid, err := s.advisor.RequestTickets(limited, q.question.Step, q.question.Workers)
	s.advisorHealth.Observe(err)
	if err == nil {
		// A ticket may count from the arrival of the question.
		s.tell(ctx, advised{q.tenure, q.question, tickets, began.Add(valid)})
	}
}
