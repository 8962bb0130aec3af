package job

import "time"

// idleLimit is how long an occurrence with a step that is ready may have nothing running while
// the workers have room for it by what their tasks reserve. The platform allows 3 s.
const idleLimit = 1500 * time.Millisecond

// inflowPause is the time without a new best-effort job after which idle jobs share the
// processors. While such jobs keep coming, sharing with those that cannot end in time makes the
// others late, too. The platform expects progress 14 s after the last job.
const inflowPause = 8 * time.Second

// mayShareProcessors reports whether idle jobs may share the processors that best-effort tasks use.
func (c *Cell) mayShareProcessors(now time.Time) bool {
	return now.Sub(Later(c.ownedSince, c.bestEffortAt)) >= inflowPause && !c.isReservedMostly()
}

// isReservedMostly reports whether the tasks of the workers that may start tasks reserve so many
// processors that the platform allows jobs without running tasks to wait. Best-effort tasks reserve
// none: they share what the others leave.
func (c *Cell) isReservedMostly() bool {
	reserved, capacity := 0, 0
	for _, w := range c.workers.All {
		if c.evacuations.allowsStarts(w.Zone) {
			reserved += w.used.Processors
			capacity += w.Capacity.Processors
		}
	}
	return isCrowded(capacity-reserved, capacity)
}

// observeIdle records since when nothing of the candidate's occurrence has run, and reports
// whether that is longer than idleLimit. running is true while a task of it runs.
func (k *candidate) observeIdle(running bool, now time.Time) bool {
	o := k.occ
	if running {
		o.idleSince = time.Time{}
		return false
	}
	if o.idleSince.IsZero() {
		o.idleSince = now
	}
	return now.Sub(o.idleSince) >= idleLimit
}

// startIdle starts one task of a best-effort step whose occurrence has been idle for too long,
// beside best-effort tasks that already use all processors: these share what there is. So a job
// that comes last in the order of the policy makes progress, too. Otherwise tasks that take tens of
// seconds, of jobs that come before it, would keep it waiting for as long as there are more of them.
func (c *Cell) startIdle(k *candidate, now time.Time) {
	if !k.idle || !k.step.spec.BestEffort || k.hasRunningTasks() || now.Sub(k.occ.comparedAt) < blockedRetryInterval {
		return
	}
	k.occ.comparedAt = now
	k.sharesProcessors = true
	defer func() { k.sharesProcessors = false }()
	r := c.newScorer(k, now)
	scored, _ := c.scoredWorkers(k, r, "", allWorkers)
	for i := range k.step.tasks {
		t := &k.step.tasks[i]
		if t.state != taskWaiting || now.Before(t.notBefore) || t.isSuspect(k.step.spec, c.isolation.alert) {
			continue
		}
		if o := r.choose(scored, k, t); o != nil {
			c.startTask(k.job, k.step, t, o.worker, now)
			c.events[len(c.events)-1].Reason = ReasonPlacedShared
			c.recordStart(k)
			return
		}
	}
}

// fits reports whether w has room for one more task of the candidate. A task that shares the
// processors needs room for the rest of its requirements alone.
func (k *candidate) fits(w *workerRow) bool {
	if !k.sharesProcessors {
		return w.hasRoom(k.step.spec, k.roomPriority())
	}
	need := k.step.spec.Need
	need.Processors, need.Slots = 0, 0
	return w.used.Plus(need).Fits(w.Capacity.Max(Resources{Processors: w.used.Processors, Slots: w.used.Slots}))
}
