package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of isolation.
const (
	// isolationDivisor is the inverse of the share of the workers that may be isolated at a
	// time, an eighth, while the others have work. A crash takes a worker away for seconds, so
	// that more would slow down all other tasks. idleIsolationDivisor replaces it while less
	// than half of the processors are in use.
	isolationDivisor     = 8
	idleIsolationDivisor = 2
	// quietTime is how long the runs on an isolated worker that are not suspects must have
	// been executing when a suspect starts there.
	quietTime = time.Second
	// maxGroupSuspicion is the sum of suspicions up to which the tasks of several jobs start
	// together on an isolated worker. Most suspects are innocent; if the worker crashes, they
	// start again one job at a time.
	maxGroupSuspicion = 0.5
	// worthlessSuspectDelay is for how long the workers must not have been crowded when a
	// suspect starts whose result has no value any more. On the platform, such a job must
	// make progress within 3 s.
	worthlessSuspectDelay = time.Second
	// isolationInterval is the least time between two decisions, and maxIsolationAttempts the
	// number of steps that are compared with all workers in one. After a storm of crashes, a
	// hundred steps may wait while a thousand reports a second arrive.
	isolationInterval    = 20 * time.Millisecond
	maxIsolationAttempts = 4
)

// isolation is the state of the isolated workers. Tasks that may have crashed their workers
// are started on these alone, and those of one job at a time if they are likely to be the
// cause, so that a further crash tells which job it is. Other tasks do not start there
// meanwhile.
type isolation struct {
	// crashed are the live jobs with tasks under which workers have crashed.
	crashed map[string]bool
	// alertUntil is when the alert after the second crash under a task ends, and alert is
	// true if there is an alert at the current tick.
	alertUntil time.Time
	alert      bool
	workers    []*workerRow
	// crowdedAt is when the workers were crowded last.
	crowdedAt time.Time
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// skipped is the number of waiting steps for which the last decisions found no worker. The
	// next one begins after them.
	skipped int
	// waiting is the number of steps that waited for an isolated worker at the last tick.
	waiting int
}

// loadCrashes notes the crashes under the tasks of a job that an earlier owner recorded.
func (c *Cell) loadCrashes(j *jobRow, now time.Time) {
	for _, t := range j.tasks {
		if len(t.crashes) > 0 {
			c.isolation.crashed[j.ID] = true
			c.updateAlert([]crashedRun{{job: j, task: t}}, now)
		}
	}
}

// isSuspect reports whether t must start in isolation. The members of a gang start
// together, on several workers if need be, and are not isolated.
func (t *taskRow) isSuspect(s *Step, alert bool) bool {
	if len(t.crashes) == 0 || s.Gang {
		return false
	}
	least := minCrashes
	if alert {
		least = 1
	}
	return t.crashesAtStart >= least
}

// suspectStep is a candidate with waiting tasks that are suspects.
type suspectStep struct {
	*candidate
	tasks     []*taskRow
	suspicion float64
	// agents are those whose workers have crashed under the tasks.
	agents map[string]bool
}

// suspectSteps returns the candidates with waiting suspects, the least suspicious first: most
// of them are innocent, and pass quickly. Those that are too late to have a value are last.
func (c *Cell) suspectSteps(all []candidate, now time.Time) []suspectStep {
	var out []suspectStep
	if isCrowded(c.freeProcessors()) {
		c.isolation.crowdedAt = now
	}
	idle := now.Sub(c.isolation.crowdedAt) >= worthlessSuspectDelay
	for i := range all {
		k := &all[i]
		// The next crash would take a worker from jobs whose results have a value.
		if !c.isolation.crashed[k.job.ID] || !idle && k.timeliness == tooLate {
			continue
		}
		if x := c.suspectsOf(k, now); len(x.tasks) > 0 {
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b suspectStep) int {
		return cmp.Or(cmp.Compare(boolRank(a.timeliness == tooLate), boolRank(b.timeliness == tooLate)), cmp.Compare(a.suspicion, b.suspicion))
	})
	return out
}

// suspectsOf returns the waiting tasks of a candidate that are suspects.
func (c *Cell) suspectsOf(k *candidate, now time.Time) suspectStep {
	x := suspectStep{candidate: k, agents: map[string]bool{}}
	for n := range k.step.tasks {
		t := &k.step.tasks[n]
		if t.state == taskWaiting && !now.Before(t.notBefore) && t.isSuspect(k.step.spec, c.isolation.alert) {
			x.tasks = append(x.tasks, t)
			x.suspicion = max(x.suspicion, t.suspicion())
			for _, y := range t.crashes {
				x.agents[y.Agent] = true
			}
		}
	}
	return x
}

// placeSuspects starts suspects on isolated workers. It isolates further workers while
// suspects wait, and ends the isolation of those that no suspect needs.
func (c *Cell) placeSuspects(all []candidate, now time.Time) {
	i := &c.isolation
	if len(i.crashed) == 0 && len(i.workers) == 0 || now.Sub(i.decidedAt) < isolationInterval {
		return
	}
	i.decidedAt = now
	i.alert = c.isAlert(now)
	waiting := c.suspectSteps(all, now)
	i.waiting = len(waiting)
	for _, w := range slices.Clone(i.workers) {
		if c.workers.Get(w.agent) != w || w.ended || w.left || w.Draining || !c.evacuations.allowsStarts(w.Zone) {
			c.endIsolation(w, now)
			continue
		}
		if !c.isQuiet(w) {
			continue
		}
		rest, started := c.startSuspects(w, waiting, now)
		if !started {
			c.endIsolation(w, now)
		}
		waiting = rest
	}
	if i.skipped >= len(waiting) {
		i.skipped = 0
	}
	waiting = waiting[i.skipped:]
	for attempts := 0; attempts < maxIsolationAttempts && len(waiting) > 0 && len(i.workers) < c.maxIsolated(now); attempts++ {
		w := c.chooseIsolated(&waiting[0], now)
		if w == nil {
			waiting = waiting[1:]
			i.skipped++
			continue
		}
		c.beginIsolation(w, now)
		if c.isQuiet(w) {
			waiting, _ = c.startSuspects(w, waiting, now)
		} else {
			waiting = waiting[1:] // the worker is for this step once its other runs have passed
		}
	}
}

// startSuspects starts the suspects of waiting steps on the isolated worker w: those of the
// first step that may run there, and of further ones if all are unlikely to crash it. It
// returns the other steps, and whether any run was started.
func (c *Cell) startSuspects(w *workerRow, waiting []suspectStep, now time.Time) (rest []suspectStep, started bool) {
	sum := 0.0
	for i := range waiting {
		x := &waiting[i]
		if !started || sum+x.suspicion <= maxGroupSuspicion && !x.hasRepeatedCrash() {
			if c.startSuspectStep(w, x, now) {
				started = true
				sum += x.suspicion
				if x.hasRepeatedCrash() {
					sum = 1
				}
				continue
			}
		}
		rest = append(rest, *x)
	}
	return rest, started
}

// startSuspectStep starts the suspects of x on w as far as there is room. It reports whether
// it started any.
func (c *Cell) startSuspectStep(w *workerRow, x *suspectStep, now time.Time) bool {
	if !c.mayIsolate(w, x, now) || !x.hasTicket(w, now) {
		return false
	}
	started := false
	for _, t := range x.tasks {
		if !w.hasRoom(x.step.spec, x.roomPriority()) || !w.allowsAnother(x.step.spec, t.name) || !w.acceptsTasks(now) {
			break
		}
		c.startTask(x.job, x.step, t, w, now)
		c.recordStart(x.candidate)
		started = true
	}
	return started
}

// hasRepeatedCrash reports whether two workers have crashed under a task of x as it started.
func (x *suspectStep) hasRepeatedCrash() bool {
	return slices.ContainsFunc(x.tasks, func(t *taskRow) bool { return t.crashesAtStart >= minCrashes })
}

// mayIsolate reports whether the tasks of x may run isolated on w. A further crash of an agent
// that has crashed under them would prove nothing, so w is not used if another one can be.
func (c *Cell) mayIsolate(w *workerRow, x *suspectStep, now time.Time) bool {
	if !c.mayRun(w, x.candidate, now) {
		return false
	}
	if !x.agents[w.agent] {
		return true
	}
	for _, o := range c.workers.All {
		if !x.agents[o.agent] && c.mayRun(o, x.candidate, now) {
			return false
		}
	}
	return true
}

func (c *Cell) beginIsolation(w *workerRow, now time.Time) {
	w.isolated = true
	c.isolation.workers = append(c.isolation.workers, w)
	c.logIsolation(EventIsolationBegan, w, now)
}

func (c *Cell) endIsolation(w *workerRow, now time.Time) {
	w.isolated = false
	c.isolation.workers = slices.DeleteFunc(c.isolation.workers, func(o *workerRow) bool { return o == w })
	c.markChanged(w)
	c.logIsolation(EventIsolationEnded, w, now)
}

func (c *Cell) logIsolation(k EventKind, w *workerRow, now time.Time) {
	c.events = append(c.events, Event{Kind: k, Worker: w.ID, Count: c.isolation.waiting, ReportAge: now.Sub(w.lastReport)})
}

// maxIsolated returns how many workers may be isolated.
func (c *Cell) maxIsolated(now time.Time) int {
	usable, used, capacity := 0, 0, 0
	for _, w := range c.workers.All {
		if w.hasRecentReport(now) {
			usable++
			used += w.used.Processors + w.bestEffortProcessors
			capacity += w.Capacity.Processors
		}
	}
	if 2*used < capacity {
		return max(1, usable/idleIsolationDivisor)
	}
	return max(1, usable/isolationDivisor)
}

// isQuiet reports whether no run on w is starting, so that a crash of w would be blamed on
// the next start alone.
func (c *Cell) isQuiet(w *workerRow) bool {
	for _, t := range w.tasks {
		d := t.startingTime()
		if !t.main().isSuspect(t.spec, c.isolation.alert) {
			d = quietTime
		}
		if t.executed() < d {
			return false
		}
	}
	return true
}

// chooseIsolated returns the worker to isolate for a step: of those that have room for one
// of its tasks and the ticket that it requires, the one with the least work to lose in a crash.
// It returns nil if there is none.
func (c *Cell) chooseIsolated(x *suspectStep, now time.Time) *workerRow {
	var best *workerRow
	work := func(w *workerRow) int { return w.used.Processors + w.bestEffortProcessors }
	for _, w := range c.workers.All {
		if w.isolated || !c.mayIsolate(w, x, now) || !x.hasTicket(w, now) || !w.hasRoom(x.step.spec, x.roomPriority()) {
			continue
		}
		if best == nil || work(w) < work(best) {
			best = w
		}
	}
	return best
}
