package job

import "time"

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Run int64 `json:"run"`
	// Agent is the agent of the worker.
	Agent string `json:"agent"`
	// Starting is true if the run had only just started.
	Starting bool `json:"starting,omitempty"`
}

// startingTime is how long a run counts as starting. A task that crashes its worker
// mostly does so as it starts, so a crash is blamed on the runs that are starting.
const startingTime = time.Second

// executed returns how long the current run of t had certainly been executing when its
// worker last answered.
func (t *taskRow) executed() time.Duration {
	if !t.running {
		return 0
	}
	return max(0, t.firstListed.Sub(t.orderedAt)) + t.worker.clock - t.listedClock
}

// isStarting reports whether the current run of t had only just started, or may not
// have started, when its worker last answered.
func (t *taskRow) isStarting() bool { return t.executed() < startingTime }

// receiveCrash records that the incarnation of w ended without a departure, as far as
// this owner knows its runs. It must be called before the runs are released.
func (c *Cell) receiveCrash(w *workerRow, now time.Time) {
	if w.left || w.Draining || len(w.tasks) == 0 {
		return
	}
	e := Event{Kind: EventWorkerCrashed, Worker: w.ID, ReportAge: now.Sub(w.lastReport), Count: len(w.tasks)}
	jobs := map[string]bool{}
	for _, run := range w.sortedTasks() {
		_, _, t := c.findTask(run.name.String())
		t.crashes = append(t.crashes, Crash{run.run, w.agent, run.isStarting()})
		if run.isStarting() {
			e.Starting++
			jobs[t.name.Job] = true
		}
		c.logCrash(t, w, run.executed())
	}
	e.StartingJobs = len(jobs)
	c.events = append(c.events, e)
}

// logCrash logs the newest crash of a worker under t.
func (c *Cell) logCrash(t *taskRow, w *workerRow, executed time.Duration) {
	x := t.crashes[len(t.crashes)-1]
	c.events = append(c.events, Event{Kind: EventRunCrashed, Task: t.name.String(), Run: x.Run, Worker: w.ID,
		Reason: crashState(x), Elapsed: executed, Count: len(t.crashes)})
}

// crashState returns the state of the run at the crash, for the log.
func crashState(x Crash) string {
	if x.Starting {
		return "starting"
	}
	return "running"
}
