package job

import (
	"slices"
	"testing"
	"time"
)

// silence lets d pass without any report.
func (tc *testCluster) silence(d time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); {
		tc.now = tc.now.Add(sweepInterval)
		tc.Tick(tc.now)
	}
}

// newEchoingCluster returns a cluster whose agents echo the generation.
func newEchoingCluster(t *testing.T, workers int) *testCluster {
	tc := newTestCluster(t, 0)
	tc.echoing = true
	for i := range workers {
		tc.addWorker([]string{"agent-0", "agent-1"}[i])
	}
	return tc
}

// Orders must not get numbers that the agent has received before, which it would ignore: a
// report that a partition held up is the first one after the row of the worker was removed.
func TestOrderNumbersOutliveRow(t *testing.T) {
	for _, longPoll := range []bool{false, true} {
		tc := newTestCluster(t, 1)
		w := tc.testWorkers["agent-0"]
		tc.submit(testJob(1, step(5, 100)))
		held := w.report
		held.LongPoll, held.Listed, held.Running = longPoll, !longPoll, nil
		tc.submit(testJob(2, step(40, 100)))
		tc.is.Equal(len(w.orders), 45)
		for _, o := range w.orders {
			w.endRun(o.Task, EndDone)
		}
		tc.deliverReports()
		tc.silence(12 * time.Second)
		tc.is.Equal(tc.workers.Get("agent-0"), nil)

		tc.Receive(&held, tc.now)
		tc.submit(testJob(3, step(3, 100)))
		tc.submit(testJob(4, step(1, 100)))
		tc.Cancel(testJob(4).ID, tc.now)
		tc.deliverReports()
		started, stopped := map[string]bool{}, 0
		for _, o := range w.orders[45:] {
			if o.Kind == OrderStop {
				stopped++
				continue
			}
			started[jobOf(o.Task)] = true
		}
		tc.is.True(started[testJob(3).ID]) // the starts have reached the agent
		tc.is.True(stopped > 0)            // so has the stop of the cancelled job
	}
}

// A report that was made before the row of its worker was removed must not make the row anew,
// and one that was made after it must do so at once.
func TestHeldReportMakesNoRow(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	held := w.report
	tc.silence(12 * time.Second)
	tc.is.Equal(tc.workers.Get("agent-0"), nil)

	tc.is.True(tc.IsOutdated(&held))
	tc.Receive(&held, tc.now)
	tc.is.Equal(tc.workers.Get("agent-0"), nil)
	tc.deliverReport("agent-0") // learns the generation
	tc.deliverReport("agent-0")
	tc.is.True(tc.workers.Get("agent-0") != nil)
}

// The report of an agent's former process must not replace what its present process reports,
// however late it arrives.
func TestHeldReportOfFormerProcess(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	held := w.report
	w.report.Process++
	tc.deliverReport("agent-0")
	tc.deliverReport("agent-0")
	tc.is.Equal(tc.workers.Get("agent-0").process, w.report.Process)

	tc.now = tc.now.Add(2 * formerProcessWindow)
	tc.is.True(tc.IsOutdated(&held))
	tc.Receive(&held, tc.now)
	tc.is.Equal(tc.workers.Get("agent-0").process, w.report.Process)
}

// A new process of an agent and a new incarnation of its worker count even if the clock of
// their VM was set back, so that their numbers are lower than those of the former ones; a held
// report of the former ones, with higher numbers, does not.
func TestClockOfVMIsSetBack(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	w.report.Process, w.report.Worker.Incarnation = 100, 100
	tc.deliverReport("agent-0")
	tc.deliverReport("agent-0")
	held := w.report
	restarted := *w.report.Worker
	restarted.Incarnation = 50
	w.report.Process, w.report.Worker, w.generation = 50, &restarted, 0
	tc.deliverReport("agent-0")
	tc.deliverReport("agent-0")
	tc.is.Equal(tc.workers.Get("agent-0").Incarnation, int64(50))

	tc.is.True(tc.IsOutdated(&held))
	tc.Receive(&held, tc.now)
	tc.is.Equal(tc.workers.Get("agent-0").Incarnation, int64(50))
}

// An owner that waits for the agents of the stored roster must not take a worker for idle
// because of a report that was made under an earlier owner: the worker may have started runs
// since.
func TestHeldReportOfFormerEpochResolvesNothing(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	held := tc.testWorkers["agent-0"].report
	held.LeaseEnded = true

	later := New(tc.Epoch()+1, tc.now)
	later.LoadAgent("agent-0")
	tc.is.True(later.IsOutdated(&held))
	later.Receive(&held, tc.now)
	tc.is.True(!later.priorRunsResolved(tc.now))
	later.expireWorkers(tc.now)
	writes := later.PendingWrites(tc.now, 30)
	tc.is.Equal(len(writes.RemovedAgents), 0)
}

// The removal of an agent from the stored roster, which the agent writes itself when its worker has
// left, may still be under way when its next worker reports: the owner must store the agent anew
// before that worker gets an order.
func TestNextWorkerAfterDepartureIsStoredAnew(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	tc.submit(testJob(1, step(2, 100)))
	w.report.Left = true
	r := w.report
	tc.Receive(&r, tc.now)
	next := *w.report.Worker
	next.Incarnation++
	w.report.Left, w.report.Worker, w.report.Running = false, &next, nil
	tc.roster["agent-0"] = rosterRow{durable: true, resolved: true} // its key is still in the store
	tc.Add(testJob(2, step(2, 100)), tc.now)
	r = w.report
	r.Generation, r.EchoesGeneration = tc.generationOf("agent-0"), true
	tc.Receive(&r, tc.now)
	tc.BeginOwnershipCheck()
	tc.ConfirmOwnership(tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.Reply(&r, tc.now).Orders), 0)
	tc.is.Equal(tc.commitWrites().AddedAgents, []string{"agent-0"})
	tc.is.True(len(tc.Reply(&r, tc.now).Orders) > 0)
}

// A start that is carried out late, on an incarnation that reports only after the row of the one
// before was removed, must be stopped there: the task has started elsewhere.
func TestLateStartOnWorkerOfRemovedRow(t *testing.T) {
	tc := newEchoingCluster(t, 1)
	w := tc.testWorkers["agent-0"]
	tc.submit(testJob(1, step(1, 100)))
	start := w.orders[0]
	tc.silence(12 * time.Second)
	tc.is.Equal(tc.workers.Get("agent-0"), nil)

	next := *w.report.Worker
	next.Incarnation++
	w.report.Process, w.report.Worker, w.report.Running, w.generation = w.report.Process+1, &next, nil, 0
	w.report.Applied = 0
	tc.deliverReport("agent-0") // learns the generation
	tc.deliverReport("agent-0")
	tc.deliverReport("agent-0")
	tc.is.True(slices.ContainsFunc(w.orders[1:], func(o Order) bool {
		return o.Kind == OrderStop && o.Task == start.Task && o.Run == start.Run && o.Incarnation == next.Incarnation
	}))
}
