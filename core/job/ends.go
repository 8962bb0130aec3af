package job

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// endedPrefix is the begin of the reasons of absent runs that have ended on a worker that is
// gone.
const endedPrefix = "ended-"

// EndedReason returns the reason of an AbsentRun that ended with an outcome on a worker that
// has left, is silent, or was replaced by its next incarnation. The agent alone knows such
// ends, and reports them until an owner has had time to make them durable.
func EndedReason(o Outcome) string { return endedPrefix + string(o) }

// end returns the outcome of a run that was reported with EndedReason.
func (a *AbsentRun) end() (o Outcome, ok bool) {
	s, ok := strings.CutPrefix(a.Reason, endedPrefix)
	return Outcome(s), ok
}

// toldByAgent reports whether a is a run of a worker that is gone, and thus not one that the
// present worker does not have.
func (a *AbsentRun) toldByAgent() bool {
	_, _, crashed := a.crash()
	_, ended := a.end()
	return crashed || ended
}

// countsEnd reports whether an end with outcome o changes what is durable of a task, whoever
// ran it. A long-running task is started again however it ends.
func (s *Step) countsEnd(o Outcome) bool { return !s.LongRunning && (o == EndDone || o == EndFailed) }

// SortEnds sorts ended runs by their numbers. A worker may list them in any order.
func SortEnds(ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.Number, b.Number) })
}

// receiveEnds processes the ended runs that w lists.
func (c *Cell) receiveEnds(w *workerRow, r *Report, now time.Time) {
	SortEnds(r.Ended)
	for i := range r.Ended {
		c.receiveEnd(w, &r.Ended[i], now)
	}
}

// receiveEnd processes an end of a run, unless it was processed before.
func (c *Cell) receiveEnd(w *workerRow, e *End, now time.Time) {
	if e.Number <= w.processedEnds {
		return
	}
	w.processedEnds, w.lastProgress = e.Number, now
	j, s, t := c.findReported(e.Task, now)
	if t == nil {
		w.pendingEnds = append(w.pendingEnds, pendingEnd{e.Number, "", now})
		return
	}
	w.pendingEnds = append(w.pendingEnds, pendingEnd{e.Number, j.ID, now})
	run := t.runOn(w, e.Run)
	surplus := run != nil && run.raced && t.isDone()
	c.applyEnd(w, j, s, t, e, now)
	if surplus && e.Outcome == EndFailed {
		return // a run that was stopped because another one was done says nothing about w
	}
	c.updateHealth(w, t, e.Outcome, now)
}

// receiveGoneEnds processes the ends of runs that the agent alone knows. Reports repeat them.
func (c *Cell) receiveGoneEnds(w *workerRow, r *Report, now time.Time) {
	for i := range r.Absent {
		a := &r.Absent[i]
		outcome, ok := a.end()
		if !ok {
			continue
		}
		j, s, t := c.findReported(a.Task, now)
		if t == nil || t.isDone() || slices.Contains(t.failedRuns, a.Run) {
			continue
		}
		if s.spec.countsEnd(outcome) || t.runOn(w, a.Run) != nil {
			c.applyEnd(w, j, s, t, &End{Task: a.Task, Run: a.Run, Outcome: outcome}, now)
		}
	}
}

// hasDurableEnds reports whether the ends that w has listed, and those of r, are durable.
func (c *Cell) hasDurableEnds(w *workerRow, r *Report) bool {
	c.acknowledgeEnds(w)
	return len(w.pendingEnds) == 0 && !slices.ContainsFunc(r.Absent, func(a AbsentRun) bool {
		_, ended := a.end()
		j, _, _ := c.findTask(a.Task)
		return ended && j != nil && (j.dirty || j.writing)
	})
}

// hasDurableGoneEnds reports whether r has ends of workers that are gone, all of which were
// applied and are durable.
func (c *Cell) hasDurableGoneEnds(r *Report) bool {
	found := false
	for i := range r.Absent {
		a := &r.Absent[i]
		outcome, ok := a.end()
		if !ok {
			continue
		}
		found = true
		if !c.keepsEnd(a, outcome) {
			return false
		}
	}
	return found
}

// keepsEnd reports whether the end of a run is durable, or means nothing. That of a job which
// is not known, as it may be known later, does not count as durable.
func (c *Cell) keepsEnd(a *AbsentRun, o Outcome) bool {
	j, s, t := c.findTask(a.Task)
	if j == nil {
		n, err := ParseTask(a.Task)
		return err == nil && c.endedJobs[n.Job]
	}
	if t == nil || j.dirty || j.writing {
		return false
	}
	return t.isDone() || slices.Contains(t.failedRuns, a.Run) || !s.spec.countsEnd(o)
}

// applyEnd applies the end e of a run of t on w.
func (c *Cell) applyEnd(w *workerRow, j *jobRow, s *stepRow, t *taskRow, e *End, now time.Time) {
	j.markStarted()
	run := t.runOn(w, e.Run)
	c.logEnd(t, run, w, e.Outcome, now)
	if e.Checkpoint != "" && !t.isDone() && t.takesCheckpoint(run) {
		t.checkpoint = e.Checkpoint
		j.dirty = true
	}
	if e.Outcome == EndDone && !t.isDone() {
		c.countDone(t, run, w, e.Run, now)
	}
	if run != nil {
		// The run time on a cold worker says nothing about later ones.
		if c.policy.learns && !w.wasColdSince(run.orderedAt) {
			c.runTimeRatios.observe(j, s, run, e.Outcome, c.rackFactor(s.spec, w), now)
		}
		c.logExtraWork(run, now)
		c.releaseTask(s, run)
	}
	switch e.Outcome {
	case EndDone:
		c.finishTask(j, s, t, now)
	case EndFailed:
		c.failTask(j, s, t, w, e.Run, now)
	}
}
