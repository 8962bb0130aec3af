package job

import (
	"testing"
	"time"
)

// A reply tells how old its knowledge is, and that it is partial while orders are
// pending that it does not have: the agent would take a start for current whose stop
// is in another reply.
func TestReplyTellsItsAge(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.ConfirmCancellations(nil, tc.now, tc.now)
	tc.now = tc.now.Add(time.Second)
	tc.Add(testJob(1, step(1, 1000)), tc.now)
	reply := tc.request(true, true)
	tc.is.Equal(len(reply.Orders), 1)
	tc.is.Equal(reply.Freshness, &Freshness{CancellationsAge: time.Second})
	tc.is.Equal(tc.request(false, true).Freshness, &Freshness{CancellationsAge: time.Second, Partial: true})

	r := tc.testWorkers["agent-0"].report
	r.Applied, r.ReceivedAt = 1, tc.now
	tc.Receive(&r, tc.now)
	tc.now = tc.now.Add(300 * time.Millisecond)
	tc.is.Equal(tc.Reply(&r, tc.now).Freshness, &Freshness{Held: 300 * time.Millisecond, CancellationsAge: 1300 * time.Millisecond})
}

// Also a reply that grants no lease, and thus has no orders, tells its age: without it
// the agent would take the reply for that of an earlier build, and as current.
func TestReplyWithoutLeaseTellsItsAge(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.workers.Get("agent-0")
	w.confirmedClock = clockReading{}
	w.enqueueOrder(Order{Kind: OrderStop, Task: Task{Job: testJob(1).ID}.String(), Run: 1})
	r := tc.testWorkers["agent-0"].report
	reply := tc.Reply(&r, tc.now)
	tc.is.Equal(len(reply.Orders), 0)
	tc.is.True(reply.Freshness.Partial)
}

// A cancellation that was read from the store stops the job, also if the job arrives
// later, and counts as known from the beginning of the reading.
func TestReadCancellationsStopJobs(t *testing.T) {
	tc := newTestCluster(t, 1)
	known, later := testJob(1, step(1, 1000)), testJob(2, step(1, 1000))
	tc.Add(known, tc.now)
	tc.ConfirmCancellations([]string{known.ID, later.ID}, tc.now, tc.now.Add(time.Second))
	tc.is.True(tc.endedJobs[known.ID])
	tc.Add(later, tc.now)
	tc.is.True(tc.endedJobs[later.ID])
	tc.is.Equal(tc.cancellationsKnownAt, tc.now)
	tc.ConfirmCancellations(nil, tc.now.Add(-time.Second), tc.now)
	tc.is.Equal(tc.cancellationsKnownAt, tc.now)
}
