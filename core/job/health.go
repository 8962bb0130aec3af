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
}

// suspect reports whether the worker gets one task at a time.
func (h *health) suspect() bool { return h.failures >= failuresBeforeProbation || h.stalls > 0 }

// usable reports whether a worker with n assigned tasks may get another.
func (h *health) usable(n int, now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.suspect() || n == 0
}

func (h *health) failed(now time.Time) {
	h.failures++
	if h.suspect() {
		h.pause = min(max(2*h.pause, probationBase), probationMax)
		h.until = now.Add(h.pause)
	}
}

// stalled notes that a task stood still. The pause doubles as with failures.
func (h *health) stalled(now time.Time) {
	h.stalls++
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
func (c *Cell) judge(w *workerRow, t *taskRow, how How, now time.Time) {
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
