package job

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startOrders returns the start orders that were carried out, by worker.
func (tc *testCluster) startOrders() map[string][]Order {
	out := map[string][]Order{}
	for _, w := range tc.testWorkers {
		for _, o := range w.orders {
			if o.Kind == OrderStart {
				out[o.Worker] = append(out[o.Worker], o)
			}
		}
	}
	return out
}

func (tc *testCluster) countStarts() int {
	n := 0
	for _, os := range tc.startOrders() {
		n += len(os)
	}
	return n
}

// No worker gets more tasks than its processors or memory allow.
func TestCapacityLimit(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.Add(testJob(1, step(20, 3000)), tc.now)
	for range 5 {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 10) // five tasks of 3,000 on each worker of 16,000
	tc.Add(testJob(2, Step{Tasks: 4, Need: Resources{Processors: 1, Memory: 63000}, Estimate: time.Second}), tc.now)
	for range 5 {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 12)
}

// Tasks run only on workers of the queue's service that have the step's label,
// and at most MaxPerWorker tasks of the step on one worker.
func TestRouting(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.testWorkers["agent-0"].report.Worker.Service = "other"
	tc.testWorkers["agent-1"].report.Worker.Labels = []string{"b", "r2"}
	tc.deliverReports()
	s := step(9, 100)
	s.Label, s.MaxPerWorker = "a", 2
	tc.Add(testJob(1, s), tc.now)
	for range 5 {
		tc.deliverReports()
	}
	got := tc.startOrders()
	tc.is.Equal(len(got), 1)
	tc.is.Equal(len(got["i-agent-2"]), 2)
}

// A step starts once all tasks of the steps that it depends on are done.
func TestStepOrder(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(2, 100), step(1, 100, 0)))
	w := tc.testWorkers["agent-0"]
	tc.is.Equal(len(w.orders), 2)
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	tc.is.Equal(len(w.orders), 2)
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	tc.is.Equal(len(w.orders), 3)
}

// A job fails when a task reaches the failure limit of the queue, and no task of
// the job starts after that.
func TestFailureLimit(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.Add(testJob(1, step(1, 100)), tc.now)
	for range 40 {
		tc.deliverReports()
		for _, w := range tc.testWorkers {
			for _, r := range slices.Clone(w.report.Running) {
				w.endRun(r.Task, EndFailed)
			}
		}
	}
	tc.is.Equal(tc.countStarts(), 2)
	tc.is.True(tc.endedJobs[testJob(1).ID])
}

// A gang starts completely, with one run number, or not at all. It starts on one
// rack if it asks for that and a rack has room.
func TestGang(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.testWorkers["agent-1"].report.Worker.Labels = []string{"a", "r2"}
	tc.testWorkers["agent-2"].report.Worker.Labels = []string{"a", "r2"}
	tc.deliverReports()
	s := step(4, 7500)
	s.Gang, s.SameRack = true, true
	tc.submit(testJob(1, s))
	got := tc.startOrders()
	tc.is.Equal(len(got["i-agent-0"]), 0)
	tc.is.Equal(tc.countStarts(), 4)
	for _, os := range got {
		for _, o := range os {
			tc.is.Equal(o.Run, int64(1))
		}
	}
	s.Tasks = 7
	tc.Add(testJob(2, s), tc.now)
	tc.deliverReports()
	tc.is.Equal(tc.countStarts(), 4) // the remaining worker has room for two tasks, not for seven
}

// A cancellation stops the running tasks of a job, and none starts afterwards.
func TestCancel(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(2, 100), step(1, 100, 0)))
	tc.Cancel(testJob(1).ID, tc.now)
	for range 3 {
		tc.deliverReports()
	}
	w := tc.testWorkers["agent-0"]
	tc.is.Equal(len(w.report.Running), 0)
	tc.is.Equal(tc.countStarts(), 2)
}

// A draining worker gets no new tasks and keeps its running tasks.
func TestDraining(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 100)))
	w := tc.testWorkers["agent-0"]
	w.report.Worker.Draining = true
	w.report.Worker.Sequence++
	tc.deliverReports()
	tc.Add(testJob(2, step(1, 100)), tc.now)
	tc.deliverReports()
	tc.is.Equal(tc.countStarts(), 1)
	tc.is.Equal(len(w.report.Running), 1)
}

// The last end of a job is acknowledged only once the final state of the job is
// durable.
func TestEndsAcknowledgedOnceDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 100)))
	w := tc.testWorkers["agent-0"]
	w.endRun(w.report.Running[0].Task, EndDone)
	r := w.report
	tc.Receive(&r, tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(0))
	writes := tc.PendingWrites(tc.now, 30)
	tc.is.Equal(writes.Finals[0].State, Done)
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(0))
	tc.Committed(&writes)
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(1))
}

// A long-running task starts again however it ends, without a limit.
func TestLongRunningTaskRestarts(t *testing.T) {
	tc := newTestCluster(t, 2)
	s := step(1, 100)
	s.LongRunning = true
	tc.Add(testJob(1, s), tc.now)
	for range 300 {
		tc.deliverReports()
		for _, w := range tc.testWorkers {
			for _, r := range slices.Clone(w.report.Running) {
				w.endRun(r.Task, EndFailed)
			}
		}
	}
	tc.is.True(tc.countStarts() > 5)
	tc.is.True(!tc.endedJobs[testJob(1).ID])
}

// Occurrences start when they are due and not before, and may overlap.
func TestSchedule(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(1, 100))
	j.Schedule = Schedule{First: tc.now.Add(time.Second), Period: time.Second, Times: 3}
	tc.Add(j, tc.now)
	for tc.now.Before(time.Unix(1000, 0).Add(980 * time.Millisecond)) {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 0)
	for range 60 {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 2)
	for range 60 {
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 3)
	w := tc.testWorkers["agent-0"]
	for _, r := range slices.Clone(w.report.Running) {
		w.endRun(r.Task, EndDone)
	}
	tc.deliverReports()
	tc.is.True(tc.endedJobs[j.ID])
}

// A scheduled job keeps its open occurrences when a new owner loads it.
func TestScheduleSurvivesOwnerChange(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	j := testJob(1, step(2, 100))
	j.Schedule = Schedule{First: tc.now, Period: time.Hour, Times: 2}
	tc.submit(j)
	w := tc.testWorkers["agent-0"]
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	p := tc.jobs.Get(j.ID).durableProgress()
	next := New(2, tc.now)
	next.SetConfiguration(tc.cfg)
	is.NoErr(next.Load(j, p, tc.now))
	row := next.jobs.Get(j.ID)
	is.Equal(row.nextOccurrence, 1)
	is.Equal(row.occurrence(0).steps[0].done, 1)
}

// Urgent tasks come before others, and jobs that can still meet their objective
// before jobs that cannot: a job that has missed its objective must not delay a
// new one.
func TestCandidateOrder(t *testing.T) {
	tc := newTestCluster(t, 0)
	lateJob := testJob(1, step(1, 100))
	lateJob.Accepted = tc.now.Add(-4 * time.Second)
	tooLateJob := testJob(2, step(1, 100))
	tooLateJob.Accepted = tc.now.Add(-time.Hour)
	fresh := testJob(3, step(1, 100))
	urgent := testJob(4, step(1, 100))
	urgent.Queue = "host/urgent/"
	for _, j := range []Job{lateJob, tooLateJob, fresh, urgent} {
		tc.Add(j, tc.now)
	}
	var got []string
	for _, k := range tc.candidates(tc.now) {
		got = append(got, k.job.ID[15:])
	}
	tc.is.Equal(got, []string{"4", "3", "1", "2"})
}

// A task as large as a worker runs on an empty worker, although less urgent
// tasks otherwise leave room for urgent ones.
func TestTaskAsLargeAsWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 16000)))
	tc.is.Equal(tc.countStarts(), 1)
}

// Best-effort tasks avoid the workers of serving tasks that they interfere with
// while other workers have room.
func TestBestEffortTasksAvoidInterference(t *testing.T) {
	tc := newTestCluster(t, 2)
	serving := step(1, 3000)
	serving.LongRunning, serving.TailTarget, serving.Image = true, 100*time.Millisecond, "feed"
	tc.submit(testJob(1, serving))
	servingWorker := ""
	for worker := range tc.startOrders() {
		servingWorker = worker
	}
	tc.interference.regressionOf("feed").restore(map[string]float64{"heavy": 0.3, "light": 0.001})
	tc.interference.loadOf(testJob(1).ID).update(0.7, tc.now)
	heavy := step(8, 2000)
	heavy.BestEffort, heavy.Image = true, "heavy"
	tc.submit(testJob(2, heavy))
	tc.is.Equal(len(tc.startOrders()[servingWorker]), 1) // the serving task alone
	tc.is.Equal(tc.countStarts(), 9)
}

// A worker on which runs fail gets one task at a time, until a run succeeds.
func TestProbation(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	for n := range failuresBeforeProbation {
		tc.submit(testJob(n, step(1, 100)))
		w.endRun(w.report.Running[0].Task, EndFailed)
		tc.deliverReports()
		tc.Cancel(testJob(n).ID, tc.now)
		tc.deliverReports()
		tc.deliverReports()
	}
	tc.Add(testJob(9, step(4, 100)), tc.now)
	for range 60 {
		tc.deliverReports()
	}
	tc.is.Equal(len(w.report.Running), 1)
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(w.report.Running), 3)
}

// A worker on probation that has ready long-running tasks still gets one task at
// a time, and a new long-running task that becomes ready there ends the
// probation. Otherwise a long-running job that has lost a task might never get all
// its tasks back, although such a worker has room.
func TestProbationWithLongRunningTasks(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	longRunning := step(2, 100)
	longRunning.LongRunning = true
	makeReady := func() {
		for i := range w.report.Running {
			w.report.Running[i].Percent = fullPercent
		}
	}
	tc.submit(testJob(1, longRunning))
	makeReady()
	tc.deliverReports()
	tc.workers.Get("agent-0").health = health{failures: failuresBeforeProbation, lastFailure: tc.now}
	tc.now = tc.now.Add(time.Second)
	tc.Add(testJob(2, longRunning), tc.now)
	for range 5 {
		tc.deliverReports()
	}
	tc.is.Equal(len(w.report.Running), 3) // one more task at a time
	makeReady()
	for range 150 { // 3 s
		tc.deliverReports()
	}
	tc.is.Equal(len(w.report.Running), 4)
	tc.is.True(!tc.workers.Get("agent-0").health.onProbation())
}

// A task without progress on a worker without progress is moved.
func TestStalledRunMoves(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 100)))
	first := ""
	for worker := range tc.startOrders() {
		first = worker
	}
	for range 90 { // 1.8 s, longer than stallLimit
		tc.deliverReports()
	}
	got := tc.startOrders()
	tc.is.Equal(len(got), 2)
	for worker, os := range got {
		if worker != first {
			tc.is.Equal(os[0].Run, int64(2))
		}
	}
}

// newClusterWithServingTask returns a cluster of two workers of which one runs a
// serving task, and the ID of that worker. Best-effort tasks of job 2 occupy the
// other worker.
func newClusterWithServingTask(t *testing.T, utilization float64) (*testCluster, string) {
	tc := newTestCluster(t, 2)
	serving := step(1, 3000)
	serving.LongRunning, serving.TailTarget, serving.Image = true, 100*time.Millisecond, "feed"
	tc.submit(testJob(1, serving))
	tc.interference.regressionOf("feed").restore(map[string]float64{"heavy": 0.3})
	servingWorker := ""
	for worker := range tc.startOrders() {
		servingWorker = worker
	}
	for _, w := range tc.testWorkers {
		if w.report.Worker.ID != servingWorker {
			w.report.Worker.Labels = []string{"no-feed", "r1"}
		}
	}
	tc.setServingUtilization(utilization)
	for tc.interference.loadOf(testJob(1).ID).level == 0 && utilization > 0 {
		tc.deliverReports()
	}
	// Job 2 occupies the worker without the serving task.
	full := step(8, 2000)
	full.BestEffort, full.Image, full.Label = true, "other", "no-feed"
	tc.submit(testJob(2, full))
	return tc, servingWorker
}

// setServingUtilization sets the tail latency of the serving task of
// newClusterWithServingTask to that of the given utilization.
func (tc *testCluster) setServingUtilization(utilization float64) {
	for _, w := range tc.testWorkers {
		for i := range w.report.Running {
			if r := &w.report.Running[i]; strings.HasPrefix(r.Task, testJob(1).ID) {
				r.Percent, r.Load = fullPercent, int(100*unloadedTailShare/(1-utilization))
			}
		}
	}
}

// A throttled best-effort task moves to a worker without interference once that
// has room. The task keeps its checkpoint, and the migration is counted.
func TestThrottledTaskMoves(t *testing.T) {
	tc, servingWorker := newClusterWithServingTask(t, 0)
	heavy := step(1, 2000)
	heavy.BestEffort, heavy.Image, heavy.Checkpoints = true, "heavy", true
	tc.submit(testJob(3, heavy))
	name := Task{Job: testJob(3).ID}.String()
	where := func() string {
		for _, w := range tc.testWorkers {
			for _, r := range w.report.Running {
				if r.Task == name {
					return w.report.Worker.ID
				}
			}
		}
		return ""
	}
	tc.is.Equal(where(), servingWorker)
	tc.setServingUtilization(0.75)
	reportThrottled := func(rounds int) {
		for n := range rounds {
			for _, w := range tc.testWorkers {
				for i := range w.report.Running {
					if r := &w.report.Running[i]; r.Task == name && w.report.Worker.ID == servingWorker {
						r.Throttled, r.Checkpoint, r.Percent = true, "saved", n/50
					}
				}
			}
			tc.deliverReports()
		}
	}
	reportThrottled(200)
	tc.is.Equal(where(), servingWorker) // no other worker has room
	tc.Cancel(testJob(2).ID, tc.now)
	reportThrottled(60)
	tc.is.True(where() != servingWorker && where() != "")
	_, _, task := tc.findTask(name)
	tc.is.Equal(task.speed.migrations, 1)
	tc.is.Equal(task.checkpoint, "saved")
}

// A best-effort task waits long for a worker without interference while other
// tasks of its job run, and only briefly if none runs.
func TestWaitForWorkerWithoutInterference(t *testing.T) {
	for _, busy := range []bool{false, true} {
		tc, _ := newClusterWithServingTask(t, 0.75)
		// The other step of the job reserves no processors, so that it does not
		// make the workers crowded, which also causes a long wait.
		other := Step{Tasks: 1, Need: Resources{Memory: 1}, Estimate: time.Second}
		heavy := step(1, 2000)
		heavy.BestEffort, heavy.Image = true, "heavy"
		j := testJob(3, heavy)
		if busy {
			j = testJob(3, heavy, other)
		}
		tc.Add(j, tc.now)
		for n := range 90 { // 1.8 s
			for _, w := range tc.testWorkers {
				for i := range w.report.Running {
					if r := &w.report.Running[i]; r.Task == (Task{Job: j.ID, Step: 1}).String() {
						r.Percent = n // the other task makes progress
					}
				}
			}
			tc.deliverReports()
		}
		_, s, _ := tc.findTask(Task{Job: j.ID}.String())
		tc.is.Equal(s.waiting, map[bool]int{false: 0, true: 1}[busy])
	}
}

// A worker whose capacity has shrunk below what is reserved there gets no task of any kind until
// enough has ended, and gets tasks again once its capacity has grown.
func TestShrunkCapacity(t *testing.T) {
	bestEffort, gang, wide := step(4, 500), step(2, 500), step(40, 500)
	bestEffort.BestEffort, gang.Gang, wide.Rack = true, true, "r1"
	for i, s := range []Step{step(4, 500), bestEffort, gang, wide} {
		tc := newTestCluster(t, 1)
		tc.submit(testJob(1, step(4, 2000)))
		w := tc.testWorkers["agent-0"]
		setCapacity := func(r Resources) {
			next := *w.report.Worker
			next.Sequence++
			next.Capacity = r
			w.report.Worker = &next
		}
		started := func() int { return tc.countStarts() - 4 }
		setCapacity(Resources{Processors: 4000, Memory: 300})
		tc.deliverReports()
		tc.Add(testJob(2, s), tc.now)
		for range 200 {
			tc.deliverReports()
		}
		tc.is.Equal(started(), 0) // step i
		setCapacity(Resources{Processors: 16000, Memory: 64000})
		for range 5 {
			tc.deliverReports()
		}
		if started() == 0 {
			t.Errorf("step %d does not start after the capacity has grown", i)
		}
	}
}
