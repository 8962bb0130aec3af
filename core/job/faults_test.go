package job

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"rosemarygap/core/clock/clocktest"

	"github.com/matryer/is"
)

// A report that was sent before the worker left and arrives after the report of the
// departure must not make the worker usable again: what would be placed there would
// wait until the worker's lease has certainly ended.
func TestDelayedReportDoesNotBringBackLeftWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	delayed := tc.testWorkers["agent-0"].report
	left := delayed
	left.Left = true
	tc.Receive(&left, tc.now)
	tc.Receive(&delayed, tc.now)
	tc.Add(testJob(1, step(1, 100)), tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.workers.Get("agent-0").tasks), 0)

	// An agent restarted and no longer knows of a departure, but the worker answers.
	answered := delayed
	answered.Process, answered.Clock = 2, delayed.Clock+time.Second
	tc.Receive(&answered, tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.workers.Get("agent-0").tasks), 1)
}

// A job with many occurrences that are long due must not open all of them at once:
// their tasks would exceed the memory of the owner and of each successor.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(64, 100), step(64, 100))
	j.Schedule = Schedule{First: time.Unix(0, 0), Period: time.Millisecond, Times: 1000}
	tc.Add(j, tc.now)
	tc.Tick(tc.now)
	row := tc.jobs.Get(j.ID)
	open := 0
	for range row.tasks {
		open++
	}
	tc.is.True(open > 0 && open <= maxOpenTasks)
	small := testJob(2, step(1, 100))
	small.Schedule = Schedule{First: time.Unix(0, 0), Period: time.Millisecond, Times: 600}
	tc.Add(small, tc.now)
	tc.Tick(tc.now)
	tc.is.True(len(tc.jobs.Get(small.ID).occurrences) <= maxOpenOccurrences)
	for range 20_000 {
		if tc.endedJobs[small.ID] {
			break
		}
		for _, w := range tc.testWorkers {
			for len(w.report.Running) > 0 {
				w.endRun(w.report.Running[0].Task, EndDone)
			}
		}
		tc.deliverReports()
	}
	tc.is.True(tc.endedJobs[small.ID]) // all occurrences were executed
}

// Absurd loads in the reports of one worker must not make the learned parameters
// impossible to encode: the owner would end by a panic when it stores them.
func TestAbsurdLoadsLeaveLearnedParametersFinite(t *testing.T) {
	for _, loads := range [][]int{{math.MaxInt}, {math.MinInt}, {math.MaxInt, 0}, {math.MinInt, math.MaxInt}, {1, math.MaxInt, -7}} {
		is := is.New(t)
		r := newRegression()
		for n := range 5000 {
			u := usage{}
			for i, image := range []string{"a", "b", "c"} {
				u[image] = (&Run{Load: loads[(n+i)%len(loads)]}).ProcessorUse()
			}
			r.observe(Utilization(float64(n%3)), u, 2)
		}
		_, err := json.Marshal(LearnedParameters{Interference: map[string]map[string]float64{"s": r.effectsByImage()}})
		is.NoErr(err)
	}
}

// A stored ratio that no run can have given must not turn estimates negative.
func TestImpossibleRatiosAreNotRestored(t *testing.T) {
	for _, ratio := range []float64{-1, 0, 1e300} {
		c := New(1, time.Unix(0, 0))
		c.LoadLearned(LearnedParameters{RunTimeRatios: map[string]float64{testQueue: ratio}})
		j := testJob(1, step(1, 100))
		j.Steps[0].Estimate = time.Hour
		row := c.add(j)
		estimate := c.runTimeRatios.estimate(row, &row.occurrences[0].steps[0])
		is.New(t).True(estimate > 0)
	}
}

// newClusterWithRun returns a cluster of two workers and the worker that runs the only
// task of a job, which is half done.
func newClusterWithRun(t *testing.T, s Step) (*testCluster, *testWorker) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, s))
	w := tc.testWorkers["agent-0"]
	if len(w.report.Running) == 0 {
		w = tc.testWorkers["agent-1"]
	}
	w.report.Running[0].Percent = 50
	tc.deliverReports()
	return tc, w
}

// deliverOthers delivers the reports of all agents but one for d.
func (tc *testCluster) deliverOthers(silent *testWorker, d time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); {
		tc.now = tc.now.Add(20 * time.Millisecond)
		for agent, w := range tc.testWorkers {
			if w != silent {
				tc.deliverReport(agent)
			}
		}
	}
}

// A worker whose agent is silent must keep its runs until its lease has certainly
// ended. Its tasks must not count as stalled because nobody told their progress,
// neither in the silence nor when a long poll, which has no list, ends it.
func TestSilentAgentKeepsItsRuns(t *testing.T) {
	serving := step(1, 100)
	serving.LongRunning = true
	for name, s := range map[string]Step{"batch": step(1, 100), "serving": serving} {
		for _, silence := range []time.Duration{stallLimit + 60*time.Millisecond, 5 * time.Second, 10 * time.Second} {
			tc, w := newClusterWithRun(t, s)
			tc.deliverOthers(w, silence)
			poll := w.report
			poll.LongPoll = true
			tc.Receive(&poll, tc.now)
			tc.Tick(tc.now)
			tc.deliverOthers(w, 2*sweepInterval)
			w.report.Clock += silence
			w.report.Running[0].Percent = fullPercent
			tc.deliverReports()
			tc.deliverReports()
			if tc.countStarts() != 1 || len(w.report.Running) != 1 {
				t.Errorf("%s, silent for %v: %d starts, running: %v", name, silence, tc.countStarts(), w.report.Running)
			}
		}
	}
}

// An owner that was suspended must not use what ran out meanwhile, although its
// monotonic clock stood still: reports of workers, tickets of the advisor, and its
// knowledge of the cancellations.
func TestSuspendedOwnerUsesNothingOld(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.now = time.Now()
	tc.ConfirmCancellations(nil, tc.now, tc.now)
	tc.deliverReports()
	tc.Add(testJob(1, step(1, 100)), tc.now)
	woken := clocktest.AfterSuspension(tc.now, 5*time.Second)
	tc.Tick(woken)
	w := tc.workers.Get("agent-0")
	tc.is.Equal(len(w.tasks), 0) // the worker may have ended
	r := tc.testWorkers["agent-0"].report
	tc.is.True(tc.Reply(&r, woken).Freshness.CancellationsAge >= 5*time.Second)

	queue := &Queue{RequiresTicket: true}
	expires := tc.now.Add(3 * time.Second)
	s := stepRow{advice: advice{byWorker: map[string]workerAdvice{w.ID: {w.Incarnation, "ticket", expires}}, usableUntil: expires}, spec: &Step{}}
	k := candidate{queue: queue, step: &s, job: &jobRow{}, occ: &occurrenceRow{}}
	tc.is.True(k.hasAnyTicket(tc.now) && k.hasTicket(w, tc.now))
	tc.is.True(!k.hasAnyTicket(woken) && !k.hasTicket(w, woken))
}

// An agent removes itself from the stored roster when its worker has left. The removal can
// take effect after the next worker of this agent got tasks, since it is repeated until
// it is answered. The agent must be stored again: a successor would not wait for it, and
// would start its tasks elsewhere while they run.
func TestLateRemovalOfAgentIsRepaired(t *testing.T) {
	tc, w := newClusterWithRun(t, step(1, 100))
	agent := w.report.Agent
	tc.is.True(tc.roster[agent].durable)
	tc.AgentDeparted(agent)
	tc.is.Equal(tc.commitWrites().AddedAgents, []string{agent})
	tc.is.True(tc.roster[agent].durable)

	// The agent of a worker that has left is not stored again.
	left := w.report
	left.Left = true
	left.Running = nil
	tc.Receive(&left, tc.now)
	tc.Tick(tc.now)
	tc.AgentDeparted(agent)
	tc.is.True(!slices.Contains(tc.commitWrites().AddedAgents, agent))
}

// A start that the worker executes late can reach the next incarnation under the same ID.
// If the agent was replaced, too, only the owner knows the start: unless it has the run
// stopped there first, the task runs on two workers at a time.
func TestLateStartOfFormerProcessIsStoppedOnNextIncarnation(t *testing.T) {
	for _, ended := range []bool{false, true} {
		tc, w := newClusterWithRun(t, step(1, 1000))
		run := w.report.Running[0]
		if ended {
			w.endRun(run.Task, EndDone)
			tc.deliverReports()
		}
		w.report.Process = 2
		tc.deliverReport(w.report.Agent)
		next := *w.report.Worker
		next.Incarnation, next.Sequence = 2, 1
		w.report.Worker, w.report.Running, w.report.Ended = &next, nil, nil
		r := w.report
		r.Listed = false
		tc.Receive(&r, tc.now)
		tc.Tick(tc.now)
		for agent, other := range tc.testWorkers {
			if other != w {
				tc.is.Equal(len(tc.workers.Get(agent).tasks), 0) // the task waits for the stop
			}
		}
		pending := tc.workers.Get(r.Agent).pending
		tc.is.Equal(len(pending), 1)
		o := pending[0]
		tc.is.Equal(o.Kind, OrderStop)
		tc.is.Equal(o.Incarnation, int64(2))
		tc.is.Equal(runID{o.Task, o.Run}, runID{run.Task, run.Run})
	}
}

// With estimates that are too short by several times, each worker looks slow in turn. A task
// must not move between them for ever: it would never end.
func TestTaskIsMovedOffSlowWorkersAFewTimes(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 1000)))
	for range 60 { // shorter than stallLimit
		for agent, w := range tc.testWorkers {
			row := tc.workers.Get(agent)
			row.speed = workerSpeed{average: 1, samples: minSpeedSamples}
			if len(w.report.Running) > 0 {
				row.speed.average = slowSpeed / 4
			}
		}
		tc.deliverReports()
	}
	tc.is.Equal(tc.countStarts(), 1+maxSlowMoves)
}

// A report with a number that no worker has must be refused: sums over all workers would
// overflow, and other workers would seem to be full.
func TestReportOfImpossibleWorkerIsRefused(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Worker){
		func(w *Worker) { w.Capacity.Processors = math.MaxInt },
		func(w *Worker) { w.Capacity.Memory = math.MaxInt64 },
		func(w *Worker) { w.Capacity.Accelerators = math.MaxInt },
		func(w *Worker) { w.Incarnation = math.MaxInt64 },
		func(w *Worker) { w.Sequence = math.MaxInt64 },
		func(w *Worker) { w.Clock = math.MaxInt64 },
		func(w *Worker) { w.Labels = make([]string, maxLabels+1) },
	} {
		w := Worker{ID: "i-1", Incarnation: 1, Capacity: Resources{Processors: 16000, Memory: 64000}}
		r := Report{Agent: "agent", Worker: &w}
		is.NoErr(r.Validate())
		change(&w)
		is.True(r.Validate() != nil)
	}
}

// While a worker has more ends than it lists at a time, as they cannot become durable during an
// outage of the store, a run that it does not list may have ended as done. Its task must not
// start again.
func TestRunsBehindListedEndsAreNotLost(t *testing.T) {
	tc, w := newClusterWithRun(t, step(1, 100))
	task := w.report.Running[0]
	w.report.Running = nil
	for n := range int64(MaxListedEnds) {
		w.report.Ended = append(w.report.Ended, End{Number: n + 1, Task: Task{Job: testJob(9).ID, Index: int(n)}.String(), Run: 1, Outcome: EndDone})
	}
	w.lastEnd = MaxListedEnds
	for range 500 { // 10 s
		tc.deliverReports()
	}
	tc.is.Equal(len(w.orders), 1)
	w.report.Ended = []End{{Number: w.lastEnd + 1, Task: task.Task, Run: task.Run, Outcome: EndDone}}
	for range 50 {
		tc.deliverReports()
	}
	tc.is.Equal(len(w.orders), 1)
	tc.is.Equal(tc.jobs.Get(testJob(1).ID), (*jobRow)(nil)) // the job is done
}

// A successor of the owner must not take the runs of earlier owners for ended either, while the
// list of a worker may omit ends.
func TestRunsBehindListedEndsAreNotResolved(t *testing.T) {
	tc := newTestCluster(t, 1)
	agent := "agent-0"
	next := New(2, tc.now)
	next.SetConfiguration(tc.cfg)
	next.LoadAgent(agent)
	tc.is.NoErr(next.Load(testJob(1, step(1, 100)), Progress{Started: true}, tc.now))
	r := tc.testWorkers[agent].report
	r.Epoch, r.Ended = 2, make([]End, MaxListedEnds)
	for n := range r.Ended {
		r.Ended[n] = End{Number: int64(n) + 1, Task: Task{Job: testJob(9).ID, Index: n}.String(), Run: 1, Outcome: EndDone}
	}
	next.Receive(&r, tc.now)
	tc.is.True(!next.priorRunsResolved(tc.now))
	r.Ended = []End{{Number: MaxListedEnds + 1, Task: Task{Job: testJob(1).ID}.String(), Run: 1, Outcome: EndDone}}
	next.Receive(&r, tc.now)
	tc.is.True(next.priorRunsResolved(tc.now))
	next.Tick(tc.now)
	tc.is.Equal(next.jobs.Get(testJob(1).ID).state, Done)
}

// The predecessor opened occurrences that it could no longer record, and their tasks run or have
// ended when the successor hears of them, before its first tick: it must neither stop and start
// again the ones, nor forget the ends of the others.
func TestSuccessorKnowsOccurrencesThatAreDue(t *testing.T) {
	for _, fast := range []bool{false, true} { // whether the predecessor's clock was ahead
		tc := newTestCluster(t, 1)
		next := New(2, tc.now)
		next.SetConfiguration(tc.cfg)
		next.LoadAgent("agent-0")
		j := testJob(1, step(2, 100))
		j.Schedule = Schedule{Times: 1000, First: tc.now.Add(-2 * time.Second), Period: time.Second}
		tc.is.NoErr(next.Load(j, Progress{Started: true, Next: 1}, tc.now))
		newest := 2
		if fast {
			newest = 3
		}
		next.FinishLoaded(tc.now)
		task := func(occurrence, index int) string {
			return Task{Job: j.ID, Occurrence: occurrence, Index: index}.String()
		}
		r := tc.testWorkers["agent-0"].report
		r.Epoch = 2
		r.Running = []Run{{Task: task(newest, 0), Run: 1}}
		r.Ended = []End{{Number: 1, Task: task(1, 0), Run: 1, Outcome: EndDone}, {Number: 2, Task: task(newest, 1), Run: 1, Outcome: EndDone}}
		next.Receive(&r, tc.now)
		next.BeginOwnershipCheck()
		next.ConfirmOwnership(tc.now)
		for range 20 {
			next.Tick(tc.now)
			tc.now = tc.now.Add(10 * time.Millisecond)
		}
		reply := next.Reply(&r, tc.now)
		for _, o := range reply.Orders {
			tc.is.True(o.Kind == OrderStart)
			tc.is.True(o.Task != task(1, 0) && o.Task != task(newest, 0) && o.Task != task(newest, 1))
		}
		tc.is.True(len(reply.Orders) > 0) // the other task of occurrence 1
	}
}
