package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longStep returns a step whose tasks take 30 s by the estimate.
func longStep(tasks, processors int) Step {
	s := step(tasks, processors)
	s.Estimate = 30 * time.Second
	return s
}

// newFullCluster returns a cluster with preemption whose workers run the tasks of batch
// jobs with the given steps.
func newFullCluster(t *testing.T, workers int, steps ...Step) *testCluster {
	tc := newTestCluster(t, 0)
	cfg := tc.cfg
	// The urgent runs make little progress, so workers would be learned to be slow.
	tc.Cell = New(1, tc.now, WithPreemption(), WithoutLearning())
	tc.SetConfiguration(cfg)
	for i := range workers {
		tc.addWorker(string(rune('a' + i)))
	}
	for i, s := range steps {
		tc.submit(testJob(100+i, s))
		tc.wait(time.Second)
	}
	return tc
}

// addUrgent submits an urgent job with a step like s.
func (tc *testCluster) addUrgent(n int, s Step) Job {
	j := testJob(n, s)
	j.Queue, j.Accepted = "host/urgent/", tc.now
	tc.submit(j)
	return j
}

// urgentStep returns a step of an urgent job, which can wait for 0.65 s.
func urgentStep(tasks, processors int) Step {
	s := step(tasks, processors)
	s.Estimate = 800 * time.Millisecond
	return s
}

// wait delivers reports for some time, in which the runs make progress as those of
// longStep do.
func (tc *testCluster) wait(d time.Duration) {
	begin := tc.now
	for n := time.Duration(1); tc.now.Before(begin.Add(d)); {
		tc.deliverReports()
		for ; n*300*time.Millisecond <= tc.now.Sub(begin); n++ {
			for _, w := range tc.testWorkers {
				for i := range w.report.Running {
					w.report.Running[i].Percent = min(w.report.Running[i].Percent+1, 99)
				}
			}
		}
	}
}

// preempted returns the names of the tasks that were preempted since the last call.
func (tc *testCluster) preempted() []string {
	var out []string
	for _, e := range tc.Events() {
		if e.Kind == EventStop && e.Reason == reasonPreempted {
			out = append(out, e.Task)
		}
	}
	return out
}

// runsOf returns the number of runs of a job.
func (tc *testCluster) runsOf(id string) int {
	n := 0
	for _, w := range tc.testWorkers {
		for _, r := range w.report.Running {
			if task, _ := ParseTask(r.Task); task.Job == id {
				n++
			}
		}
	}
	return n
}

// endRuns ends all runs of a job.
func (tc *testCluster) endRuns(id string) {
	for _, w := range tc.testWorkers {
		for i := len(w.report.Running) - 1; i >= 0; i-- {
			if task, _ := ParseTask(w.report.Running[i].Task); task.Job == id {
				w.endRun(w.report.Running[i].Task, EndDone)
			}
		}
	}
}

// Each tick must count what earlier ones stopped, or an urgent job would stop a task of
// each worker. A job that gets room in time or is too late stops nothing, and neither does
// any job without the option.
func TestPreemptsNoMoreThanNeeded(t *testing.T) {
	tc := newFullCluster(t, 8, longStep(24, 5000), longStep(24, 5000))
	tc.preempted()
	j := tc.addUrgent(1, urgentStep(5, 1400)) // a victim makes room for 4
	tc.wait(time.Second)
	tc.is.Equal(len(tc.preempted()), 2)
	tc.is.Equal(tc.runsOf(j.ID), 5)

	short := newFullCluster(t, 1, step(3, 5000))
	short.addUrgent(1, longStep(1, 1400))
	short.wait(time.Second)
	tc.is.Equal(len(short.preempted()), 0) // room comes in time
	off := newFullCluster(t, 1, longStep(3, 5000))
	off.preemption.enabled = false
	off.addUrgent(1, urgentStep(1, 1400))
	off.wait(time.Second)
	tc.is.Equal(len(off.preempted()), 0)
	late := newFullCluster(t, 1, longStep(3, 5000))
	hopeless := testJob(1, urgentStep(1, 1400))
	hopeless.Queue = "host/urgent/"
	hopeless.Accepted = late.now.Add(-time.Minute)
	late.submit(hopeless)
	late.wait(time.Second)
	tc.is.Equal(len(late.preempted()), 0)
}

// The room that becomes free in time for one urgent job must not count for two.
func TestRoomInTimeCountsOnce(t *testing.T) {
	tc := newFullCluster(t, 2, longStep(1, 15000), step(1, 15000))
	tc.deliverProgress(1, 70, "") // of 1 s and of 30 s
	for n := range 2 {
		j := testJob(1+n, urgentStep(1, 10000))
		j.Queue, j.Accepted = "host/urgent/", tc.now
		tc.Add(j, tc.now)
	}
	tc.now = tc.now.Add(preemptionInterval)
	tc.Tick(tc.now)
	tc.is.Equal(tc.preempted(), []string{Task{Job: testJob(100).ID}.String()})
}

// Stopping for many urgent jobs at once would stop the batch work of all workers.
func TestPreemptsOnQuarterOfWorkers(t *testing.T) {
	tc := newFullCluster(t, 8, longStep(8, 15000))
	for n := range 6 {
		j := testJob(1+n, urgentStep(8, 1400))
		j.Queue, j.Accepted = "host/urgent/", tc.now
		tc.Add(j, tc.now)
	}
	tc.now = tc.now.Add(preemptionInterval)
	tc.Tick(tc.now)
	tc.now = tc.now.Add(preemptionInterval)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.preempted()), 2)
}

// Stops for a part of an urgent step cost batch work, and the job is late all the same.
func TestStopsNothingInVain(t *testing.T) {
	for tasks, want := range map[int]int{22: 2, 23: 0} { // 11 fit on a worker, and 2 may stop tasks
		tc := newFullCluster(t, 8, longStep(8, 15000))
		tc.addUrgent(1, urgentStep(tasks, 1400))
		tc.wait(time.Second)
		tc.is.Equal(len(tc.preempted()), want)
	}
}

// The members of a gang lose their work together, and a long-running task must not become
// unavailable beyond its limit; neither is stopped, whatever the need.
func TestPreemptsNoGangOrLongRunningTask(t *testing.T) {
	gang, lasting := longStep(4, 7500), longStep(4, 7500)
	gang.Gang = true
	lasting.LongRunning, lasting.MaxUnavailable = true, 4
	for _, s := range []Step{gang, lasting} {
		tc := newFullCluster(t, 2, s)
		tc.deliverProgress(20, 50, "c")
		tc.addUrgent(1, urgentStep(2, 1400))
		tc.wait(time.Second)
		tc.is.Equal(len(tc.preempted()), 0)
		tc.is.Equal(tc.countStarts(), 4)
	}
}

// Under constant urgent load, a batch task that is preempted again and again would never
// end.
func TestTaskIsNotPreemptedAgainSoon(t *testing.T) {
	tc := newFullCluster(t, 1, longStep(1, 15000))
	for n, want := range []int{1, 0, 1, 0} { // at 0, 6, 12 and 24 s
		tc.preempted()
		j := tc.addUrgent(1+n, urgentStep(1, 1400))
		tc.wait(time.Second)
		tc.is.Equal(len(tc.preempted()), want)
		if want == 0 {
			tc.Cancel(j.ID, tc.now)
		}
		tc.endRuns(j.ID)
		tc.wait(5 * time.Second)
		if n == 2 {
			tc.wait(6 * time.Second)
		}
	}
}

// The task that has run for the shortest time since its start or its checkpoint loses
// least.
func TestPreemptsCheapestFirst(t *testing.T) {
	tc := newFullCluster(t, 3, longStep(1, 15000), longStep(1, 15000), longStep(1, 15000))
	tc.addUrgent(1, urgentStep(1, 1400))
	tc.wait(time.Second)
	tc.is.Equal(tc.preempted(), []string{Task{Job: testJob(102).ID}.String()})

	saved := longStep(1, 15000)
	saved.Checkpoints = true
	tc = newFullCluster(t, 2, saved, longStep(1, 15000))
	for _, w := range tc.testWorkers {
		if w.report.Running[0].Task == (Task{Job: testJob(100).ID}).String() {
			w.report.Running[0].Checkpoint = "c1"
		}
	}
	tc.deliverReports()
	tc.addUrgent(1, urgentStep(1, 1400))
	tc.wait(time.Second)
	tc.is.Equal(tc.preempted(), []string{Task{Job: testJob(100).ID}.String()})
}

// A batch job that would lose its value by the preemption is spared, and so is a task that
// ends about when a stop would.
func TestSparesJobsThatWouldLose(t *testing.T) {
	tc := newFullCluster(t, 1, longStep(1, 15000))
	row := tc.jobs.Get(testJob(100).ID)
	row.Accepted = tc.now.Add(30*time.Second - lateFactor*61*time.Second) // 29.1 s remain
	tc.addUrgent(1, urgentStep(1, 1400))
	tc.wait(time.Second)
	tc.is.Equal(len(tc.preempted()), 0)

	tc = newFullCluster(t, 1, longStep(1, 15000))
	tc.deliverProgress(1, 99, "")
	tc.addUrgent(1, urgentStep(1, 1400))
	tc.wait(time.Second)
	tc.is.Equal(len(tc.preempted()), 0)
}

// A batch job on time is spared if, with the wait of the stopped task for room, it would be
// late: without this, bursts made a sixth of the batch jobs of 8 workers late.
func TestSparesJobsThatWouldBeLate(t *testing.T) {
	for left, want := range map[time.Duration]int{36 * time.Second: 0, 50 * time.Second: 1} { // 29.1 s remain
		tc := newFullCluster(t, 1, longStep(1, 15000))
		row := tc.jobs.Get(testJob(100).ID)
		row.Accepted = tc.now.Add(left - 61*time.Second)
		tc.addUrgent(1, urgentStep(1, 1400))
		tc.wait(time.Second)
		tc.is.Equal(len(tc.preempted()), want)
	}
}

// While an urgent task waits for the end of the second of two victims, a waiting batch task
// must not take the room of the first.
func TestRoomIsKeptForTheCandidate(t *testing.T) {
	tc := newFullCluster(t, 1, longStep(9, 5000))
	w := tc.testWorkers["a"]
	j := testJob(1, urgentStep(1, 10000))
	j.Queue, j.Accepted = "host/urgent/", tc.now
	tc.Add(j, tc.now)
	tc.now = tc.now.Add(preemptionInterval)
	tc.Tick(tc.now)
	victims := tc.preempted()
	tc.is.Equal(len(victims), 2)
	w.endRun(victims[0], EndStopped)
	r := w.report
	tc.Receive(&r, tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.workers.Get("a").tasks), 2) // one is stopping, one was spared
	tc.now = tc.now.Add(preemptionHoldTime + preemptionInterval)
	tc.Receive(&r, tc.now)
	for range 3 {
		tc.now = tc.now.Add(preemptionInterval)
		tc.Tick(tc.now)
	}
	tc.is.Equal(len(tc.workers.Get("a").tasks), 3) // the room is not kept for longer
}

// Room that stopping tasks take must not be kept from lower ranks twice, as that of the hold
// and as their own, also if a task stops after the hold began; what has stopped no longer counts.
func TestRoomKeptCountsStops(t *testing.T) {
	tc := newFullCluster(t, 1, longStep(1, 5000), longStep(1, 5000), longStep(1, 5000))
	j := testJob(1, urgentStep(1, 5500))
	j.Queue, j.Accepted = "host/urgent/", tc.now
	tc.Add(j, tc.now)
	tc.now = tc.now.Add(preemptionInterval)
	tc.Tick(tc.now)
	victim, _ := ParseTask(tc.preempted()[0])
	w := tc.workers.Get("a")
	tc.is.Equal(w.heldFrom(2).Processors, 500)
	for n := range 3 {
		if id := testJob(100 + n).ID; id != victim.Job {
			tc.Cancel(id, tc.now)
			break
		}
	}
	tc.is.Equal(w.heldFrom(2).Processors, 0)
	tc.testWorkers["a"].endRun(victim.String(), EndStopped)
	r := tc.testWorkers["a"].report
	tc.Receive(&r, tc.now)
	tc.is.Equal(w.heldFrom(2).Processors, 500)
}

// The capacity of a task that does not stop stays reserved, no other task is stopped on its
// worker, and another worker is chosen. Unanswered stops count towards the limit.
func TestPreemptionWithoutAnswer(t *testing.T) {
	tc := newFullCluster(t, 8, longStep(24, 5000))
	patient := urgentStep(1, 1400)
	patient.Estimate = 10 * time.Second // can wait for 5.25 s
	j := testJob(1, patient)
	j.Queue, j.Accepted = "host/urgent/", tc.now
	tc.Add(j, tc.now)
	stopped := map[string]int{}
	for n := range 40 {
		if n == 18 { // the first stop may still be answered
			tc.is.Equal(len(stopped), 1)
		}
		tc.now = tc.now.Add(100 * time.Millisecond)
		for _, w := range tc.testWorkers {
			r := w.report
			tc.Receive(&r, tc.now)
			tc.Tick(tc.now)
		}
		for _, e := range tc.Events() {
			if e.Reason == reasonPreempted {
				stopped[e.Worker]++
			}
		}
		for _, w := range tc.testWorkers {
			tc.is.Equal(tc.workers.Get(w.report.Agent).used.Processors, 15000)
		}
	}
	tc.is.Equal(len(stopped), 2)
	for _, n := range stopped {
		tc.is.Equal(n, 1)
	}
}

// A victim runs once again, from the checkpoint that its stop saved, also if the owner dies
// between the stop and the start of the urgent task.
func TestVictimResumesOnce(t *testing.T) {
	for _, ownerDies := range []bool{false, true} {
		s := longStep(1, 15000)
		s.Checkpoints = true
		tc := newFullCluster(t, 1, s)
		tc.deliverProgress(1, 10, "c1")
		batch, urgent := testJob(100, s), testJob(1, urgentStep(1, 1400))
		urgent.Queue, urgent.Accepted = "host/urgent/", tc.now
		tc.Add(urgent, tc.now)
		w := tc.testWorkers["a"]
		for len(w.report.Running) > 0 {
			tc.deliverReports()
		}
		w.report.Ended[0].Checkpoint = "c2"
		if ownerDies {
			progress := tc.jobs.Get(batch.ID).durableProgress()
			cfg := tc.cfg
			tc.Cell = New(2, tc.now, WithPreemption(), WithoutLearning())
			tc.SetConfiguration(cfg)
			w.report.Epoch, w.report.Applied = 2, 0
			tc.LoadAgent("a")
			tc.is.NoErr(tc.Load(batch, progress, tc.now))
			tc.is.NoErr(tc.Load(urgent, Progress{}, tc.now))
		}
		tc.wait(500 * time.Millisecond)
		tc.is.Equal(tc.runsOf(urgent.ID), 1)
		tc.endRuns(urgent.ID)
		tc.wait(time.Second)
		starts := 0
		for _, o := range w.orders {
			if o.Kind == OrderStart && o.Task == (Task{Job: batch.ID}).String() {
				starts++
				tc.is.True(starts == 1 || o.Checkpoint == "c2")
			}
		}
		tc.is.Equal(starts, 2)
	}
}

// TestHistoriesWithPreemption checks the invariants of TestHistories while urgent jobs
// preempt batch tasks.
func TestHistoriesWithPreemption(t *testing.T) {
	preemptions := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.preempts = true
		batch := h.cfg.Queues[0]
		batch.Priority = 2
		h.cfg.Queues = []Queue{batch, {Host: "host", Prefix: "/urgent/", Service: "svc", MaxFailures: 2, Stretch: 1.5, Target: 250 * time.Millisecond}}
		h.takeOver()
		full := testJob(1000, longStep(6, 3000))
		h.jobs[full.ID], h.store.jobs[full.ID] = full, full
		h.newestOwner().Add(full, h.now)
		for n := range rapid.IntRange(5, 120).Draw(t, "length") {
			h.randomEvent(n)
		}
		h.finishAll()
		for _, o := range h.owners {
			for _, e := range o.Events() {
				if e.Reason == reasonPreempted {
					preemptions++
				}
			}
		}
	})
	t.Logf("%d preemptions", preemptions)
	if preemptions == 0 {
		t.Error("no task was preempted in any history")
	}
}
