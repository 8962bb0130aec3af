package job

import (
	"testing"
	"time"
)

// A report that the worker's lease has ended is older than an order that the agent
// received after sending it. The worker answers again and starts the run, so the run
// must be stopped before the task starts elsewhere.
func TestLeaseEndKeepsOrdersInTransit(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.Add(testJob(1, step(1, 100)), tc.now)
	first, second := tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	for _, agent := range []string{"agent-0", "agent-1"} {
		r := tc.testWorkers[agent].report
		tc.Receive(&r, tc.now)
	}
	tc.Tick(tc.now)
	tc.commitWrites()
	if len(tc.workers.Get("agent-0").tasks) == 0 {
		first, second = second, first
	}
	// The reply with the order is in transit.
	sent := first.report
	tc.BeginOwnershipCheck()
	tc.ConfirmOwnership(tc.now)
	orders := tc.Reply(&sent, tc.now).Orders
	tc.is.Equal(len(orders), 1)

	first.report.Unreachable, first.report.LeaseEnded = 6*time.Second, true
	first.report.Clock += time.Second
	r := first.report
	tc.Receive(&r, tc.now)
	tc.deliverReport(second.report.Agent)
	tc.is.Equal(len(second.report.Running), 0) // the first run may still start

	// The agent receives the order, and the worker answers again.
	for _, o := range orders {
		first.report.Applied = o.Sequence
		first.apply(o)
	}
	first.report.Unreachable, first.report.LeaseEnded = 0, false
	first.report.Clock += time.Second
	tc.deliverReports()
	tc.is.Equal(len(first.report.Running), 0) // stopped
	tc.deliverReports()
	tc.is.Equal(len(first.report.Running)+len(second.report.Running), 1)
}

// Once the agent has received all orders and reports that the lease has ended, no
// run can start, and the tasks move to other workers.
func TestLeaseEndReleasesReceivedOrders(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 100)))
	first, second := tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	first.report.Running = nil
	first.report.Unreachable, first.report.LeaseEnded = 6*time.Second, true
	first.report.Clock += time.Second
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(second.report.Running), 1)
}

// An agent that stops beside a worker that does not answer says when the worker's lease ends. Its
// tasks must start elsewhere then, and not only when the longest possible lease has ended. A report
// of the agent's next process shows that the lease may have been renewed.
func TestLastReportTellsEndOfLease(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		tc, first := newClusterWithRun(t, step(1, 100))
		agent := first.report.Agent
		r := first.report
		r.Unreachable, r.LeaseLeft = 2*time.Second, 3*time.Second
		tc.Receive(&r, tc.now)
		delete(tc.testWorkers, agent)
		pass := func(d time.Duration) int {
			for end := tc.now.Add(d); tc.now.Before(end); {
				tc.deliverReports()
			}
			n := 0
			for _, w := range tc.testWorkers {
				n += len(w.report.Running)
			}
			return n
		}
		tc.is.Equal(pass(2900*time.Millisecond), 0)
		if restarted {
			r := first.report
			r.Process++
			tc.Receive(&r, tc.now)
			tc.is.Equal(pass(5*time.Second), 0)
			continue
		}
		tc.is.Equal(pass(200*time.Millisecond), 1)
	}
}
