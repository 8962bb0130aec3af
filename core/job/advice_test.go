package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A step of a queue that requires tickets starts only on a worker for which the
// advisor gave a ticket, and while the ticket is valid.
func TestStepRequiresTicket(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.cfg.Queues[0].RequiresTicket = true
	tc.SetConfiguration(tc.cfg)
	tc.Add(testJob(1, step(2, 100)), tc.now)
	tc.deliverReports()
	qs := tc.AdvisorRequests()
	tc.is.Equal(len(qs), 1)
	tc.is.Equal(qs[0].Step, testJob(1).ID+".0.0")
	tc.is.Equal(len(qs[0].Workers), 3)
	tc.deliverReports()
	tc.is.Equal(len(tc.AdvisorRequests()), 0) // no second request while one is open
	tc.SetTickets(qs[0], map[string]string{"i-agent-1": "ticket"}, tc.now.Add(3*time.Second))
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(tc.testWorkers["agent-1"].orders), 2)
	tc.is.Equal(tc.testWorkers["agent-1"].orders[0].Ticket, "ticket")
}

// Jobs of a queue that is no longer in the configuration still run.
func TestRemovedQueue(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	j := testJob(1, step(1, 100))
	j.AcceptedQueue = tc.cfg.Queues[0]
	tc.SetConfiguration(&Configuration{Version: 2})
	tc.submit(j)
	is.Equal(len(tc.testWorkers["agent-0"].orders), 1)
}
