package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testCluster is a cell with simulated workers that carry out its orders
// immediately.
type testCluster struct {
	*Cell
	is          *is.I
	now         time.Time
	testWorkers map[string]*testWorker
	// echoing is true if the agents echo the generation.
	echoing bool
}

// testWorker is a simulated worker with its agent.
type testWorker struct {
	report       Report
	acknowledged int64
	generation   int64
	orders       []Order
	lastEnd      int64
}

const testQueue = "host/queue/"

func newTestCluster(t *testing.T, workers int) *testCluster {
	tc := &testCluster{is: is.New(t), now: time.Unix(1000, 0), testWorkers: map[string]*testWorker{}}
	tc.Cell = New(1, tc.now)
	tc.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", Priority: 0, MaxFailures: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
	}})
	for i := range workers {
		tc.addWorker(fmt.Sprintf("agent-%d", i))
	}
	return tc
}

// addWorker adds a worker with 16 processors.
func (tc *testCluster) addWorker(agent string) *testWorker {
	w := &testWorker{report: Report{Agent: agent, Process: 1, Epoch: tc.Epoch(), Listed: true, Clock: time.Second,
		Worker: &Worker{ID: "i-" + agent, Incarnation: 1, Service: "svc", Labels: []string{"a", "r1"},
			Capacity: Resources{Processors: 16000, Memory: 64000}}}}
	tc.testWorkers[agent] = w
	tc.deliverReport(agent)
	return w
}

// deliverReport delivers the report of an agent, and carries out the orders in
// the reply.
func (tc *testCluster) deliverReport(agent string) {
	w := tc.testWorkers[agent]
	w.report.Generation, w.report.EchoesGeneration = w.generation, tc.echoing
	r := w.report
	if tc.IsOutdated(&r) {
		w.generation = tc.OutdatedReply(&r).Generation
		return
	}
	tc.is.True(!tc.Receive(&r, tc.now))
	tc.BeginOwnershipCheck()
	tc.ConfirmOwnership(tc.now)
	tc.Tick(tc.now)
	tc.commitWrites()
	reply := tc.Reply(&r, tc.now)
	for _, o := range reply.Orders {
		if o.Sequence > w.report.Applied {
			w.report.Applied = o.Sequence
			w.orders = append(w.orders, o)
			w.apply(o)
		}
	}
	w.acknowledged, w.generation = reply.Acknowledged, reply.Generation
}

// apply starts or stops a run as a worker does.
func (w *testWorker) apply(o Order) {
	if o.Kind == OrderStart {
		w.report.Running = append(w.report.Running, Run{Task: o.Task, Run: o.Run})
		return
	}
	w.endRun(o.Task, EndStopped)
}

// endRun ends the run of a task with the given outcome.
func (w *testWorker) endRun(task string, outcome Outcome) {
	for i, r := range w.report.Running {
		if r.Task == task {
			w.report.Running = append(w.report.Running[:i:i], w.report.Running[i+1:]...)
			w.lastEnd++
			w.report.Ended = append(w.report.Ended, End{Number: w.lastEnd, Task: task, Run: r.Run, Outcome: outcome})
			return
		}
	}
}

// commitWrites makes all pending writes durable.
func (tc *testCluster) commitWrites() Writes {
	writes := tc.PendingWrites(tc.now, 30)
	tc.Committed(&writes)
	return writes
}

// deliverReports advances the time by 20 ms and delivers the reports of all
// agents.
func (tc *testCluster) deliverReports() {
	tc.now = tc.now.Add(20 * time.Millisecond)
	for agent := range tc.testWorkers {
		tc.deliverReport(agent)
	}
}

// submit adds a job and delivers reports until its first tasks run.
func (tc *testCluster) submit(j Job) {
	tc.Add(j, tc.now)
	tc.deliverReports()
	tc.deliverReports()
}

// testJob returns job n of testQueue.
func testJob(n int, steps ...Step) Job {
	return Job{ID: fmt.Sprintf("%016x", n), Queue: testQueue, Steps: steps, Accepted: time.Unix(1000, 0)}
}

// step returns a step whose tasks need the given number of processors, in
// thousandths, and that depends on the steps after.
func step(tasks int, processors int, after ...int) Step {
	return Step{Tasks: tasks, Need: Resources{Processors: processors, Memory: 100}, Estimate: time.Second, After: after}
}

// A cancellation that arrives before its job, as can happen after a compaction
// of the store's history, takes effect when the job is added.
func TestCancellationBeforeJob(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.Cancel(testJob(1).ID, tc.now)
	tc.Add(testJob(1, step(2, 100)), tc.now)
	tc.deliverReports()
	tc.is.Equal(len(tc.testWorkers["agent-0"].orders), 0) // no task of a cancelled job starts
}

// The failure of a run on a worker with an expired lease still counts if it is
// reported after the failure of a later run.
func TestLateFailureCounts(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 100)))
	first, second := tc.testWorkers["agent-0"], tc.testWorkers["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	task := first.report.Running[0].Task
	first.endRun(task, EndFailed)
	silent := first.report.Agent
	delete(tc.testWorkers, silent)
	for range 700 { // until its lease has certainly expired
		tc.deliverReports()
	}
	tc.is.Equal(len(second.report.Running), 1) // the second run
	second.endRun(task, EndFailed)
	tc.deliverReports()
	tc.is.Equal(len(second.report.Running), 1) // the third run, while one failure is known
	tc.testWorkers[silent] = first
	first.report.Process++
	for range 10 { // the current run is stopped, and its job is deleted
		tc.deliverReports()
	}
	tc.is.Equal(tc.jobs.Get(testJob(1).ID), (*jobRow)(nil)) // two failures fail the job
}

// The agent of a worker that left is removed from the stored roster, so that a
// later owner does not wait for it. A later owner removes an agent that never
// reports once all its runs have certainly ended.
func TestDepartedAgentLeavesRoster(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(4, 8000)))
	w := tc.testWorkers["agent-0"]
	tc.is.True(len(w.report.Running) > 0)
	w.report.Left, w.report.Running = true, nil
	r := w.report
	tc.Receive(&r, tc.now)
	writes := tc.commitWrites()
	tc.is.Equal(writes.RemovedAgents, []string{"agent-0"})

	next := New(2, tc.now)
	next.LoadAgent("agent-1")
	tc.is.True(!next.priorRunsResolved(tc.now)) // the other worker may still have runs
	tc.is.True(next.priorRunsResolved(tc.now.Add(AddClockDrift(maxLeaseExtension))))
	next.Tick(tc.now.Add(AddClockDrift(maxLeaseExtension)))
	later := next.PendingWrites(tc.now.Add(AddClockDrift(maxLeaseExtension)), 30)
	tc.is.Equal(later.RemovedAgents, []string{"agent-1"}) // no report, and all its runs have certainly ended
}

// The reports of an agent that restarts while the clock of its VM is set back
// are accepted once no report of its former process can be in transit.
func TestAgentRestartWithEarlierClock(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.testWorkers["agent-0"].report.Process = 0
	tc.deliverReports()
	tc.is.Equal(tc.workers.Get("agent-0").process, int64(1)) // the report may be a late one of another process
	tc.now = tc.now.Add(time.Second)
	tc.deliverReports()
	tc.is.Equal(tc.workers.Get("agent-0").process, int64(0))
}

// A report of an earlier incarnation that arrives after a report of the next one
// is ignored: both incarnations use the same numbers for their ends.
func TestReorderedReport(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 100)))
	w := tc.testWorkers["agent-0"]
	w.endRun(w.report.Running[0].Task, EndDone)
	outdated := w.report
	next := *w.report.Worker
	next.Incarnation++
	w.report.Worker, w.report.Ended = &next, nil
	tc.deliverReports()
	tc.Receive(&outdated, tc.now)
	tc.is.Equal(tc.workers.Get("agent-0").processedEnds, int64(0))
	tc.is.Equal(tc.workers.Get("agent-0").Incarnation, next.Incarnation)
}

// An owner that was replaced must not acknowledge the end of a task of a job that only its
// successor knows: the worker would forget the end, and the task would run again.
func TestEndOfUnknownJobWaitsForOwnershipCheck(t *testing.T) {
	tc := newTestCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	w.report.Running = []Run{{Task: Task{Job: testJob(9).ID}.String(), Run: 1}}
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.now = tc.now.Add(time.Second)
	r := w.report
	tc.Receive(&r, tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(0))
	tc.ConfirmOwnership(tc.now.Add(-time.Millisecond))
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(0)) // the check began before the end was received
	tc.ConfirmOwnership(tc.now)
	tc.is.Equal(tc.Reply(&r, tc.now).Acknowledged, int64(1))
}
