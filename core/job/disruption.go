package job

import "time"

// adoptedStopTime is how long a run of an earlier owner must have been listed before it
// counts as available. Until then, a stop that the earlier owner ordered may still take
// effect: on the platform, a stop takes up to 400 ms, and reports are 500 ms apart.
const adoptedStopTime = 2 * time.Second

// mayStop reports whether the cell may stop t for a reason of its own, such as a slow
// worker. A cancellation, or a run that is no longer on its worker, needs no
// permission.
func (c *Cell) mayStop(t *taskRow, now time.Time) bool {
	if c.isLastRun(t) {
		return false
	}
	if !t.isReady() {
		return true
	}
	s, _ := c.jobs.Get(t.name.Job).task(t.name)
	return s.allowsDisruption(t, now)
}

// allowsDisruption reports whether t may become unavailable: of the other tasks of the
// step, fewer than MaxUnavailable are unavailable, whatever the cause. One task at a
// time may be unavailable in any case, as no task could ever be moved otherwise.
func (s *stepRow) allowsDisruption(t *taskRow, now time.Time) bool {
	limit := max(s.spec.MaxUnavailable, 1)
	for i := range s.tasks {
		if other := &s.tasks[i]; other != t && !other.isAvailable(now) {
			limit--
		}
	}
	return limit > 0
}

// isAvailable reports whether t certainly is a long-running task that is ready and not
// about to stop. A new owner counts a task as unavailable until its worker has listed
// it for adoptedStopTime.
func (t *taskRow) isAvailable(now time.Time) bool {
	if t.state != taskAssigned || t.stopping || !t.isReady() {
		return false
	}
	adopted := t.orderSequence == 0
	return t.worker.hasRecentReport(now) && now.Sub(t.lastListed) <= maxReportAge &&
		(!adopted || now.Sub(t.firstListed) >= adoptedStopTime)
}
