package job

import (
	"slices"
	"time"
)

// A copy is a second run of a task on another worker. It has a task row of its own,
// which only the worker's map of tasks and taskRow.copy hold, so that reserving room,
// ordering, listing and releasing work as for any run. If the run of the task's own row
// ends first without success, the copy takes over that row. A task therefore waits only
// if none of its runs may be executing.

// copies is the state of the copies of tasks.
type copies struct {
	enabled bool
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// exhausted are tasks that may have reached the maximum of failed runs of their
	// queue while another run was active, or under an earlier owner.
	exhausted map[Task]bool
}

// copyRace is a task of which a copy was started, until it is known which run counts.
type copyRace struct {
	// copyRun is the run number of the copy.
	copyRun int64
	reason  copyReason
}

// Outcomes of a copy, for EventCopyEnded.
const (
	copyWon = "won"
	// copyLost means that another run counts, or that the job ended.
	copyLost = "lost"
	// copyFailed means that the copy ended without success before any run counted.
	copyFailed = "failed"
)

// Reasons for the start of a copy, and for stopping a start of a task that has reached the
// maximum of failed runs.
const (
	reasonCopy      = "copy"
	reasonExhausted = "failures"
)

// WithCopies lets the tasks of steps with Speculative have a copy.
func WithCopies() Option {
	return func(c *Cell) { c.copies = copies{enabled: true, exhausted: map[Task]bool{}} }
}

// mayCopy reports whether the tasks of a step may have copies at all. The members of a
// gang run together, a long-running task has no end, and a ticket is for one start.
func (c *Cell) mayCopy(j *jobRow, s *Step) bool {
	if !c.copies.enabled || !s.Speculative || s.Gang || s.LongRunning {
		return false
	}
	q := c.queueOf(j)
	return q != nil && !q.RequiresTicket
}

// runOn returns the row of a run that is assigned to w: that of the task or that of its
// copy. It returns nil if the run is neither.
func (t *taskRow) runOn(w *workerRow, run int64) *taskRow {
	for _, r := range [...]*taskRow{t, t.copy} {
		if r != nil && r.state == taskAssigned && r.worker == w && r.run == run {
			return r
		}
	}
	return nil
}

// hasOtherRun reports whether a second run of the task is active beside that of row t.
func (t *taskRow) hasOtherRun() bool { return t.copy != nil || t.original != nil }

// isExtra reports whether the run of row t is one too many: a copy, or the run that is
// left after another one was the first to end as done.
func (t *taskRow) isExtra() bool { return t.original != nil || t.raced && t.succeeded }

// newCopy returns the row of a copy of t, which continues from its checkpoint.
func (t *taskRow) newCopy() *taskRow {
	t.copies++
	t.copy = &taskRow{name: t.name, state: taskAssigned, original: t, ticket: t.ticket,
		checkpoint: t.checkpoint, checkpointAt: t.checkpointAt, checkpointPercent: t.checkpointPercent}
	return t.copy
}

// startCopy starts a copy of t on w.
func (c *Cell) startCopy(k *candidate, t *taskRow, w *workerRow, reason copyReason, gain time.Duration, now time.Time) {
	t.starts++
	x := t.newCopy()
	c.recordRun(k.step, x, w, c.runNumber(t.starts), now)
	w.enqueueStart(k.job, k.step, x, now)
	t.raced, x.raced, t.race = true, true, &copyRace{x.run, reason}
	c.logEvent(EventStart, x, w, reasonCopy, now)
	c.events = append(c.events, Event{Kind: EventCopyStarted, Task: t.name.String(), Run: x.run, Worker: w.ID,
		OtherWorker: t.worker.ID, Reason: string(reason), Gain: gain})
}

// adoptsCopy reports whether a run that w lists is a second run of t that an earlier
// owner started, beside the one that this owner has adopted.
func (c *Cell) adoptsCopy(j *jobRow, s *stepRow, t *taskRow, w *workerRow, run int64) bool {
	earlier := func(run int64) bool { return run <= c.runNumber(0) }
	return c.mayCopy(j, s.spec) && !j.state.IsFinal() && !j.acceptedThisEpoch && t.state == taskAssigned && !t.succeeded &&
		t.copy == nil && t.worker != w && t.orderSequence == 0 && earlier(t.run) && earlier(run)
}

// adoptCopy records a second run of t on w that an earlier owner started.
func (c *Cell) adoptCopy(j *jobRow, s *stepRow, t *taskRow, w *workerRow, r *Run, now time.Time) {
	x := t.newCopy()
	c.recordRun(s, x, w, r.Run, now)
	w.recordSentStart(x, now)
	c.shares.adopt(j, s.spec)
	x.partial = true
	t.raced, x.raced, t.race = true, true, &copyRace{copyRun: max(t.run, x.run)}
	c.observeRun(j, s, x, r, now)
	c.logEvent(EventStart, x, w, "adopted", now)
}

// releaseRaced completes the release of a run of a task that has, or had, a second one:
// row t is free of its worker already. It reports whether the other run goes on, so
// that the task does not wait.
func (c *Cell) releaseRaced(t *taskRow) bool {
	if x := t.original; x != nil {
		x.copy = nil
		t.state = taskDone
		if !t.counted && !x.isDone() {
			c.endRace(x, nil, 0, copyFailed)
		}
		return true
	}
	if t.copy != nil {
		t.takeOver()
		return true
	}
	if t.race != nil && !t.isDone() {
		c.endRace(t, nil, 0, copyFailed)
	}
	return false
}

// takeOver makes the run of the copy that of the task's own row.
func (t *taskRow) takeOver() {
	old, x := *t, t.copy
	*t = *x
	t.original, t.copy = nil, nil
	t.starts, t.copies, t.race = old.starts, old.copies, old.race
	t.failedRuns, t.failedOn = old.failedRuns, old.failedOn
	t.succeeded, t.notBefore, t.runTime = old.succeeded, old.notBefore, old.runTime
	t.speed.migrations = max(old.speed.migrations, x.speed.migrations)
	t.speed.slowMoves = max(old.speed.slowMoves, x.speed.slowMoves)
	if old.checkpoint != "" && (x.checkpoint == "" || old.percent >= x.percent) {
		t.checkpoint, t.checkpointAt, t.checkpointPercent = old.checkpoint, old.checkpointAt, old.checkpointPercent
	}
	t.worker.tasks[t.name] = t
}

// takesCheckpoint reports whether the task continues from the checkpoint at the end of
// a run, whose row is r or nil. Of two runs, the checkpoint of the one that got further
// is kept.
func (t *taskRow) takesCheckpoint(r *taskRow) bool {
	if r == nil || t.copy == nil {
		return true
	}
	return r.percent >= max(t.percent, t.copy.percent)
}

// logEnd logs the end of a run on w. r is the row of the run, or nil if it was no longer
// assigned.
func (c *Cell) logEnd(t, r *taskRow, w *workerRow, outcome Outcome, now time.Time) {
	if r == nil {
		r = t
	}
	c.logEvent(EventEnd, r, w, string(outcome), now)
}

// logExtraWork records the work of a run that ends without counting although its task
// had two runs.
func (c *Cell) logExtraWork(t *taskRow, now time.Time) {
	if !t.raced || t.counted {
		return
	}
	work := now.Sub(t.orderedAt).Seconds() * float64(t.spec.Need.Processors) / processorUnit
	c.events = append(c.events, Event{Kind: EventExtraWork, Task: t.name.String(), Run: t.run, LostWork: work})
}

// countDone records that the run of t with the given number was the first to end as done.
// r is its row, or nil if it was no longer assigned.
func (c *Cell) countDone(t, r *taskRow, w *workerRow, run int64, now time.Time) {
	if r != nil {
		r.counted = true
		t.runTime = now.Sub(r.orderedAt)
		if r.partial {
			t.runTime = 0
		}
	}
	if t.race == nil {
		return
	}
	outcome := copyLost
	if run == t.race.copyRun {
		outcome = copyWon
	}
	c.endRace(t, w, run, outcome)
}

// endRace records the outcome of the copy of t. Run is the one that counts, on w, or 0.
func (c *Cell) endRace(t *taskRow, w *workerRow, run int64, outcome string) {
	if t.race == nil {
		return
	}
	e := Event{Kind: EventCopyEnded, Task: t.name.String(), Run: run, Reason: outcome}
	if w != nil {
		e.Worker = w.ID
	}
	t.race = nil
	c.events = append(c.events, e)
}

// stopCopy stops the copy of t, if there is one.
func (c *Cell) stopCopy(t *taskRow, reason string, now time.Time) {
	if t.copy != nil {
		c.stopTask(t.copy, reason, now)
	}
}

// waitsForOtherRun reports whether the outcome of a job, of which t has reached the
// maximum of failed runs, waits for a run of t that is still active. A run that no list
// has yet is stopped: its start may still be on its way, and the task must not start again.
func (c *Cell) waitsForOtherRun(j *jobRow, s *stepRow, t *taskRow, now time.Time) bool {
	if !c.mayCopy(j, s.spec) || t.state != taskAssigned {
		return false
	}
	c.copies.exhausted[t.name] = true
	for _, r := range [...]*taskRow{t, t.copy} {
		if r != nil && !r.running {
			c.stopTask(r, reasonExhausted, now)
		}
	}
	return true
}

// loadExhausted notes the loaded tasks with failed runs: their job may wait for a run
// that is still active.
func (c *Cell) loadExhausted(j *jobRow) {
	if !c.copies.enabled {
		return
	}
	for s, t := range j.tasks {
		if s.spec.Speculative && len(t.failedRuns) > 0 && !t.isDone() {
			c.copies.exhausted[t.name] = true
		}
	}
}

// isExhausted reports whether the task has reached the maximum of failed runs.
func (q *Queue) isExhausted(t *taskRow) bool {
	return q.MaxFailures > 0 && len(t.failedRuns) >= q.MaxFailures
}

// isLastRun reports whether t has reached the maximum of failed runs, so that its job fails
// unless this run succeeds.
func (c *Cell) isLastRun(t *taskRow) bool {
	if !c.copies.exhausted[t.name] {
		return false
	}
	if t.original != nil {
		t = t.original
	}
	q := c.queueOf(c.jobs.Get(t.name.Job))
	return q != nil && q.isExhausted(t)
}

// failExhausted fails the jobs whose outcome waited for a run that has ended without
// success. It comes before placement, so that no further run starts.
func (c *Cell) failExhausted(now time.Time) {
	if len(c.copies.exhausted) == 0 {
		return
	}
	names := make([]Task, 0, len(c.copies.exhausted))
	for name := range c.copies.exhausted {
		names = append(names, name)
	}
	slices.SortFunc(names, compareTasks)
	resolved := c.priorRunsResolved(now)
	for _, name := range names {
		j := c.jobs.Get(name.Job)
		if j == nil || j.state.IsFinal() {
			delete(c.copies.exhausted, name)
			continue
		}
		s, t := j.task(name)
		if t == nil || t.isDone() {
			delete(c.copies.exhausted, name)
			continue
		}
		if t.state != taskWaiting || !resolved && !j.acceptedThisEpoch {
			continue
		}
		delete(c.copies.exhausted, name)
		if c.mayCopy(j, s.spec) && c.queueOf(j).isExhausted(t) {
			c.endJob(j, Failed, now)
		}
	}
}
