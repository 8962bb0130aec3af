package job

import "time"

// Thresholds of probation.
const (
	// failuresBeforeProbation is how many runs in a row fail before a worker
	// gets one task at a time: a queue allows two failed runs of a task, so
	// the second one must not be risked on the same worker.
	failuresBeforeProbation = 2
	// probationBase is the first pause between two tasks of a worker on
	// probation; it doubles up to probationMax.
	probationBase = 500 * time.Millisecond
	probationMax  = 4 * time.Second
	// refusalPause keeps new tasks off a worker after it refused one.
	refusalPause = 250 * time.Millisecond
)

// health is what the ends of runs say about a worker.
type health struct {
	// failures counts the failed runs since the last success.
	failures int
	// pause is how long the worker gets no task after a failure on
	// probation; until is when that ends.
	pause time.Duration
	until time.Time
	// stalls counts the runs that stood still since the last success.
	stalls int
	// at is when a run last failed or stood still.
	at time.Time
}

// suspect reports whether the worker gets one task at a time.
func (h *health) suspect() bool { return h.failures >= failuresBeforeProbation || h.stalls > 0 }

// open reports whether a worker may get another task. One on probation gets
// one at a time; lasting tasks that are at work do not count, as they would
// keep the worker on probation for good.
func (w *workerRow) open(now time.Time) bool {
	if now.Before(w.health.until) {
		return false
	}
	if !w.health.suspect() {
		return true
	}
	for _, t := range w.tasks {
		if !t.serving() {
			return false
		}
	}
	return true
}

// serving reports whether t is a lasting task at work.
func (t *taskRow) serving() bool { return t.spec.LongRunning && t.running && t.percent >= fullPercent }

// trialTime is how long a lasting task is at work before it counts as a
// success of its worker.
const trialTime = 2 * time.Second

// vouch ends the worker's probation once a lasting task that started after the
// last failure has been at work for a while.
func (w *workerRow) vouch(t *taskRow, now time.Time) {
	if w.health.suspect() && t.serving() && t.ordered.After(w.health.at) && now.Sub(t.moved) >= trialTime {
		w.health.succeeded()
	}
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.at = now
	if h.suspect() {
		h.lengthen(now)
	}
}

// stalled notes that a task stood still.
func (h *health) stalled(now time.Time) {
	h.stalls++
	h.at = now
	h.lengthen(now)
}

// lengthen doubles the pause between two tasks.
func (h *health) lengthen(now time.Time) {
	h.pause = min(max(2*h.pause, probationBase), probationMax)
	h.until = later(h.until, now.Add(h.pause))
}

func (h *health) refused(now time.Time) { h.until = later(h.until, now.Add(refusalPause)) }

func (h *health) succeeded() { *h = health{} }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge takes the end of a run as evidence about its worker. A task that has
// failed elsewhere before says nothing about the worker.
func (c *Cell) judge(w *workerRow, t *taskRow, how Outcome, now time.Time) {
	if !c.policy.learns {
		return
	}
	switch how {
	case EndDone:
		w.health.succeeded()
	case EndFailed:
		for _, id := range t.failedOn {
			if id != w.ID {
				return
			}
		}
		w.health.failed(now)
		if w.health.suspect() {
			c.note(EventProbation, t, w, "failures", now)
		}
	}
}
