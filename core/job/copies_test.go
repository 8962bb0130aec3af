package job

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// copyCluster is a cluster that runs a job with a step whose tasks may have copies.
type copyCluster struct {
	*testCluster
	job  Job
	name string
	// first is the worker of the first task of the job.
	first *testWorker
}

// stepWithCopies returns a step whose tasks take 2 s and may have copies.
func stepWithCopies(tasks, processors int) Step {
	s := step(tasks, processors)
	s.Estimate, s.Speculative = 2*time.Second, true
	return s
}

// newCopyCluster returns a cluster with two workers a rack.
func newCopyCluster(t *testing.T, workers int, s Step, options ...Option) *copyCluster {
	tc := newTestCluster(t, 0)
	cfg := tc.cfg
	tc.Cell = New(1, tc.now, options...)
	tc.SetConfiguration(cfg)
	for i := range workers {
		w := tc.addWorker(fmt.Sprintf("agent-%d", i))
		w.report.Worker.Labels = []string{"a", fmt.Sprintf("r%d", i/2)}
	}
	cc := &copyCluster{testCluster: tc, job: testJob(1, s), name: Task{Job: testJob(1).ID}.String()}
	cc.job.Accepted = tc.now
	tc.submit(cc.job)
	if on := cc.runningOn(); len(on) > 0 {
		cc.first = on[0]
	}
	return cc
}

// runningOn returns the workers that run the first task of the job.
func (cc *copyCluster) runningOn() []*testWorker {
	var out []*testWorker
	for _, w := range cc.testWorkers {
		for _, r := range w.report.Running {
			if r.Task == cc.name {
				out = append(out, w)
			}
		}
	}
	return out
}

// other returns the worker of the copy, or nil.
func (cc *copyCluster) other() *testWorker {
	for _, w := range cc.runningOn() {
		if w != cc.first {
			return w
		}
	}
	return nil
}

// pass lets time pass. Runs make 5% in 100 ms, but 2% on the worker slow, and the agents of
// silent workers do not report.
func (cc *copyCluster) pass(d time.Duration, slow *testWorker, silent ...*testWorker) {
	for end := cc.now.Add(d); cc.now.Before(end); {
		cc.now = cc.now.Add(100 * time.Millisecond)
		for agent, w := range cc.testWorkers {
			if slices.Contains(silent, w) {
				continue
			}
			for i := range w.report.Running {
				percent := 5
				if w == slow {
					percent = 2
				}
				w.report.Running[i].Percent = min(99, w.report.Running[i].Percent+percent)
			}
			cc.deliverReport(agent)
		}
	}
}

// silence makes the worker of the first task silent until it has a copy.
func (cc *copyCluster) silence() {
	cc.pass(1200*time.Millisecond, nil, cc.first)
	cc.pass(200*time.Millisecond, nil, cc.first)
}

// eventsOf returns the reasons of the events of a kind since the last call.
func (cc *copyCluster) eventsOf(kinds ...EventKind) []string {
	var out []string
	for _, e := range cc.Events() {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e.Reason)
		}
	}
	return out
}

// startsOf returns the number of starts of the first task that workers carried out.
func (cc *copyCluster) startsOf() int {
	n := 0
	for _, w := range cc.testWorkers {
		for _, o := range w.orders {
			if o.Kind == OrderStart && o.Task == cc.name {
				n++
			}
		}
	}
	return n
}

// A copy must start for each of the reasons, on another worker in another rack, and with
// another run number. Two runs of one worker or number would be taken for one.
func TestCopyReasons(t *testing.T) {
	for reason, fault := range map[copyReason]func(*copyCluster){
		copySlow:   func(cc *copyCluster) { cc.pass(time.Second, cc.first) },
		copySilent: (*copyCluster).silence,
		copyFailing: func(cc *copyCluster) {
			row := cc.workers.Get(cc.first.report.Agent)
			row.health.recordFailure(cc.now)
			row.health.recordFailure(cc.now)
			cc.pass(300*time.Millisecond, nil)
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
			cc.Events()
			fault(cc)
			cc.is.Equal(cc.eventsOf(EventCopyStarted), []string{string(reason)})
			second := cc.other()
			cc.is.True(rackOf(second.report.Worker) != rackOf(cc.first.report.Worker))
			cc.is.True(second.report.Running[0].Run != cc.first.report.Running[0].Run)
		})
	}
}

// A worker refuses a second run of a task that it runs, so a copy must not be ordered there,
// also if its other tasks are not slow.
func TestNoCopyOnSameWorker(t *testing.T) {
	cc := newCopyCluster(t, 1, stepWithCopies(1, 800), WithCopies(), WithoutLearning())
	cc.pass(time.Second, cc.first)
	cc.is.Equal(cc.eventsOf(EventCopyStarted), nil)
}

// A copy must not start where the task has failed: it may fail there again.
func TestNoCopyWhereTaskFailed(t *testing.T) {
	cc := newCopyCluster(t, 2, stepWithCopies(1, 800), WithCopies())
	_, _, task := cc.findTask(cc.name)
	for _, w := range cc.workers.All {
		if w != task.worker {
			task.failedOn = []string{w.ID}
		}
	}
	cc.silence()
	cc.is.Equal(cc.startsOf(), 1)
}

// A step whose estimate is too short must not have all its tasks copied as slow.
func TestKindTimeFollowsTasksThatAreDone(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(2, 800), WithCopies(), WithoutLearning())
	_, s, task := cc.findTask(cc.name)
	cc.is.Equal(cc.kindTime(cc.jobs.Get(cc.job.ID), s), 2*time.Second)
	cc.pass(5*time.Second, nil, cc.first)
	cc.first.endRun(cc.name, EndDone)
	cc.deliverReport(cc.first.report.Agent)
	cc.is.True(task.isDone())
	cc.is.True(cc.kindTime(cc.jobs.Get(cc.job.ID), s) >= 5*time.Second)
}

// The lists that an agent repeats while its worker does not answer show no progress, which
// must not make the run look slow afterwards.
func TestShortSilenceDoesNotMakeRunSlow(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.pass(300*time.Millisecond, nil)
	for range 9 {
		cc.first.report.Unreachable += 100 * time.Millisecond
		cc.now = cc.now.Add(100 * time.Millisecond)
		r := cc.first.report
		cc.Receive(&r, cc.now)
		cc.Tick(cc.now)
	}
	cc.first.report.Unreachable = 0
	cc.pass(600*time.Millisecond, nil)
	cc.is.Equal(cc.startsOf(), 1)
}

// A run of normal speed, a copy that would not end sooner, and a short silence must not
// cause extra work.
func TestNoCopyWithoutGain(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.pass(1800*time.Millisecond, nil)
	cc.is.Equal(cc.startsOf(), 1)
	cc.pass(800*time.Millisecond, nil, cc.first)
	cc.is.Equal(cc.startsOf(), 1)

	ending := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	ending.first.report.Running[0].Percent = 90
	ending.pass(100*time.Millisecond, nil)
	ending.silence() // 0.2 s and as long as the silence remain
	cc.is.Equal(ending.startsOf(), 1)
}

// Tasks of other kinds of steps, of jobs without value and without the option must have one
// run: the members of a gang would wait for each other, and a ticket is for one start.
func TestNeverCopied(t *testing.T) {
	on := []Option{WithCopies()}
	for name, x := range map[string]struct {
		options []Option
		change  func(*Step)
	}{
		"off":         {nil, func(*Step) {}},
		"not allowed": {on, func(s *Step) { s.Speculative = false }},
		"gang":        {on, func(s *Step) { s.Gang = true }},
		"serving":     {on, func(s *Step) { s.LongRunning = true }},
	} {
		s := stepWithCopies(1, 800)
		x.change(&s)
		cc := newCopyCluster(t, 4, s, x.options...)
		cc.silence()
		if n := cc.startsOf(); n != 1 {
			t.Errorf("%s: %d starts", name, n)
		}
	}
	for name, change := range map[string]func(*copyCluster){
		"ticket": func(cc *copyCluster) {
			cc.cfg.Queues[0].RequiresTicket = true
			s, _ := cc.jobs.Get(cc.job.ID).task(Task{Job: cc.job.ID})
			expires := cc.now.Add(time.Hour)
			s.advice = advice{byWorker: map[string]workerAdvice{}, usableUntil: expires}
			for _, w := range cc.testWorkers {
				s.advice.byWorker[w.report.Worker.ID] = workerAdvice{w.report.Worker.Incarnation, "t", expires}
			}
		},
		"too late": func(cc *copyCluster) { cc.jobs.Get(cc.job.ID).Accepted = cc.now.Add(-time.Minute) },
		"replaced": func(cc *copyCluster) {
			// Without confirmations of the ownership.
			for range 20 {
				cc.now = cc.now.Add(100 * time.Millisecond)
				for agent, w := range cc.testWorkers {
					if r := w.report; agent != cc.first.report.Agent {
						cc.Receive(&r, cc.now)
					}
				}
				cc.Tick(cc.now)
			}
			cc.is.Equal(cc.eventsOf(EventCopyStarted), nil)
			cc.cfg.Queues[0].RequiresTicket = true
		},
	} {
		cc := newCopyCluster(t, 4, stepWithCopies(1, 800), on...)
		change(cc)
		cc.silence()
		if n := cc.startsOf(); n != 1 {
			t.Errorf("%s: %d starts", name, n)
		}
	}
}

// A third run must not start, however slow both runs are.
func TestNeverMoreThanTwoRuns(t *testing.T) {
	cc := newCopyCluster(t, 6, stepWithCopies(1, 400), WithCopies())
	cc.silence()
	second := cc.other()
	for range 100 {
		cc.now = cc.now.Add(100 * time.Millisecond)
		for agent, w := range cc.testWorkers {
			if w != cc.first && w != second {
				cc.deliverReport(agent)
			}
		}
	}
	cc.is.Equal(cc.startsOf(), 2)
	cc.is.Equal(len(cc.runningOn()), 2)
}

// Copies must not hold more than a twentieth of the processors, also while runs that are
// left are stopping.
func TestBoundOnExtraWork(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(32, 900), WithCopies()) // 64 processors: three copies
	silent := []*testWorker{cc.testWorkers["agent-0"], cc.testWorkers["agent-1"]}
	cc.Events()
	copies := func() int {
		n, processors := 0, 0
		for _, w := range cc.workers.All {
			for _, task := range w.tasks {
				if task.isExtra() {
					n, processors = n+1, processors+task.spec.Need.Processors
				}
			}
		}
		cc.is.True(processors <= 64000/copyDivisor)
		return n
	}
	for range 20 {
		cc.pass(100*time.Millisecond, nil, silent...)
		copies()
	}
	cc.is.Equal(copies(), 3)
	cc.is.Equal(len(cc.eventsOf(EventCopyStarted)), 3)
	for _, w := range cc.testWorkers {
		for _, r := range slices.Clone(w.report.Running) {
			if !slices.Contains(silent, w) {
				w.endRun(r.Task, EndDone)
			}
		}
	}
	for range 3 {
		cc.pass(100*time.Millisecond, nil, silent...)
		cc.is.Equal(copies(), 3) // the run that is left holds its room until it is listed as ended
	}
}

// A copy must leave room that a waiting task can use, and may take the rest.
func TestCopiesLeaveRoomToWaitingTasks(t *testing.T) {
	cc := newCopyCluster(t, 2, stepWithCopies(1, 800), WithCopies())
	waiting := step(1, 1000)
	d := &copyDecision{cell: cc.Cell, now: cc.now, contested: map[*workerRow]bool{}}
	queue := cc.queues[testQueue]
	other := testJob(2, waiting)
	cc.jobs.Put(other.ID, jobRow{Job: other})
	row := cc.jobs.Get(other.ID)
	row.openOccurrence(0)
	d.setWaiting([]candidate{{job: row, occ: row.occurrences[0], step: &row.occurrences[0].steps[0], queue: queue}})
	for _, w := range cc.workers.All {
		cc.is.True(d.isContested(w))
		w.used.Processors = 15500
	}
	clear(d.contested)
	for _, w := range cc.workers.All {
		cc.is.True(!d.isContested(w)) // the waiting task does not fit
	}
}

// A task that may start soon must find its room, also while it waits after a refusal.
func TestNoCopyInRoomOfWaitingTask(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	waiting := testJob(2, step(1, 100))
	cc.Add(waiting, cc.now)
	_, _, task := cc.findTask(Task{Job: waiting.ID}.String())
	task.notBefore = cc.now.Add(time.Hour)
	cc.silence()
	cc.is.Equal(cc.startsOf(), 1)
}

// While other steps keep the job alive, the run that is left must be stopped as well.
func TestLoserStopsWhileJobGoesOn(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.job = testJob(2, stepWithCopies(1, 800), step(1, 100, 0))
	cc.job.Accepted, cc.name = cc.now, Task{Job: testJob(2).ID}.String()
	cc.submit(cc.job)
	cc.first = cc.runningOn()[0]
	cc.silence()
	cc.first.endRun(cc.name, EndDone)
	cc.pass(500*time.Millisecond, nil)
	cc.is.Equal(len(cc.runningOn()), 0)
	cc.is.True(!cc.endedJobs[cc.job.ID])
}

// The first run that ends as done must end the task, and the other one be stopped at once,
// whichever it is.
func TestFirstEndCounts(t *testing.T) {
	for outcome, winner := range map[string]func(*copyCluster) *testWorker{
		copyWon:  (*copyCluster).other,
		copyLost: func(cc *copyCluster) *testWorker { return cc.first },
	} {
		cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
		cc.silence()
		cc.Events()
		w := winner(cc)
		run := w.report.Running[0].Run
		w.endRun(cc.name, EndDone)
		cc.deliverReport(w.report.Agent)
		counted := int64(0)
		for _, e := range cc.Events() {
			if e.Kind == EventCopyEnded {
				cc.is.Equal(e.Reason, outcome)
				counted = e.Run
			}
		}
		cc.is.Equal(counted, run)
		cc.is.True(cc.endedJobs[cc.job.ID])
		cc.pass(500*time.Millisecond, nil)
		cc.is.Equal(len(cc.runningOn()), 0)
		cc.is.Equal(cc.jobs.Get(cc.job.ID), (*jobRow)(nil))
		cc.is.Equal(cc.startsOf(), 2)
	}
}

// If the end of an earlier run as done arrives late, both runs must be stopped.
func TestLateSuccessStopsBothRuns(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.job = testJob(2, stepWithCopies(1, 800), step(1, 100, 0))
	cc.job.Accepted, cc.name = cc.now, Task{Job: testJob(2).ID}.String()
	cc.submit(cc.job)
	cc.first = cc.runningOn()[0]
	cc.silence()
	second := cc.other()
	for _, w := range cc.testWorkers {
		if w != cc.first && w != second {
			w.lastEnd++
			w.report.Ended = append(w.report.Ended, End{Number: w.lastEnd, Task: cc.name, Run: 7, Outcome: EndDone})
			break
		}
	}
	cc.pass(500*time.Millisecond, nil)
	cc.is.Equal(len(cc.runningOn()), 0)
	cc.is.Equal(cc.startsOf(), 2)
}

// Whatever end the run has that does not count, it must be acknowledged, not fail the job,
// not put its worker on probation and not start the task again.
func TestLosersEndChangesNothing(t *testing.T) {
	ends := map[string]func(*copyCluster){
		"failed":  func(cc *copyCluster) { cc.first.endRun(cc.name, EndFailed) },
		"lapsed":  func(cc *copyCluster) { cc.first.endRun(cc.name, EndLapsed) },
		"done":    func(cc *copyCluster) { cc.first.endRun(cc.name, EndDone) },
		"stopped": func(cc *copyCluster) { cc.first.endRun(cc.name, EndStopped) },
		"restart": func(cc *copyCluster) {
			next := *cc.first.report.Worker
			next.Incarnation++
			cc.first.report.Worker, cc.first.report.Running = &next, nil
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
			cc.cfg.Queues[0].MaxFailures = 1
			cc.silence()
			second := cc.other()
			second.endRun(cc.name, EndDone)
			cc.pass(100*time.Millisecond, nil, cc.first)
			cc.is.True(cc.endedJobs[cc.job.ID])
			row := cc.workers.Get(cc.first.report.Agent)
			cc.is.True(row.used.Processors == 800) // kept until the end is listed
			end(cc)
			cc.pass(time.Second, nil)
			cc.is.Equal(row.used.Processors, 0)
			cc.is.Equal(row.health.failures, 0)
			cc.is.Equal(cc.startsOf(), 2)
			cc.is.Equal(cc.first.acknowledged, cc.first.lastEnd)
			finals, extra := 0, 0
			for _, e := range cc.Events() {
				switch {
				case e.Kind == EventFinal:
					finals++
					cc.is.Equal(e.Reason, string(Done))
				case e.Kind == EventExtraWork:
					extra++
					cc.is.Equal(e.Run, int64(1))
					cc.is.True(e.LostWork > 0.8) // 0.8 processors for over 1 s
				}
			}
			cc.is.Equal([]int{finals, extra}, []int{1, 1})
		})
	}
}

// The start of a copy without an answer keeps its room. If the first run is done meanwhile,
// the copy is stopped before anything else, and the room is free only when the agent says
// that the run will never start.
func TestCopyWithoutAnswer(t *testing.T) {
	cc := newCopyCluster(t, 2, stepWithCopies(1, 800), WithCopies())
	lost := cc.testWorkers["agent-0"]
	if lost == cc.first {
		lost = cc.testWorkers["agent-1"]
	}
	cc.loseReplies(lost)
	row := cc.workers.Get(lost.report.Agent)
	cc.is.Equal(row.used.Processors, 800)
	start := row.pending[0]
	cc.first.endRun(cc.name, EndDone)
	cc.pass(100*time.Millisecond, nil, lost)
	cc.is.Equal(row.used.Processors, 800)
	stop := row.pending[len(row.pending)-1]
	cc.is.True(stop.Kind == OrderStop && stop.Run == start.Run)
	lost.report.Applied = stop.Sequence
	lost.report.Absent = []AbsentRun{{cc.name, start.Run, "withdrawn"}}
	cc.pass(300*time.Millisecond, nil)
	cc.is.Equal(row.used.Processors, 0)
	cc.is.Equal(cc.startsOf(), 1)
	cc.is.Equal(cc.jobs.Get(cc.job.ID), (*jobRow)(nil))
}

// loseReplies lets 1.2 s pass, in which only lost reports, and gets no reply.
func (cc *copyCluster) loseReplies(lost *testWorker) {
	for range 12 {
		cc.now = cc.now.Add(100 * time.Millisecond)
		r := lost.report
		cc.Receive(&r, cc.now)
		cc.BeginOwnershipCheck()
		cc.ConfirmOwnership(cc.now)
		cc.Tick(cc.now)
	}
}

// If the first run reaches the maximum of failures while the start of its copy is on its
// way, the start must be withdrawn, and the job fails.
func TestStartIsWithdrawnAtMaximumOfFailures(t *testing.T) {
	cc := newCopyCluster(t, 2, stepWithCopies(1, 800), WithCopies())
	cc.cfg.Queues[0].MaxFailures = 1
	lost := cc.testWorkers["agent-0"]
	if lost == cc.first {
		lost = cc.testWorkers["agent-1"]
	}
	cc.loseReplies(lost)
	cc.first.endRun(cc.name, EndFailed)
	cc.pass(100*time.Millisecond, nil, lost)
	row := cc.workers.Get(lost.report.Agent)
	start, stop := row.pending[0], row.pending[len(row.pending)-1]
	cc.is.True(stop.Kind == OrderStop && stop.Run == start.Run)
	cc.is.True(!cc.endedJobs[cc.job.ID])
	lost.report.Applied = stop.Sequence
	lost.report.Absent = []AbsentRun{{cc.name, start.Run, "withdrawn"}}
	cc.pass(300*time.Millisecond, nil)
	cc.is.Equal(cc.eventsOf(EventFinal), []string{string(Failed)})
	cc.is.Equal(cc.startsOf(), 1)
}

// nextOwner replaces the owner. The workers keep their runs.
func (cc *copyCluster) nextOwner(options ...Option) {
	p := cc.jobs.Get(cc.job.ID).durableProgress()
	cfg := cc.cfg
	cc.Cell = New(cc.epoch+1, cc.now, options...)
	cc.SetConfiguration(cfg)
	for agent := range cc.testWorkers {
		cc.LoadAgent(agent)
	}
	cc.is.NoErr(cc.Load(cc.job, p, cc.now))
	cc.FinishLoaded(cc.now)
	for _, w := range cc.testWorkers {
		w.report.Epoch, w.report.Applied = cc.epoch, 0
	}
}

// A new owner must adopt both runs, or the work of one is lost. Without the option or
// may-copy it knows one run only, and must stop the other.
func TestNewOwnerAdoptsBothRuns(t *testing.T) {
	for name, x := range map[string]struct {
		options []Option
		forbid  bool
		runs    int
	}{
		"on":          {[]Option{WithCopies()}, false, 2},
		"off":         {nil, false, 1},
		"not allowed": {[]Option{WithCopies()}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
			cc.silence()
			if x.forbid {
				cc.job.Steps = []Step{step(1, 800)}
			}
			cc.nextOwner(x.options...)
			cc.pass(300*time.Millisecond, nil)
			cc.is.Equal(len(cc.runningOn()), x.runs)
			cc.pass(300*time.Millisecond, nil)
			used := 0
			for _, w := range cc.workers.All {
				used += w.used.Processors
			}
			cc.is.Equal(used, 800*x.runs)
			cc.runningOn()[0].endRun(cc.name, EndDone)
			cc.pass(500*time.Millisecond, nil)
			cc.is.Equal(len(cc.runningOn()), 0)
			cc.is.Equal(cc.startsOf(), 2)
			cc.is.True(cc.endedJobs[cc.job.ID])
		})
	}
}

// A new owner that has not heard of all workers must not copy a task: two runs of it may be
// active already.
func TestNewOwnerCopiesAfterAllReports(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.silence()
	second := cc.other()
	cc.nextOwner(WithCopies())
	cc.pass(3*time.Second, second, cc.first) // the adopted run is slow
	cc.is.Equal(cc.startsOf(), 2)
	cc.is.Equal(len(cc.runningOn()), 2)
}

// A copy that fails counts once, and the other run goes on. At the maximum of failures, the
// outcome of the job waits for the run that is left, and no further run starts.
func TestFailuresWithCopies(t *testing.T) {
	prepare := func(t *testing.T, most int) *copyCluster {
		cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
		cc.cfg.Queues[0].MaxFailures = most
		cc.silence()
		cc.Events()
		cc.other().endRun(cc.name, EndFailed)
		cc.pass(500*time.Millisecond, nil, cc.first)
		return cc
	}
	t.Run("counts once", func(t *testing.T) {
		cc := prepare(t, 2)
		_, _, task := cc.findTask(cc.name)
		cc.is.Equal(len(task.failedRuns), 1)
		cc.is.Equal(task.state, taskAssigned)
		cc.first.endRun(cc.name, EndFailed) // a second copy is active
		cc.pass(200*time.Millisecond, nil)
		cc.is.True(!cc.endedJobs[cc.job.ID])
		cc.runningOn()[0].endRun(cc.name, EndFailed)
		cc.pass(200*time.Millisecond, nil)
		cc.is.True(slices.Contains(cc.eventsOf(EventFinal), string(Failed)))
	})
	t.Run("then done", func(t *testing.T) {
		cc := prepare(t, 1)
		cc.is.True(!cc.endedJobs[cc.job.ID])
		cc.pass(3*time.Second, cc.first) // a task that may start again would be moved
		cc.is.Equal(cc.startsOf(), 2)
		cc.first.endRun(cc.name, EndDone)
		cc.pass(200*time.Millisecond, nil)
		cc.is.Equal(cc.eventsOf(EventFinal), []string{string(Done)})
	})
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("then lapsed, replaced %v", replaced), func(t *testing.T) {
			cc := prepare(t, 1)
			if replaced {
				cc.nextOwner(WithCopies())
			}
			cc.pass(300*time.Millisecond, nil)
			cc.is.True(!cc.endedJobs[cc.job.ID])
			cc.first.endRun(cc.name, EndLapsed)
			cc.pass(300*time.Millisecond, nil)
			cc.is.Equal(cc.eventsOf(EventFinal), []string{string(Failed)})
			cc.is.Equal(cc.startsOf(), 2)
		})
	}
}

// Copies of a task that fails by itself must not go on while its worker is silent.
func TestTaskHasAtMostTwoCopies(t *testing.T) {
	cc := newCopyCluster(t, 6, stepWithCopies(1, 400), WithCopies())
	cc.cfg.Queues[0].MaxFailures = 9
	cc.silence()
	for range 3 {
		if w := cc.other(); w != nil {
			w.endRun(cc.name, EndFailed)
		}
		cc.pass(500*time.Millisecond, nil, cc.first)
	}
	cc.is.Equal(cc.startsOf(), 3)
}

// If the first run ends without success, the copy is the run of the task: it is not started
// again, and it can finish the task.
func TestCopyTakesOver(t *testing.T) {
	for name, outcome := range map[string]Outcome{"failed": EndFailed, "stopped": EndStopped, "lapsed": EndLapsed} {
		cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
		cc.silence()
		second := cc.other()
		cc.first.endRun(cc.name, outcome)
		cc.pass(300*time.Millisecond, nil)
		if n := cc.startsOf(); n != 2 {
			t.Errorf("%s: %d starts", name, n)
		}
		row := cc.workers.Get(second.report.Agent)
		_, _, task := cc.findTask(cc.name)
		cc.is.Equal(task.worker, row)
		for _, x := range row.tasks {
			cc.is.Equal(x, task)
		}
		second.endRun(cc.name, EndDone)
		cc.pass(300*time.Millisecond, nil)
		cc.is.Equal(cc.eventsOf(EventCopyEnded), []string{copyWon})
		cc.is.True(cc.endedJobs[cc.job.ID])
	}
}

// A copy continues from the newest checkpoint of the first run. Of two runs, the checkpoint
// of the one that got further is kept, or work would be lost.
func TestCopyContinuesFromCheckpoint(t *testing.T) {
	s := stepWithCopies(1, 800)
	s.Checkpoints = true
	cc := newCopyCluster(t, 4, s, WithCopies())
	cc.first.report.Running[0].Checkpoint, cc.first.report.Running[0].Percent = "c40", 40
	cc.pass(100*time.Millisecond, nil)
	cc.pass(2500*time.Millisecond, nil, cc.first)
	second := cc.other()
	cc.is.Equal(second.orders[len(second.orders)-1].Checkpoint, "c40")
	second.report.Running[0].Checkpoint, second.report.Running[0].Percent = "c70", 70
	cc.pass(100*time.Millisecond, nil, cc.first)
	cc.first.endRun(cc.name, EndLapsed)
	cc.pass(100*time.Millisecond, nil)
	_, _, task := cc.findTask(cc.name)
	cc.is.Equal(task.checkpoint, "c70")
}

// A cancellation must stop both runs, and the account of the job pays for both.
func TestCancelStopsBothRuns(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies(), WithFairShares())
	cc.silence()
	cc.is.Equal(cc.jobs.Get(cc.job.ID).account[regularTasks].running[0], 1600.0)
	cc.Events()
	cc.Cancel(cc.job.ID, cc.now)
	cc.is.Equal(cc.eventsOf(EventStop), []string{string(Cancelled), string(Cancelled)})
	cc.pass(300*time.Millisecond, nil)
	cc.is.Equal(len(cc.runningOn()), 0)
	for _, w := range cc.workers.All {
		cc.is.Equal(w.used.Processors, 0)
	}
}

// A worker that drains keeps its runs, and a copy that no list has yet leaves an evacuated
// zone, as any start.
func TestDrainAndEvacuationWithCopies(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies(), WithEvacuation(time.Second))
	for agent, w := range cc.testWorkers {
		w.report.Worker.Zone = agent
	}
	cc.ConfirmEvacuations(nil, cc.now, cc.now)
	cc.pass(200*time.Millisecond, nil)
	cc.first = cc.runningOn()[0]
	cc.silence()
	second := cc.other()
	second.report.Worker.Draining = true
	second.report.Worker.Sequence++
	cc.pass(200*time.Millisecond, nil, cc.first)
	cc.is.Equal(len(cc.runningOn()), 2)
	_, _, task := cc.findTask(cc.name)
	task.copy.running = false
	cc.ConfirmEvacuations([]string{second.report.Worker.Zone}, cc.now, cc.now)
	cc.is.True(task.copy.stopping && !task.stopping)
}
