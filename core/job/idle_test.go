package job

import (
	"slices"
	"testing"
	"time"
)

// fillingStep returns a best-effort step.
func fillingStep(tasks, processors int) Step {
	s := step(tasks, processors)
	s.BestEffort = true
	return s
}

// runningTasks returns how many tasks of a job run on the worker.
func (w *testWorker) runningTasks(j Job) int {
	n := 0
	for _, r := range w.report.Running {
		if jobOf(r.Task) == j.ID {
			n++
		}
	}
	return n
}

// deliverFor delivers reports for d.
func (tc *testCluster) deliverFor(d time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); {
		tc.deliverReports()
	}
}

// Long best-effort tasks of jobs that come first must not keep a best-effort job waiting for as
// long as they take: what they use does not count as in use on the platform, and there the job could
// run. It gets one task, and the next one when that has ended.
func TestIdleJobSharesProcessors(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	first, second := testJob(1, fillingStep(20, 4000)), testJob(2, fillingStep(6, 4000))
	tc.submit(first)
	tc.is.Equal(w.runningTasks(first), 4)
	tc.submit(second)
	tc.deliverFor(inflowPause - time.Second)
	tc.is.Equal(w.runningTasks(second), 0) // more jobs may come, which could still end in time
	tc.deliverFor(2 * time.Second)
	tc.is.Equal(w.runningTasks(second), 1)
	tc.is.True(slices.ContainsFunc(tc.Events(), func(e Event) bool {
		return e.Kind == EventStart && e.Reason == ReasonPlacedShared && jobOf(e.Task) == second.ID
	}))
	tc.deliverFor(5 * time.Second)
	tc.is.Equal(w.runningTasks(first), 4)
	tc.is.Equal(w.runningTasks(second), 1) // the others wait for room

	w.endRun(Task{second.ID, 0, 0, 0}.String(), EndDone)
	tc.deliverFor(3 * time.Second)
	tc.is.Equal(w.runningTasks(second), 1)
}

// A best-effort job waits while the tasks of others reserve most processors, and while there is no
// memory for it.
func TestIdleJobWaitsForReservedRoom(t *testing.T) {
	large := fillingStep(1, 4000)
	large.Need.Memory = 40000
	for name, x := range map[string]struct{ others, waiting Step }{
		"processors are reserved": {step(3, 4000), fillingStep(2, 8000)},
		"no memory":               {large, large},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			w := tc.testWorkers["agent-0"]
			tc.submit(testJob(1, x.others))
			waiting := testJob(2, x.waiting)
			tc.submit(waiting)
			tc.deliverFor(2 * inflowPause)
			tc.is.Equal(w.runningTasks(waiting), 0)
		})
	}
}

// A job that does not fill reserves its processors: it never shares those of others.
func TestIdleJobKeepsWorkersWithinCapacity(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	tc.submit(testJob(1, step(1, 6000)))
	waiting := testJob(2, step(1, 12000))
	tc.submit(waiting)
	tc.deliverFor(2 * inflowPause)
	tc.is.Equal(w.runningTasks(waiting), 0)
}
