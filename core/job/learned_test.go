package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The run time of a run that resumed from a checkpoint says nothing about a whole
// task. Counted as one, it makes the estimates of the queue too short, and with them
// the forecasts.
func TestResumedRunIsNoRunTimeSample(t *testing.T) {
	tc := newTestCluster(t, 1)
	s := step(1, 100)
	s.Checkpoints = true
	tc.submit(testJob(1, s))
	w := tc.testWorkers["agent-0"]
	task := w.report.Running[0].Task
	w.report.Running[0].Checkpoint = "half"
	tc.deliverReports()
	w.endRun(task, EndStopped)
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(w.report.Running), 1)
	w.endRun(task, EndDone)
	tc.deliverReports()
	tc.is.True(tc.endedJobs[testJob(1).ID])
	tc.is.Equal(len(tc.runTimeRatios.byQueue), 0)

	// A run that only made checkpoints is a sample.
	tc.submit(testJob(2, s))
	w.report.Running[0].Checkpoint = "half"
	tc.deliverReports()
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	tc.is.Equal(len(tc.runTimeRatios.byQueue), 1)
}

// An agent whose row was deleted after its lease, and which reports again in the same
// epoch, carries out the orders that follow: they are numbered after those that it
// has received.
func TestReturningAgentReceivesOrders(t *testing.T) {
	tc := newTestCluster(t, 1)
	for i := range 3 {
		tc.submit(testJob(i+1, step(1, 100)))
	}
	w := tc.testWorkers["agent-0"]
	tc.is.True(w.report.Applied >= 3)
	delete(tc.testWorkers, "agent-0")
	tc.now = tc.now.Add(AddClockDrift(maxLeaseExtension))
	tc.Tick(tc.now)
	tc.is.Equal(tc.workers.Get("agent-0"), (*workerRow)(nil))

	tc.testWorkers["agent-0"] = w
	w.report.Running = nil
	w.report.Clock += time.Minute
	tc.submit(testJob(4, step(1, 100)))
	tc.deliverReports()
	tc.is.Equal(len(w.report.Running), 4)
}

// Learned parameters whose write failed are written again even if they do not change
// any more.
func TestAbandonedParametersAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(1, now)
	c.runTimeRatios.byQueue[testQueue] = 2
	w := c.PendingWrites(now, 30)
	is.True(w.Learned != nil)
	c.Abandoned(&w)
	w = c.PendingWrites(now.Add(learnedCheckInterval), 30)
	is.True(w.Learned != nil)
}
