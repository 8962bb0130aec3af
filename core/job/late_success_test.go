package job

import (
	"slices"
	"testing"
	"time"
)

// A run that ended as done completes its task even if the owner learns of the end
// only while a later run of the task is assigned. That occurs when an agent loses
// the connection to its worker: run 1 ends as done before the lease of the worker
// expires, but the agent cannot list the end. Once the lease has certainly expired,
// the agent reports so, the owner takes run 1 to be lost and starts run 2 on another
// worker. The connection then recovers, and the worker, which is still of the same
// incarnation, lists the end of run 1 because that was not acknowledged. If the
// owner only stops run 2 and does not count the task as done, it starts run 3.
func TestLateSuccessOfEarlierRunEndsTask(t *testing.T) {
	t.Run("once", func(t *testing.T) { checkLateSuccess(t, testJob(1, step(1, 100))) })
	t.Run("scheduled", func(t *testing.T) {
		j := testJob(1, step(1, 100))
		j.Schedule = Schedule{First: time.Unix(1000, 0), Times: 1}
		checkLateSuccess(t, j)
	})
}

func checkLateSuccess(t *testing.T, j Job) {
	tc := newTestCluster(t, 2)
	tc.submit(j)
	first, second := tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	task := first.report.Running[0].Task

	// The agent repeats the last list of its worker, in which run 1 is running.
	for range 700 { // 14 s, until the lease has certainly expired
		first.report.Unreachable += 20 * time.Millisecond
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 1)
	first.report.LeaseEnded = true
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(second.report.Running), 1)
	tc.is.Equal(second.report.Running[0].Run, int64(2))

	// The worker answers again and lists the end of run 1.
	first.report.Clock += first.report.Unreachable
	first.report.Unreachable, first.report.LeaseEnded = 0, false
	first.endRun(task, EndDone)
	for range 10 {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 2)           // no run 3
	tc.is.Equal(len(second.report.Running), 0) // run 2 was stopped
	tc.is.True(tc.endedJobs[j.ID])
	tc.is.True(slices.ContainsFunc(tc.Events(), func(e Event) bool {
		return e.Kind == EventFinal && e.Task == j.ID && e.Reason == string(Done)
	}))
	for _, w := range tc.testWorkers {
		tc.is.Equal(w.acknowledged, w.lastEnd)
	}
}
