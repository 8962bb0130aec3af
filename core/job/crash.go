package job

import (
	"slices"
	"strings"
	"time"
)

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Run int64 `json:"run"`
	// Agent is the agent of the worker, and At when the owner learned of the crash.
	Agent string    `json:"agent"`
	At    time.Time `json:"at"`
	// Age is how long the run had certainly been executing.
	Age time.Duration `json:"age-ns,omitempty"`
	// Starting is true if the run was still starting, and Unsure if it may not have started.
	Starting bool `json:"starting,omitempty"`
	Unsure   bool `json:"unsure,omitempty"`
	// Common is true if many workers crashed at about the same time.
	Common bool `json:"common,omitempty"`
	// Jobs is the number of the jobs with starting runs on the worker.
	Jobs int `json:"jobs,omitempty"`
}

// Parameters of the search for tasks that crash their workers.
const (
	// startingTime is how long a run counts as starting. A task that crashes its worker
	// mostly does so as it starts, so a crash is blamed on the runs that are starting. The
	// time is longer for a task under which a worker crashed later.
	startingTime = 250 * time.Millisecond
	// maxBlameAge is the age from which on a crash says nothing about a run, unless there are
	// only older ones.
	maxBlameAge = 3 * time.Second
	// minCrashes is the number of crashes from which on a task may be given up, and
	// maxCrashes that at which it is given up whatever started beside it. On the platform, a
	// task that crashes its workers may be started twice more after the third crash; one of
	// these is left for a crash that no owner noticed.
	minCrashes = 2
	maxCrashes = 4
	// Two crashes are proof only if the ages of the runs differ by less than sameAgeTolerance.
	// Otherwise a third one is needed: a worker may crash by itself while a suspect starts.
	sameAgeTolerance = 50 * time.Millisecond
	certainCrashes   = 3
	// commonCauseTime is within which time the crashes of minCommonCause workers, and at
	// least half of all, count as one event that no task caused, such as a loss of power.
	// Workers restart in different times.
	commonCauseTime = time.Second
	minCommonCause  = 3
	// alertTime is how long after the second crash under one task each task under which a
	// worker has crashed is a suspect. At other times most workers crash by themselves, and
	// isolation would only delay the tasks.
	alertTime = 30 * time.Second
	// Two workers that crash within startCrashTime, each within startCrashAge of a start, are
	// a reason for the same.
	startCrashTime = 10 * time.Second
	startCrashAge  = 50 * time.Millisecond
)

// Reasons for giving up a job, for EventGivenUp.
const (
	// reasonOnlySuspect means that only tasks of the job were starting at the last crash.
	reasonOnlySuspect = "only-suspect"
	// reasonManyCrashes means that maxCrashes workers have crashed under a task.
	reasonManyCrashes = "many-crashes"
)

// Begin of the reasons of absent runs that ended with the crash of their worker, or of which
// the worker did not answer the start before it crashed.
const (
	crashedPrefix = "crashed-after-"
	unsurePrefix  = "unanswered-crashed-after-"
)

// CrashedReason returns the reason of an AbsentRun that had been executing for age when its
// worker crashed, or that may have been if it is unsure whether the run had started. Such runs
// are reported beside those of the next incarnation, and again to each new owner.
func CrashedReason(age time.Duration, unsure bool) string {
	if unsure {
		return unsurePrefix + age.String()
	}
	return crashedPrefix + age.String()
}

// crash returns the age of a run that was reported with CrashedReason, and whether it is
// unsure that the run had started. The result ok is false for other runs.
func (a *AbsentRun) crash() (age time.Duration, unsure, ok bool) {
	s, unsure := strings.CutPrefix(a.Reason, unsurePrefix)
	if !unsure {
		if s, ok = strings.CutPrefix(a.Reason, crashedPrefix); !ok {
			return 0, false, false
		}
	}
	age, err := time.ParseDuration(s)
	return age, unsure, err == nil
}

// crashedRun is a run that a crashed worker had.
type crashedRun struct {
	// name is the name of the task. job and task are nil if it is not known any more, and
	// recorded is true if an earlier report told of the crash.
	name     Task
	job      *jobRow
	task     *taskRow
	recorded bool
	run      int64
	age      time.Duration
	unsure   bool
	starting bool
}

// main returns the row of the task of which t is a run.
func (t *taskRow) main() *taskRow {
	if t.original != nil {
		return t.original
	}
	return t
}

// executed returns how long the current run of t had certainly been executing when its
// worker last answered: since it was first listed, as the order may have waited before.
func (t *taskRow) executed() time.Duration {
	if !t.running {
		return 0
	}
	return t.worker.clock - t.listedClock
}

// startingTime returns how long a run of t counts as starting.
func (t *taskRow) startingTime() time.Duration {
	d := startingTime
	for _, x := range t.main().crashes {
		if x.Age <= maxBlameAge {
			d = max(d, startingTime+2*x.Age)
		}
	}
	return d
}

// blamed returns the crashes for which t may be to blame: those under starting runs. One with a
// common cause is left out; a second one is not, as several tasks may crash workers at a time.
func (t *taskRow) blamed() []Crash {
	var out []Crash
	common := false
	for _, x := range t.crashes {
		if x.Starting && (!x.Common || common) {
			out = append(out, x)
		}
		common = common || x.Common
	}
	return out
}

// setCrashes sets the crashes under t.
func (t *taskRow) setCrashes(all []Crash) {
	t.crashes = all
	t.crashesAtStart = t.countCrashesAtStart()
}

// countCrashesAtStart counts the crashes for which t may be to blame. Those within
// commonCauseTime count once.
func (t *taskRow) countCrashesAtStart() int {
	n := 0
	var last time.Time
	for _, x := range t.blamed() {
		if n == 0 || x.At.Sub(last) > commonCauseTime {
			n++
			last = x.At
		}
	}
	return n
}

// agentsCrashedAtStart counts the agents whose workers crashed under runs of t that certainly
// were starting.
func (t *taskRow) agentsCrashedAtStart() int {
	agents := map[string]bool{}
	for _, x := range t.blamed() {
		if !x.Unsure {
			agents[x.Agent] = true
		}
	}
	return len(agents)
}

// crashesAlike reports whether the crashes under starting runs of t prove that t is the cause if
// nothing else was starting.
func (t *taskRow) crashesAlike() bool {
	n := t.crashesAtStart
	if n != minCrashes {
		return n >= certainCrashes
	}
	b := t.blamed()
	return (b[len(b)-1].Age - b[0].Age).Abs() < sameAgeTolerance
}

// suspicion returns how likely it is that t crashes its workers: at each crash, the blame is
// divided among the jobs with starting runs.
func (t *taskRow) suspicion() float64 {
	sum := 0.0
	for _, x := range t.blamed() {
		sum += 1 / float64(max(x.Jobs, 1))
	}
	return min(sum, 1)
}

// receiveCrashes records the crash of an earlier incarnation of r's worker, unless that was
// recorded before or it announced its departure.
func (c *Cell) receiveCrashes(w *workerRow, r *Report, now time.Time) {
	restarted := r.Worker.ID != w.ID || r.Worker.Incarnation != w.Incarnation
	if !c.receiveCrashedRuns(w, r, now) && restarted && !w.left && !w.Draining {
		c.inferCrash(w, r, now)
	}
}

// receiveCrashedRuns records the crash of an earlier incarnation of r's worker as the agent
// reports it. It reports whether r has such runs.
func (c *Cell) receiveCrashedRuns(w *workerRow, r *Report, now time.Time) bool {
	var runs []crashedRun
	for i := range r.Absent {
		age, unsure, ok := r.Absent[i].crash()
		name, err := ParseTask(r.Absent[i].Task)
		if !ok || err != nil {
			continue
		}
		x := crashedRun{name: name, run: r.Absent[i].Run, age: age, unsure: unsure}
		x.job, _, x.task = c.findTask(r.Absent[i].Task)
		runs = append(runs, x)
	}
	c.recordCrash(w, runs, now)
	return len(runs) > 0
}

// inferCrash records the crash of the current incarnation of w as far as this owner knows its
// runs: the agent, which sent r, does not tell. A run whose order the agent has not received
// cannot have started. It must be called before the runs are released.
func (c *Cell) inferCrash(w *workerRow, r *Report, now time.Time) {
	received := int64(0)
	if r.Epoch == c.epoch {
		received = r.Applied
	}
	var runs []crashedRun
	for _, t := range w.sortedTasks() {
		if t.orderSequence > received {
			continue
		}
		j, _, main := c.findTask(t.name.String())
		runs = append(runs, crashedRun{name: t.name, job: j, task: main, run: t.run, age: t.executed(), unsure: !t.running})
	}
	c.recordCrash(w, runs, now)
}

// recordCrash records the crash of a worker of w's agent under the given runs. It gives a job
// up if its tasks are certainly the cause. An earlier owner may have recorded the crash for
// some of the runs: they count as company of the others.
func (c *Cell) recordCrash(w *workerRow, runs []crashedRun, now time.Time) {
	runs = withoutOldRuns(runs)
	all, starting, jobs := len(runs), 0, map[string]bool{}
	for i := range runs {
		if r := &runs[i]; r.judge() {
			starting++
			jobs[r.name.Job] = true
		}
	}
	runs = slices.DeleteFunc(runs, func(r crashedRun) bool { return r.recorded })
	if len(runs) == 0 {
		return
	}
	c.events = append(c.events, Event{Kind: EventWorkerCrashed, Worker: w.ID, ReportAge: now.Sub(w.lastReport),
		Count: all, Starting: starting, StartingJobs: len(jobs)})
	for i := range runs {
		c.addCrash(&runs[i], w, len(jobs), now)
	}
	common := c.hasCommonCause(w, runs, now)
	c.updateAlert(runs, now)
	if len(jobs) == 1 && !common {
		c.giveUpOnlySuspect(w, runs, now)
	}
	for i := range runs {
		if r := &runs[i]; r.starting && r.task.crashesAtStart >= maxCrashes {
			c.giveUp(r, w, reasonManyCrashes, now)
		}
	}
}

// withoutOldRuns returns the runs up to maxBlameAge, or all if there are only older ones.
func withoutOldRuns(runs []crashedRun) []crashedRun {
	isOld := func(r crashedRun) bool { return r.age > maxBlameAge }
	if !slices.ContainsFunc(runs, func(r crashedRun) bool { return !isOld(r) }) {
		return runs
	}
	return slices.DeleteFunc(runs, isOld)
}

// addCrash adds the crash of w under r to those of its task. The given number of jobs had
// starting runs.
func (c *Cell) addCrash(r *crashedRun, w *workerRow, jobs int, now time.Time) {
	earlier := r.task.crashes
	if !r.starting {
		earlier = nil // the run outlasted the times of the earlier crashes
	}
	r.task.setCrashes(append(earlier, Crash{Run: r.run, Agent: w.agent, At: now, Age: r.age,
		Starting: r.starting, Unsure: r.unsure, Jobs: jobs}))
	r.job.dirty, r.job.urgent = true, true
	c.isolation.crashed[r.job.ID] = true
	c.logCrash(r, w)
}

// judge sets whether the crash was recorded under r before, or need not be. It sets and returns
// whether r was starting.
func (r *crashedRun) judge() bool {
	if r.task == nil {
		r.recorded, r.starting = true, r.age < startingTime
		return r.starting
	}
	known := slices.IndexFunc(r.task.crashes, func(x Crash) bool { return x.Run == r.run })
	if known >= 0 {
		r.recorded, r.starting = true, r.task.crashes[known].Starting
		return r.starting
	}
	r.recorded, r.starting = r.task.isDone(), r.age < r.task.startingTime()
	return r.starting
}

// recentCrash is the crash of a worker within the last startCrashTime.
type recentCrash struct {
	agent string
	at    time.Time
	runs  []crashedRun
	// atStart is true if a run certainly had started less than startCrashAge before.
	atStart bool
	// isolated is true if the worker was isolated. Several suspects may crash such workers
	// at about the same time.
	isolated bool
}

// countAgents returns how many agents have a recent crash for which f is true.
func (c *Cell) countAgents(f func(recentCrash) bool) int {
	agents := map[string]bool{}
	for _, x := range c.recentCrashes {
		if f(x) {
			agents[x.agent] = true
		}
	}
	return len(agents)
}

// hasCommonCause reports whether so many workers have crashed at about the same time as w that
// no task is the cause, and records that for their runs.
func (c *Cell) hasCommonCause(w *workerRow, runs []crashedRun, now time.Time) bool {
	atStart := slices.ContainsFunc(runs, func(r crashedRun) bool { return !r.unsure && r.age < startCrashAge })
	c.recentCrashes = append(slices.DeleteFunc(c.recentCrashes, func(x recentCrash) bool { return now.Sub(x.at) > startCrashTime }),
		recentCrash{w.agent, now, runs, atStart, w.isolated})
	isNear := func(x recentCrash) bool { return now.Sub(x.at) <= commonCauseTime }
	if c.countAgents(func(x recentCrash) bool { return isNear(x) && !x.isolated }) < max(minCommonCause, (c.workers.Len()+1)/2) {
		return false
	}
	for i := range c.recentCrashes {
		x := &c.recentCrashes[i]
		if !isNear(*x) {
			continue
		}
		x.atStart = false
		for _, r := range x.runs {
			r.clearBlame()
		}
	}
	return true
}

// clearBlame records that the crash under r had a common cause.
func (r *crashedRun) clearBlame() {
	for i := range r.task.crashes {
		if x := &r.task.crashes[i]; x.Run == r.run && !x.Common {
			x.Common = true
			r.task.setCrashes(r.task.crashes)
			r.job.dirty = true
		}
	}
}

// updateAlert begins or extends the alert if two workers have crashed under starting runs of
// one of the tasks.
func (c *Cell) updateAlert(runs []crashedRun, now time.Time) {
	for _, r := range runs {
		if r.task.crashesAtStart >= minCrashes {
			c.isolation.alertUntil = Later(c.isolation.alertUntil, now.Add(alertTime))
		}
	}
}

// isAlert reports whether some task probably crashes its workers.
func (c *Cell) isAlert(now time.Time) bool {
	return now.Before(c.isolation.alertUntil) ||
		c.countAgents(func(x recentCrash) bool { return x.atStart && now.Sub(x.at) <= startCrashTime }) >= minCrashes
}

// giveUpOnlySuspect gives up the job whose tasks alone were starting, if at least minCrashes
// workers have crashed under each of them.
func (c *Cell) giveUpOnlySuspect(w *workerRow, runs []crashedRun, now time.Time) {
	var suspect *crashedRun
	for i := range runs {
		r := &runs[i]
		if !r.starting {
			continue
		}
		// The crashes of one agent may be the fault of its VM.
		if r.task.agentsCrashedAtStart() < min(minCrashes, c.workers.Len()) || !r.task.crashesAlike() {
			return
		}
		suspect = r
	}
	if suspect != nil {
		c.giveUp(suspect, w, reasonOnlySuspect, now)
	}
}

// giveUp fails the job of a run that crashed its worker.
func (c *Cell) giveUp(r *crashedRun, w *workerRow, reason string, now time.Time) {
	if r.job.state.IsFinal() {
		return
	}
	c.events = append(c.events, Event{Kind: EventGivenUp, Task: r.name.String(), Run: r.run, Worker: w.ID, Reason: reason,
		Count: len(r.task.crashes)})
	c.endJob(r.job, Failed, now)
}

// exonerate forgets the crashes under t once a run of it has executed for longer than before any
// of them: a task that crashes its workers does so each time.
func (t *taskRow) exonerate(j *jobRow) {
	if m := t.main(); len(m.crashes) > 0 && t.executed() >= t.startingTime() {
		m.setCrashes(nil)
		j.dirty = true
	}
}

// logCrash logs the newest crash of a worker under the task of r.
func (c *Cell) logCrash(r *crashedRun, w *workerRow) {
	state := "running"
	if r.starting {
		state = "starting"
	}
	c.events = append(c.events, Event{Kind: EventRunCrashed, Task: r.name.String(), Run: r.run, Worker: w.ID,
		Reason: state, Elapsed: r.age, Count: len(r.task.crashes)})
}
