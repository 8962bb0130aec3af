package job

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times of a crashCluster, as on the users' platform.
const (
	crashDownTime   = 3 * time.Second
	crashDetectTime = 900 * time.Millisecond
	crashTick       = 20 * time.Millisecond
	innocentRunTime = 600 * time.Millisecond
)

// crashCluster is a testCluster with tasks that crash each worker that runs them, after
// crashDelay. Other tasks end after innocentRunTime. A worker is back, with another ID, after
// crashDownTime; until its agent notices, its last report is repeated and gets orders.
type crashCluster struct {
	*testCluster
	deadly     map[string]bool
	crashDelay time.Duration
	down       map[string]time.Time
	started    map[string]time.Time
	// workersCrashed counts the crashes under each deadly task, and innocentCrashes those
	// under each other task.
	workersCrashed, innocentCrashes map[string]int
	final                           map[string]State
	// evidence is true if the agents report the runs that crashed.
	evidence bool
	// crashed are the runs that an agent reports as crashed.
	crashed map[string][]AbsentRun
}

func newCrashCluster(t *testing.T, workers int) *crashCluster {
	cc := &crashCluster{testCluster: newTestCluster(t, workers), deadly: map[string]bool{}, down: map[string]time.Time{},
		started: map[string]time.Time{}, workersCrashed: map[string]int{}, innocentCrashes: map[string]int{}, final: map[string]State{},
		crashed: map[string][]AbsentRun{}}
	return cc
}

// addDeadly adds job n, of which one task crashes its workers.
func (cc *crashCluster) addDeadly(n int, steps ...Step) {
	cc.deadly[Task{Job: testJob(n).ID}.String()] = true
	j := testJob(n, steps...)
	j.Accepted = cc.now
	cc.Add(j, cc.now)
}

func (cc *crashCluster) addInnocent(n int, steps ...Step) {
	j := testJob(n, steps...)
	j.Accepted = cc.now
	cc.Add(j, cc.now)
}

// advance runs the cluster for d.
func (cc *crashCluster) advance(d time.Duration) {
	for end := cc.now.Add(d); cc.now.Before(end); {
		cc.now = cc.now.Add(crashTick)
		for _, agent := range slices.Sorted(maps.Keys(cc.testWorkers)) {
			cc.step(agent)
		}
		for _, e := range cc.Events() {
			if e.Kind == EventFinal {
				cc.final[e.Task] = State(e.Reason)
			}
		}
	}
}

func (cc *crashCluster) step(agent string) {
	w := cc.testWorkers[agent]
	if at, ok := cc.down[agent]; ok {
		if cc.now.Sub(at) < crashDownTime {
			w.report.Unreachable = 0
			if silent := cc.now.Sub(at); silent > crashDetectTime {
				w.report.Unreachable = silent
			}
			cc.exchange(agent, func(Order) {})
			return
		}
		cc.restart(agent, w)
	}
	w.report.Clock += crashTick
	for i := range w.report.Running {
		w.report.Running[i].Percent = int(min(99, 100*cc.now.Sub(cc.started[w.report.Running[i].Task])/(2*time.Second)))
	}
	for _, r := range slices.Clone(w.report.Running) {
		switch age := cc.now.Sub(cc.started[r.Task]); {
		case cc.deadly[r.Task] && age >= cc.crashDelay:
			cc.crash(agent, w)
			return
		case !cc.deadly[r.Task] && age >= innocentRunTime:
			w.endRun(r.Task, EndDone)
		}
	}
	reported := len(w.report.Absent)
	cc.exchange(agent, func(o Order) { cc.carryOut(w, o) })
	w.report.Absent = w.report.Absent[reported:]
	for _, r := range w.report.Running {
		// The tasks that crash at once are never listed.
		if cc.deadly[r.Task] && cc.crashDelay == 0 {
			cc.crash(agent, w)
			return
		}
	}
}

// exchange delivers the report of an agent and passes the orders in the reply to f.
func (cc *crashCluster) exchange(agent string, f func(Order)) {
	w := cc.testWorkers[agent]
	r := w.report
	r.Absent = append(slices.Clone(r.Absent), cc.crashed[agent]...)
	cc.is.True(!cc.Receive(&r, cc.now))
	cc.BeginOwnershipCheck()
	cc.ConfirmOwnership(cc.now)
	cc.Tick(cc.now)
	cc.commitWrites()
	reply := cc.Reply(&r, cc.now)
	for _, o := range reply.Orders {
		if o.Sequence > w.report.Applied {
			w.report.Applied = o.Sequence
			w.orders = append(w.orders, o)
			f(o)
		}
	}
	for len(w.report.Ended) > 0 && w.report.Ended[0].Number <= reply.Acknowledged {
		w.report.Ended = w.report.Ended[1:]
	}
}

func (cc *crashCluster) carryOut(w *testWorker, o Order) {
	if o.Incarnation != w.report.Worker.Incarnation {
		return
	}
	if o.Kind == OrderStart {
		cc.started[o.Task] = cc.now
		w.apply(o)
		return
	}
	before := len(w.report.Running)
	w.apply(o)
	if len(w.report.Running) == before {
		w.report.Absent = append(w.report.Absent, AbsentRun{o.Task, o.Run, "stopped"})
	}
}

// crash takes the worker down and records which runs crash with it.
func (cc *crashCluster) crash(agent string, w *testWorker) {
	cc.down[agent] = cc.now
	var rows []AbsentRun
	for _, r := range w.report.Running {
		if cc.deadly[r.Task] {
			cc.workersCrashed[r.Task]++
		} else {
			cc.innocentCrashes[r.Task]++
		}
		rows = append(rows, AbsentRun{r.Task, r.Run, CrashedReason(cc.now.Sub(cc.started[r.Task]), false)})
	}
	if cc.evidence {
		cc.crashed[agent] = rows
	}
}

// restart brings the worker back.
func (cc *crashCluster) restart(agent string, w *testWorker) {
	delete(cc.down, agent)
	next := *w.report.Worker
	next.Incarnation++
	next.Sequence = 1
	next.ID = fmt.Sprintf("i-%s-%d", agent, next.Incarnation)
	w.report.Worker, w.report.Running, w.report.Ended, w.report.Absent = &next, nil, nil, nil
	w.report.Clock, w.report.Unreachable, w.lastEnd = time.Second, 0, 0
}

// replaceOwner starts the next epoch from what is durable.
func (cc *crashCluster) replaceOwner() {
	jobs, progress := map[string]Job{}, map[string]Progress{}
	for id, j := range cc.jobs.All {
		if !j.state.IsFinal() {
			jobs[id], progress[id] = j.Job, j.durableProgress()
		}
	}
	cfg := cc.cfg
	cc.Cell = New(cc.Epoch()+1, cc.now)
	cc.SetConfiguration(cfg)
	for agent, w := range cc.testWorkers {
		cc.LoadAgent(agent)
		w.report.Epoch, w.report.Applied = cc.Epoch(), 0
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		cc.is.NoErr(cc.Load(jobs[id], progress[id], cc.now))
	}
}

// failedInnocents returns the jobs without a deadly task that were told failed.
func (cc *crashCluster) failedInnocents() []string {
	var out []string
	for id, s := range cc.final {
		if s == Failed && !cc.deadly[Task{Job: id}.String()] {
			out = append(out, id)
		}
	}
	return out
}

// maxCrashesOfTask is one less than the crashes that break the users' rule: a task may be
// started twice more after three workers have crashed under it.
const maxCrashesOfTask = 5

// checkGivenUp checks that the jobs with deadly tasks have failed in time and that all others
// are done.
func (cc *crashCluster) checkGivenUp(t *testing.T, innocents int) {
	t.Helper()
	is := is.New(t)
	for task := range cc.deadly {
		id := strings.Split(task, ".")[0]
		is.Equal(cc.final[id], Failed) // the job with the deadly task
		if n := cc.workersCrashed[task]; n < 2 || n > maxCrashesOfTask {
			t.Errorf("%d workers crashed under %s, want 2 to %d", n, task, maxCrashesOfTask)
		}
	}
	is.Equal(cc.failedInnocents(), nil)
	is.Equal(len(cc.final), innocents+len(cc.deadly))
}

// A task that crashes each worker that starts it is given up after a few crashes, and the
// tasks that shared its workers are not, whether the agents tell which runs crashed or not.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, evidence := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("evidence=%t/%v", evidence, delay), func(t *testing.T) {
				cc := newCrashCluster(t, 6)
				cc.crashDelay, cc.evidence = delay, evidence
				innocents := 0
				for n := range 100 { // 20 s
					if n%20 == 5 && n < 60 {
						cc.addDeadly(1000+n, step(4, 500))
					}
					cc.addInnocent(1+n, step(3, 500))
					innocents++
					cc.advance(200 * time.Millisecond)
				}
				cc.advance(60 * time.Second)
				cc.checkGivenUp(t, innocents)
			})
		}
	}
}

// Several tasks that crash isolated workers at about the same time are no loss of power.
func TestTasksThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	cc := newCrashCluster(t, 6)
	cc.evidence = true
	for n := range 5 {
		cc.addDeadly(1000+n, step(1, 500))
		cc.advance(300 * time.Millisecond)
	}
	for n := range 20 {
		cc.addInnocent(1+n, step(3, 500))
		cc.advance(200 * time.Millisecond)
	}
	cc.advance(60 * time.Second)
	cc.checkGivenUp(t, 20)
}

// A task whose run outlasted the time at which an earlier one crashed did not cause that crash,
// and is not given up for the next one.
func TestOutlastingRunExonerates(t *testing.T) {
	cc := newCrashCluster(t, 2)
	cc.addInnocent(1, step(1, 500))
	cc.advance(100 * time.Millisecond)
	crash := func() {
		for agent, w := range cc.testWorkers {
			if len(w.report.Running) > 0 {
				cc.restart(agent, w)
			}
		}
		cc.advance(100 * time.Millisecond)
	}
	_, _, task := cc.findTask(Task{Job: testJob(1).ID}.String())
	crash()
	cc.is.Equal(task.crashesAtStart, 1)
	cc.advance(450 * time.Millisecond)
	cc.is.Equal(len(task.crashes), 0)
	crash()
	cc.is.Equal(task.crashesAtStart, 0)
	cc.advance(time.Second)
	cc.is.Equal(cc.final[testJob(1).ID], Done)
}

// The crashes of workers under a task are known after each change of the owner, also if every
// owner is replaced while a worker of the task is down.
func TestCrashesOutlastTheOwner(t *testing.T) {
	for _, period := range []int{1, 5, 25} { // of 200 ms
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			cc := newCrashCluster(t, 6)
			cc.evidence = true
			cc.addDeadly(1000, step(4, 500))
			innocents := 0
			for n := range 100 { // 20 s
				cc.addInnocent(1+n, step(3, 500))
				innocents++
				cc.advance(200 * time.Millisecond)
				if n%period == period-1 {
					cc.replaceOwner()
				}
			}
			cc.advance(60 * time.Second)
			cc.checkGivenUp(t, innocents)
		})
	}
}

// An owner that was replaced may have stored a crash for some of the runs only, or ended the
// job of the cause. A run that the next owner has not seen recorded is not the only suspect then.
func TestRecordedRunsStayCompany(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		tc := newTestCluster(t, 3)
		cause, innocent := testJob(1, step(1, 100)), testJob(2, step(1, 100))
		crash := func(agent string, run int64) Crash {
			return Crash{Run: run, Agent: agent, At: tc.now, Starting: true, Jobs: 2}
		}
		load := func(j Job, crashes ...Crash) {
			is.NoErr(tc.Load(j, Progress{Crashes: map[string][]Crash{"0.0.0": crashes}}, tc.now))
		}
		if !ended {
			load(cause, crash("agent-0", 1), crash("agent-1", 2))
		}
		load(innocent, crash("agent-0", 1))
		tc.now = tc.now.Add(4 * time.Second)
		r := tc.testWorkers["agent-1"].report
		for _, j := range []Job{cause, innocent} {
			r.Absent = append(r.Absent, AbsentRun{Task{Job: j.ID}.String(), 2, CrashedReason(0, false)})
		}
		tc.Receive(&r, tc.now)
		is.Equal(tc.jobs.Get(innocent.ID).state, Queued)
		_, _, task := tc.findTask(Task{Job: innocent.ID}.String())
		is.Equal(len(task.crashes), 2)
	}
}

// While the workers are busy, a task that has crashed two workers does not take a third one
// away once its result has no value any more. Its job still ends when they are idle again.
func TestWorthlessSuspectsWaitForIdleWorkers(t *testing.T) {
	is := is.New(t)
	cc := newCrashCluster(t, 8)
	name := Task{Job: testJob(1).ID}
	cc.addInnocent(99, step(8, 12000)) // takes three quarters of the processors
	cc.advance(innocentRunTime / 2)
	cc.deadly[name.String()] = true
	j := testJob(1, step(1, 100))
	j.Accepted = cc.now.Add(-10 * time.Second) // three times the objective is 9 s
	cc.Add(j, cc.now)
	_, _, row := cc.findTask(name.String())
	for n := range minCrashes {
		at := cc.now.Add(time.Duration(2*n-10) * time.Second)
		row.setCrashes(append(row.crashes, Crash{Run: int64(n), Agent: fmt.Sprint("agent-", n), At: at, Starting: true, Jobs: 2}))
	}
	cc.isolation.crashed[name.Job] = true
	for n := range 20 {
		cc.addInnocent(100+n, step(8, 12000))
		cc.advance(innocentRunTime / 2)
	}
	is.Equal(cc.workersCrashed[name.String()], 0)
	cc.advance(20 * time.Second)
	is.Equal(cc.final[name.Job], Failed)
}

// The start of a run waits at a worker that answers late, and the worker crashes just after the
// run began: the time before its first list must not count as executed, as the run would pass for
// one that the crash is not due to.
func TestWaitForStartIsNotExecuted(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.Add(testJob(1, step(1, 100)), tc.now)
	tc.deliverReports()
	w := tc.testWorkers["agent-0"]
	running := w.report.Running
	w.report.Running = nil
	for range 25 { // 0.5 s without a list of the run
		w.report.Clock += 20 * time.Millisecond
		tc.deliverReports()
	}
	w.report.Running = running
	w.report.Clock += 20 * time.Millisecond
	tc.deliverReports()
	_, _, task := tc.findTask(running[0].Task)
	tc.is.True(task.running)
	tc.is.Equal(task.executed(), time.Duration(0))
	w.report.Clock += 100 * time.Millisecond
	tc.deliverReports()
	tc.is.Equal(task.executed(), 100*time.Millisecond)
}
