package job

import "time"

// Thresholds of probation.
const (
	// failuresBeforeProbation is the number of failed runs in a row after
	// which a worker is on probation and gets one task at a time. A queue may
	// fail a job at the second failed run of a task, so a failed task must not
	// be risked on the same worker again.
	failuresBeforeProbation = 2
	// probationBasePause is the first pause between two tasks of a worker on
	// probation. The pause doubles up to probationMaxPause.
	probationBasePause = 500 * time.Millisecond
	probationMaxPause  = 4 * time.Second
	// refusalPause is how long a worker gets no task after it refused one.
	refusalPause = 250 * time.Millisecond
)

// health tracks the failures of a worker.
type health struct {
	// failures counts the failed runs since the last success.
	failures int
	// pause is how long the worker gets no task after a failure on
	// probation; until is when the pause after a failure or a refusal ends.
	pause time.Duration
	until time.Time
	// stalls counts the stalled runs since the last success.
	stalls int
	// lastFailure is when a run last failed or stalled.
	lastFailure time.Time
}

// onProbation reports whether the worker gets only one task at a time.
func (h *health) onProbation() bool { return h.failures >= failuresBeforeProbation || h.stalls > 0 }

// acceptsTasks reports whether a worker may get another task. A worker on
// probation gets one task at a time. Long-running tasks that are ready do not
// count, as they would keep the worker on probation forever.
func (w *workerRow) acceptsTasks(now time.Time) bool {
	if now.Before(w.health.until) {
		return false
	}
	if !w.health.onProbation() {
		return true
	}
	for _, t := range w.tasks {
		if !t.isReady() {
			return false
		}
	}
	return true
}

// isReady reports whether t is a long-running task that has finished its
// startup.
func (t *taskRow) isReady() bool { return t.spec.LongRunning && t.running && t.percent >= fullPercent }

// minReadyTime is how long a long-running task must be ready before it counts
// as a success of its worker.
const minReadyTime = 2 * time.Second

// endProbationIfReady ends the worker's probation if t is a long-running task
// that was ordered after the last failure and has been ready for minReadyTime.
func (w *workerRow) endProbationIfReady(t *taskRow, now time.Time) {
	if w.health.onProbation() && t.isReady() && t.orderedAt.After(w.health.lastFailure) && now.Sub(t.lastProgress) >= minReadyTime {
		w.health.recordSuccess()
	}
}

func (h *health) recordFailure(now time.Time) {
	h.failures++
	h.lastFailure = now
	if h.onProbation() {
		h.extendPause(now)
	}
}

// recordStall records that a task made no progress.
func (h *health) recordStall(now time.Time) {
	h.stalls++
	h.lastFailure = now
	h.extendPause(now)
}

// extendPause doubles the pause between two tasks.
func (h *health) extendPause(now time.Time) {
	h.pause = min(max(2*h.pause, probationBasePause), probationMaxPause)
	h.until = Later(h.until, now.Add(h.pause))
}

func (h *health) recordRefusal(now time.Time) { h.until = Later(h.until, now.Add(refusalPause)) }

func (h *health) recordSuccess() { *h = health{} }

// updateHealth updates the health of a worker with the outcome of a run. The
// failure of a task that has failed on another worker before is not counted,
// as the task may be the cause.
func (c *Cell) updateHealth(w *workerRow, t *taskRow, outcome Outcome, now time.Time) {
	if !c.policy.learns {
		return
	}
	switch outcome {
	case EndDone:
		w.health.recordSuccess()
	case EndFailed:
		for _, id := range t.failedOn {
			if id != w.ID {
				return
			}
		}
		w.health.recordFailure(now)
		if w.health.onProbation() {
			c.logEvent(EventProbation, t, w, "failures", now)
		}
	}
}
