package job

import (
	"testing"
	"time"
)

// endsBeforeLoss starts a task on one of two workers and ends its run as done, without a
// report of that.
func endsBeforeLoss(t *testing.T) (tc *testCluster, first, second *testWorker) {
	tc = newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 100)))
	first, second = tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	first.endRun(first.report.Running[0].Task, EndDone)
	first.report.Clock += time.Second
	return tc, first, second
}

// notStartedAgain checks that the task has ended and does not start on w.
func (tc *testCluster) notStartedAgain(w *testWorker) {
	for range 3 {
		tc.deliverReports()
	}
	tc.is.Equal(len(w.orders), 0)
	tc.is.True(tc.endedJobs[testJob(1).ID])
}

// The report that the lease of a worker has ended must not make the owner start a task
// again whose end it lists.
func TestListedEndCountsAlthoughLeaseEnded(t *testing.T) {
	tc, first, second := endsBeforeLoss(t)
	first.report.Unreachable, first.report.LeaseEnded = 6*time.Second, true
	tc.notStartedAgain(second)
}

// A task whose end its worker listed before it left, or before the next incarnation took its
// place, must not start again: the agent alone knows the end.
func TestEndOfGoneWorkerCounts(t *testing.T) {
	for _, left := range []bool{true, false} {
		for _, longPoll := range []bool{true, false} {
			tc, first, second := endsBeforeLoss(t)
			e := first.report.Ended[0]
			first.report.Ended, first.lastEnd = nil, 0
			first.report.Absent = []AbsentRun{{Task: e.Task, Run: e.Run, Reason: EndedReason(e.Outcome)}}
			if left {
				first.report.Left, first.report.Listed = true, false
			} else {
				next := *first.report.Worker
				next.Incarnation, next.Sequence, next.Draining = 2, 1, true
				first.report.Worker = &next
			}
			r := first.report
			r.LongPoll = longPoll
			tc.Receive(&r, tc.now)
			tc.Tick(tc.now)
			tc.notStartedAgain(second)
		}
	}
}

// An owner that has not adopted the run learns of its end from the agent alone when the
// worker leaves while the owner changes.
func TestEndOfGoneWorkerCountsForSuccessor(t *testing.T) {
	tc := newTestCluster(t, 2)
	j := testJob(1, step(1, 100))
	task := Task{Job: j.ID}.String()
	tc.is.NoErr(tc.Load(j, Progress{Started: true}, tc.now))
	tc.LoadAgent("agent-2") // has not reported yet, so that nothing of the job starts
	r := Report{Agent: "agent-2", Process: 1, Epoch: tc.Epoch(), Left: true, Clock: time.Second,
		Worker: &Worker{ID: "i-agent-2", Incarnation: 1, Service: "svc"},
		Absent: []AbsentRun{{Task: task, Run: 1, Reason: EndedReason(EndDone)}}}
	tc.Receive(&r, tc.now)
	tc.Tick(tc.now)
	tc.notStartedAgain(tc.testWorkers["agent-0"])
	tc.is.Equal(len(tc.testWorkers["agent-1"].orders), 0)
}

// A run that failed on a worker that is gone counts towards the failure limit.
func TestFailureOnGoneWorkerCounts(t *testing.T) {
	tc, first, _ := endsBeforeLoss(t)
	e := first.report.Ended[0]
	first.report.Ended, first.report.Left, first.report.Listed = nil, true, false
	first.report.Absent = []AbsentRun{{Task: e.Task, Run: e.Run, Reason: EndedReason(EndFailed)}}
	r := first.report
	tc.Receive(&r, tc.now)
	_, _, row := tc.findTask(e.Task)
	tc.is.Equal(row.failedRuns, []int64{e.Run})
}

// A list need not be in the order of the numbers. An end with a lower number than the one
// before it must not be skipped and acknowledged.
func TestEndsInAnyOrderCount(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(2, 100)))
	w := tc.testWorkers["agent-0"]
	for _, r := range append([]Run(nil), w.report.Running...) {
		w.endRun(r.Task, EndDone)
	}
	w.report.Ended[0], w.report.Ended[1] = w.report.Ended[1], w.report.Ended[0]
	tc.deliverReports()
	tc.is.True(tc.endedJobs[testJob(1).ID])
}

// The key of an agent must stay in the stored roster until the last ends of its worker are
// durable: a later owner that does not wait for the agent would start the tasks again.
func TestAgentStaysInRosterUntilEndsAreDurable(t *testing.T) {
	tc, first, _ := endsBeforeLoss(t)
	first.report.Unreachable, first.report.LeaseEnded = 6*time.Second, true
	r := first.report
	tc.Receive(&r, tc.now)
	tc.Tick(tc.now)
	writes := tc.PendingWrites(tc.now, 30)
	tc.is.Equal(len(writes.RemovedAgents), 0)
	tc.is.Equal(len(writes.Finals), 1)
	tc.Committed(&writes)
	tc.Receive(&r, tc.now)
	tc.is.Equal(tc.commitWrites().RemovedAgents, []string{first.report.Agent})
}

// Reports repeat the ends of a worker that is gone. That of a long-running task is applied
// once, and not again to a later run.
func TestRepeatedEndOfLongRunningTask(t *testing.T) {
	tc := newTestCluster(t, 2)
	j := testJob(1, step(1, 100))
	j.Steps[0].LongRunning = true
	tc.submit(j)
	first, second := tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	run := first.report.Running[0]
	first.report.Running, first.report.Left, first.report.Listed = nil, true, false
	first.report.Absent = []AbsentRun{{Task: run.Task, Run: run.Run, Reason: EndedReason(EndDone)}}
	ends := 0
	for range 10 {
		tc.deliverReports()
		for _, e := range tc.Events() {
			if e.Kind == EventEnd {
				ends++
			}
		}
	}
	tc.is.Equal(ends, 1)
	tc.is.Equal(len(second.report.Running), 1)
	tc.is.Equal(len(second.orders), 1)
}

// The key of an agent that is silent must stay in the stored roster until the ends that its
// worker has listed are durable.
func TestSilentAgentStaysInRosterUntilEndsAreDurable(t *testing.T) {
	tc, first, second := endsBeforeLoss(t)
	r := first.report
	tc.Receive(&r, tc.now) // nothing is written, as in an outage of the store
	for range 30 {
		tc.now = tc.now.Add(500 * time.Millisecond)
		second.report.Clock += 500 * time.Millisecond
		o := second.report
		tc.Receive(&o, tc.now)
		tc.Tick(tc.now)
	}
	writes := tc.PendingWrites(tc.now, 30)
	tc.is.Equal(len(writes.RemovedAgents), 0)
	tc.is.Equal(len(writes.Finals), 1)
	tc.Committed(&writes)
	tc.now = tc.now.Add(sweepInterval)
	tc.Tick(tc.now)
	tc.is.Equal(tc.commitWrites().RemovedAgents, []string{first.report.Agent})
	tc.is.Equal(tc.workers.Get(first.report.Agent), (*workerRow)(nil))
}

// Under overload more jobs change than a commit has entries for. The changes of each must become
// durable in turn: an end that is not holds back the acknowledgement of all later ends of its
// worker, which lists no more than 500.
func TestOldestChangesAreWrittenFirst(t *testing.T) {
	tc := newTestCluster(t, 1)
	const jobs, entries = 12, 4
	for n := range jobs {
		tc.Add(testJob(n+1, step(1, 100)), tc.now)
	}
	written := map[string]bool{}
	for range jobs/entries + 1 {
		for _, j := range tc.jobs.All {
			j.dirty, j.urgent = true, true // the others change all the time
		}
		tc.now = tc.now.Add(20 * time.Millisecond)
		w := tc.PendingWrites(tc.now, entries)
		for id := range w.Progress {
			written[id] = true
		}
		tc.Committed(&w)
	}
	tc.is.Equal(len(written), jobs)
}
