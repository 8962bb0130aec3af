package agent

import (
	"testing"

	"rosemarygap/core/job"

	"github.com/matryer/is"
)

// Once the agent has reported that the lease of its worker has ended, the owner may
// start the tasks elsewhere. No attempt to start a run that it ordered before may
// follow, even if the worker answers again.
func TestNoStartAfterReportedLeaseEnd(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	orders, _ := s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 1)
	_, ok := s.checkOrder(orders[0], 1)
	is.True(ok)

	now = now.Add(testMaxLease * 2)
	is.True(s.report("agent", false, now).LeaseEnded)
	_, ok = s.checkOrder(orders[0], 1)
	is.True(!ok)
	// The run is closed by a stop, which grants no lease.
	stop := orders[0]
	stop.Kind = job.OrderStop
	_, ok = s.checkOrder(stop, 1)
	is.True(ok)
	is.True(s.report("agent", false, now).LeaseEnded)

	// An order that arrives later starts.
	next := testOrder(2, job.OrderStart)
	next.Run = 2
	orders, _ = s.applyReply(testReply(next), now, now)
	_, ok = s.checkOrder(orders[0], 1)
	is.True(ok)
}
