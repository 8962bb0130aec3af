package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A step of an advised queue starts only with a ticket, on the workers that
// the advisor named, while the ticket counts.
func TestAdvisedStep(t *testing.T) {
	w := newWorld(t, 3)
	w.cfg.Queues[0].RequiresTicket = true
	w.SetConfiguration(w.cfg)
	w.Add(testJob(1, step(2, 100)), w.now)
	w.round()
	qs := w.AdvisorRequests()
	w.is.Equal(len(qs), 1)
	w.is.Equal(qs[0].Step, testJob(1).ID+".0.0")
	w.is.Equal(len(qs[0].Workers), 3)
	w.round()
	w.is.Equal(len(w.AdvisorRequests()), 0) // one question at a time
	w.SetTickets(qs[0], map[string]string{"i-agent-1": "ticket"}, w.now.Add(3*time.Second))
	w.round()
	w.round()
	w.is.Equal(len(w.hosts["agent-1"].orders), 2)
	w.is.Equal(w.hosts["agent-1"].orders[0].Ticket, "ticket")
}

// Jobs of a queue that no configuration has any more run to their end.
func TestDroppedQueue(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	j := testJob(1, step(1, 100))
	j.AcceptedQueue = w.cfg.Queues[0]
	w.SetConfiguration(&Configuration{Version: 2})
	w.submit(j)
	is.Equal(len(w.hosts["agent-0"].orders), 1)
}
