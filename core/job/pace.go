package job

import "time"

// Parameters of the speed of workers.
const (
	// paceWeight is the weight of one look at one task; about twelve looks
	// count, half a second of a busy worker.
	paceWeight = 0.08
	// paceLooks is how many looks are needed before a worker counts as slow.
	paceLooks = 8
	// slowPace is the speed below which a worker counts as slow, as a share of
	// what estimates and earlier runs promise.
	slowPace = 0.45
	// minLook is how long a task must have been at work for a look.
	minLook = 300 * time.Millisecond
)

// pace is the speed of a worker.
type pace struct {
	speed float64
	looks int
}

func (p *pace) observe(speed float64) {
	if p.looks == 0 {
		p.speed = 1
	}
	p.looks++
	p.speed += paceWeight * (min(speed, 2) - p.speed)
}

func (p *pace) slow() bool { return p.looks >= paceLooks && p.speed < slowPace }

// observePace takes in how far a task has come. Filling tasks tell nothing of
// their worker, since they get what others leave.
func (c *Cell) observePace(j *jobRow, s *stepRow, t *taskRow, now time.Time) {
	elapsed := now.Sub(t.seen)
	if !c.policy.learns || s.spec.BestEffort || s.spec.LongRunning || s.spec.Gang || elapsed < minLook {
		return
	}
	promised := c.rates.estimate(j, s)
	if promised <= 0 {
		return
	}
	done := time.Duration(t.percent-t.first) * promised / fullPercent
	t.worker.pace.observe(float64(done) / float64(elapsed))
}

// Limits of moving tasks.
const (
	// stallLimit is how long a task may stand still; workers are looked at
	// every 500 ms.
	stallLimit = 1400 * time.Millisecond
	// startupLimit is how long a lasting task may take to be at work; its
	// startup takes some hundred milliseconds.
	startupLimit = 4 * time.Second
	// moveGain is how many times longer a task must take where it is than
	// anew elsewhere.
	moveGain = 1.5
	// restoreTime is how long a start elsewhere takes before work goes on.
	restoreTime = 300 * time.Millisecond
)

// rescue moves tasks that stand still or crawl. Load: a few workers that are
// slow or hang, beside sound ones with room.
func (c *Cell) rescue(now time.Time) {
	for _, w := range c.workers.All {
		if !w.inTouch(now) {
			continue
		}
		for _, t := range w.sorted() {
			if reason := c.misplaced(w, t, now); reason != "" {
				if reason == reasonStalled {
					w.health.stalled(now)
				}
				c.stop(t, reason, now)
			}
		}
	}
}

// Reasons of moves.
const (
	reasonStalled = "stalled"
	reasonSlow    = "slow-worker"
)

// movable returns the candidate that a running task would be elsewhere; false
// if it cannot be moved.
func (c *Cell) movable(t *taskRow) (k candidate, ok bool) {
	j := c.jobs.Get(t.name.Job)
	s, _ := j.task(t.name)
	q := c.queueOf(j)
	if t.stopping || !t.running || s.spec.Gang || q == nil {
		return candidate{}, false
	}
	return candidate{job: j, occ: j.occurrence(t.name.Occurrence), step: s, number: t.name.Step, queue: q}, true
}

// misplaced returns why a task should run elsewhere, or "".
func (c *Cell) misplaced(w *workerRow, t *taskRow, now time.Time) string {
	k, ok := c.movable(t)
	if !ok {
		return ""
	}
	j, s := k.job, k.step
	switch {
	case s.spec.LongRunning:
		if t.percent < fullPercent && now.Sub(t.ordered) > startupLimit && c.roomElsewhere(w, &k, t, false, now) {
			return reasonStalled
		}
	case now.Sub(t.moved) > stallLimit && now.Sub(w.moved) > stallLimit && !t.throttled:
		if c.roomElsewhere(w, &k, t, false, now) {
			return reasonStalled
		}
	case w.pace.slow() && !s.spec.BestEffort:
		promised := c.rates.estimate(j, s)
		left := float64(fullPercent-t.percent) / fullPercent * float64(promised)
		anew := float64(promised)
		if s.spec.Checkpoints && t.checkpoint != "" {
			anew = left
		}
		if left/max(w.pace.speed, 0.05) > moveGain*(anew+float64(restoreTime)) && c.roomElsewhere(w, &k, t, false, now) {
			return reasonSlow
		}
	}
	return ""
}

// roomElsewhere reports whether a sound worker but w has room for t; if calm is
// true, beside serving tasks that t does not strain.
func (c *Cell) roomElsewhere(w *workerRow, k *candidate, t *taskRow, calm bool, now time.Time) bool {
	for _, other := range c.workers.All {
		if other == w || other.pace.slow() || !c.usable(other, k, now) || !other.fits(k.step.spec, k.queue.Priority) ||
			!other.spreads(k.step.spec, t.name) {
			continue
		}
		o := option{worker: other}
		if c.rate(&o, k.step.spec); !calm || !o.harmful {
			return true
		}
	}
	return false
}
