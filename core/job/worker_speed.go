package job

import "time"

// Parameters of the worker speed estimate.
const (
	// workerSpeedWeight is the weight of a new sample in the moving average.
	// About twelve samples count, which a busy worker gives in half a second.
	workerSpeedWeight = 0.08
	// minSpeedSamples is the number of samples before a worker may count as
	// slow.
	minSpeedSamples = 8
	// slowSpeed is the speed below which a worker counts as slow, as a share of
	// the speed expected from estimates and earlier runs.
	slowSpeed = 0.45
	// minSpeedSampleTime is how long a task must have run for a sample.
	minSpeedSampleTime = 300 * time.Millisecond
)

// workerSpeed is the moving average of the speed of a worker; 1 is the expected
// speed.
type workerSpeed struct {
	average float64
	samples int
}

func (s *workerSpeed) observe(speed float64) {
	if s.samples == 0 {
		s.average = 1
	}
	s.samples++
	// The limit of 2 bounds the effect of one sample on the average.
	s.average += workerSpeedWeight * (min(speed, 2) - s.average)
}

func (s *workerSpeed) isSlow() bool { return s.samples >= minSpeedSamples && s.average < slowSpeed }

// observeWorkerSpeed adds the progress of a task as a sample of its worker's
// speed. Best-effort tasks are no measure of a worker, since they only get the
// processors that other tasks leave unused.
func (c *Cell) observeWorkerSpeed(j *jobRow, s *stepRow, t *taskRow, now time.Time) {
	elapsed := now.Sub(t.firstListed)
	if !c.policy.learns || s.spec.BestEffort || s.spec.LongRunning || s.spec.Gang || elapsed < minSpeedSampleTime {
		return
	}
	estimate := times(c.runTimeRatios.estimate(j, s), c.rackFactor(s.spec, t.worker))
	if estimate <= 0 {
		return
	}
	done := time.Duration(t.percent-t.firstPercent) * estimate / fullPercent
	speed := float64(done) / float64(elapsed)
	if w := t.worker; w.wasColdSince(t.firstListed) {
		if w.isCold(now) {
			c.coldSpeed.observe(speed)
		}
		return
	}
	t.worker.speed.observe(speed)
}

// Limits for moving tasks to other workers.
const (
	// stallLimit is how long a task may make no progress; agents report every
	// 500 ms.
	stallLimit = 1400 * time.Millisecond
	// startupLimit is how long a long-running task may take to become ready;
	// a normal startup takes some hundred milliseconds.
	startupLimit = 4 * time.Second
	// minMoveRatio is how many times longer a task must take on its current
	// worker than on another one, restart included.
	minMoveRatio = 1.5
	// restoreTime is how long a start on another worker takes before the task
	// makes progress again.
	restoreTime = 300 * time.Millisecond
	// maxSlowMoves limits how often a task is moved off slow workers. The speed of a worker
	// is measured against estimates: if these are too short by several times, each worker
	// looks slow in turn, and without a limit a task moved 28 times between two of them. In
	// the load slow-workers, where workers are really slow, tasks gain by up to five moves.
	maxSlowMoves = 5
)

// moveStuckTasks moves stalled and slow tasks to other workers. It serves
// deployments where a few workers are slow or hang while others have room.
func (c *Cell) moveStuckTasks(now time.Time) {
	for _, w := range c.workers.All {
		if !w.hasRecentReport(now) {
			continue
		}
		for _, t := range w.sortedTasks() {
			if reason := c.moveReason(w, t, now); reason != "" && c.mayStop(t, now) {
				switch reason {
				case reasonStalled:
					w.health.recordStall(now)
				case reasonSlow:
					t.speed.slowMoves++
				}
				c.stopTask(t, reason, now)
			}
		}
	}
}

// Reasons for moving a task.
const (
	reasonStalled = "stalled"
	reasonSlow    = "slow-worker"
)

// moveCandidate returns the candidate by which a running task would be placed
// on another worker, and whether the task can be moved.
func (c *Cell) moveCandidate(t *taskRow) (k candidate, ok bool) {
	j := c.jobs.Get(t.name.Job)
	s, _ := j.task(t.name)
	q := c.queueOf(j)
	if t.stopping || !t.running || s.spec.Gang || q == nil {
		return candidate{}, false
	}
	return candidate{job: j, occ: j.occurrence(t.name.Occurrence), step: s, number: t.name.Step, queue: q}, true
}

// moveReason returns the reason for moving a task to another worker, or "". A task
// counts as stalled only by what its worker listed: an agent that is silent tells
// nothing about the progress.
func (c *Cell) moveReason(w *workerRow, t *taskRow, now time.Time) string {
	k, ok := c.moveCandidate(t)
	if !ok {
		return ""
	}
	j, s := k.job, k.step
	switch {
	case s.spec.LongRunning:
		if t.percent < fullPercent && t.lastListed.Sub(Later(t.orderedAt, w.coldUntil)) > startupLimit && c.hasRoomElsewhere(w, &k, t, false, now) {
			return reasonStalled
		}
	case t.lastListed.Sub(Later(t.lastProgress, w.coldUntil)) > stallLimit && t.lastListed.Sub(w.lastProgress) > stallLimit && !t.throttled:
		if c.hasRoomElsewhere(w, &k, t, false, now) {
			return reasonStalled
		}
	case t.hasOtherRun():
		// The other run goes on already where the task would be moved to.
	case w.speed.isSlow() && !s.spec.BestEffort && t.speed.slowMoves < maxSlowMoves:
		estimate := c.runTimeRatios.estimate(j, s)
		remaining := float64(fullPercent-t.percent) / fullPercent * float64(estimate)
		elsewhere := float64(estimate)
		if s.spec.Checkpoints && t.checkpoint != "" {
			elsewhere = remaining
		}
		// The average may be close to 0, so at least 0.05 is assumed.
		if remaining/max(w.speed.average, 0.05) > minMoveRatio*(elsewhere+float64(restoreTime)) && c.hasRoomElsewhere(w, &k, t, false, now) {
			return reasonSlow
		}
	}
	return ""
}

// hasRoomElsewhere reports whether a usable worker other than w has room for t
// and is not slow. If withoutInterference is true, t must not interfere with
// serving tasks there. If t requires a ticket, the advisor must allow that worker: it is asked
// about those of which this is not known.
func (c *Cell) hasRoomElsewhere(w *workerRow, k *candidate, t *taskRow, withoutInterference bool, now time.Time) bool {
	r := c.newScorer(k, now)
	suits := func(other *workerRow) bool {
		if other == w || other.speed.isSlow() || !other.hasRoom(k.step.spec, k.queue.Priority) || !c.isUsable(other, k, now) ||
			!other.allowsAnother(k.step.spec, t.name) {
			return false
		}
		// On a cold worker, a task that makes progress would hardly end earlier.
		if other.isCold(now) && now.Sub(t.lastProgress) <= stallLimit || !c.rampOf(other, now).allows(other, k.step.spec) {
			return false
		}
		o := scoredWorker{worker: other}
		r.setScore(&o)
		return !withoutInterference || !o.interferes
	}
	mayAsk := false
	for _, other := range c.workers.All {
		p := k.permission(other, now)
		if p == denied || p == notAsked && mayAsk || !suits(other) {
			continue
		}
		if p != notAsked {
			return true
		}
		mayAsk = true
	}
	if mayAsk {
		c.adviceWishes = append(c.adviceWishes, adviceWish{k, suits})
	}
	return false
}
