package job

import (
	"slices"
	"time"
)

// Limits on how long a best-effort task waits for a worker where it does not
// interfere with serving tasks. Beside serving tasks that it interferes with,
// the task would be throttled to less than half of its speed and would slow
// down the serving tasks. Workers without interference are scarce if most
// workers run serving tasks and half of the best-effort images interfere with
// each serving image.
const (
	// busyInterferenceWait applies while other tasks of the occurrence run, or
	// while the workers are crowded. It is longer than a batch job on the
	// platform takes.
	busyInterferenceWait = 20 * time.Second
	// idleInterferenceWait applies if no task of the occurrence runs and the
	// workers are not crowded: such a job must make progress within 3 s.
	idleInterferenceWait = 1500 * time.Millisecond
	// crowdedFreePercent is the share of free processors below which the
	// workers are crowded. The platform allows a job without running tasks to
	// wait while at least half of the processors are in use. The estimate of
	// this use may be wrong by a tenth.
	crowdedFreePercent = 40
)

// maxBacklog is the time that the tasks ready to start would take on all processors
// above which processors are scarce. Best-effort tasks do not count: what they wait
// for beside serving tasks is a worker without interference.
const maxBacklog = 1500 * time.Millisecond

// setRoom sets how long the best-effort tasks of each candidate wait for a worker
// without interference, whether processors are scarce, whether the candidate may use those
// that are kept for urgent tasks, and whether it is idle.
func (c *Cell) setRoom(all []candidate, now time.Time) {
	free, capacity := c.freeProcessors()
	crowded := isCrowded(free, capacity)
	backlog := 0.0
	for i := range all {
		if k := &all[i]; !k.step.spec.BestEffort {
			backlog += k.backlog()
		}
	}
	share := c.mayShareProcessors(now)
	scarce := backlog > maxBacklog.Seconds()*float64(capacity)/processorUnit
	for i := range all {
		all[i].scarce = scarce
		running := all[i].hasRunningTasks()
		all[i].idle = all[i].observeIdle(running, now) && share
		all[i].interferenceWait = idleInterferenceWait
		if crowded || running {
			all[i].interferenceWait = busyInterferenceWait
		}
		all[i].usesReserve = !crowded && all[i].lacksRoom(now) && c.isKeptOutByReserve(&all[i], now)
	}
}

// reserveWait is how long a candidate of which nothing runs waits for room while the workers are
// not crowded before it may use the processors that are kept for urgent tasks. Such a job must
// make progress within 3 s.
const reserveWait = 1500 * time.Millisecond

// lacksRoom reports whether nothing of the candidate's occurrence runs, and it has waited for room
// for reserveWait. It is false for long-running tasks, which would take the reserve for good.
func (k *candidate) lacksRoom(now time.Time) bool {
	w := &k.step.wait
	return !k.step.spec.LongRunning && w.reason == waitRoom && now.Sub(w.since) >= reserveWait && !k.hasRunningTasks()
}

// isKeptOutByReserve reports whether, whatever else ends, a task of the candidate will have room
// on a worker beside its long-running tasks, but on none beside the processors that are kept for
// urgent tasks, too.
func (c *Cell) isKeptOutByReserve(k *candidate, now time.Time) bool {
	s, keptOut := k.step.spec, false
	for _, w := range c.workers.All {
		if !c.isUsable(w, k, now) {
			continue
		}
		left := w.Capacity.Processors
		for _, t := range w.tasks {
			if t.spec.LongRunning && !t.spec.BestEffort {
				left -= t.spec.Need.Processors
			}
		}
		if left >= s.Need.Processors+urgentReserve(w, s, k.queue.Priority) {
			return false
		}
		keptOut = keptOut || left >= s.Need.Processors
	}
	return keptOut
}

// roomPriority returns the priority by which the candidate is given room on a worker.
func (k *candidate) roomPriority() int {
	if k.usesReserve {
		return 0
	}
	return k.queue.Priority
}

// freeProcessors returns the processors of the workers that may start tasks, and those that
// their tasks are expected to leave unused.
func (c *Cell) freeProcessors() (free, capacity int) {
	for _, w := range c.workers.All {
		if c.evacuations.allowsStarts(w.Zone) {
			free += max(0, w.freeProcessors())
			capacity += w.Capacity.Processors
		}
	}
	return free, capacity
}

// isCrowded reports whether so few processors are free that the platform allows jobs without
// running tasks to wait.
func isCrowded(free, capacity int) bool { return free*fullPercent < capacity*crowdedFreePercent }

// scoredWorker is a worker that tasks of a step may run on, with its score.
type scoredWorker struct {
	worker *workerRow
	// score ranks the workers; the highest is best.
	score int
	// interferes is true if a task of the step would push serving tasks there
	// above placementUtilizationLimit.
	interferes bool
	// limited is true if ramp or claimed limit the tasks on the worker.
	limited bool
	ramp    ramp
	// claimed is the room that candidates of higher rank claim on the worker.
	claimed room
	// rank, time and tieScore rank the workers if tasks are placed by their expected
	// end. time is how long a task is expected to run there, and the lowest rank is
	// best. tieScore is the score without what time and rank stand for.
	rank     int
	time     time.Duration
	tieScore int
}

// allowsAnother reports whether the limits on the worker allow one more task of the candidate.
func (o *scoredWorker) allowsAnother(k *candidate) bool {
	return o.ramp.allows(o.worker, k.step.spec) && (k.sharesProcessors || o.worker.fitsBeside(o.claimed, k.step.spec))
}

// scoredWorkers returns the usable workers that have room for a task of the
// candidate's step, with their scores. Unless rack is empty, it returns only
// workers with that label. It leaves out the workers that have not changed since
// the given version. If there are none, withheld reports whether a worker has room that
// is claimed or that it must not use yet.
func (c *Cell) scoredWorkers(k *candidate, r *scorer, rack string, since int64) (out []scoredWorker, withheld bool) {
	for _, w := range c.workers.All {
		if w.version <= since || !k.fits(w) || !c.isUsable(w, k, r.now) ||
			rack != "" && !slices.Contains(w.Labels, rack) {
			continue
		}
		o := scoredWorker{worker: w}
		if !c.rampBegin(w).IsZero() || len(c.claims) > 0 {
			o.limited, o.ramp, o.claimed = true, c.rampOf(w, r.now), c.claims[w]
			if !o.allowsAnother(k) {
				withheld = true
				continue
			}
		}
		r.setScore(&o)
		r.byEnd = r.byEnd || r.timed && w.isCold(r.now)
		out = append(out, o)
	}
	return out, withheld
}

// racks returns the sorted racks of the cell's workers. The labels of a worker
// are its kind and, last, its rack.
func (c *Cell) racks() []string {
	var out []string
	for _, w := range c.workers.All {
		if n := len(w.Labels); n > 0 && !slices.Contains(out, w.Labels[n-1]) {
			out = append(out, w.Labels[n-1])
		}
	}
	slices.Sort(out)
	return out
}

// chooseWorker returns the best worker that has room for t, or nil. If t would
// interfere with serving tasks on that worker, chooseWorker returns nil until
// the candidate's interferenceWait is over, as a worker without interference may
// get room in the meantime.
func chooseWorker(scored []scoredWorker, k *candidate, t *taskRow, r *scorer) *scoredWorker {
	now := r.now
	best := r.choose(scored, k, t)
	if best != nil && best.interferes {
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
		if now.Sub(t.waitingSince) < k.interferenceWait {
			return nil
		}
	}
	return best
}

// isEligible reports whether t may start on a scored worker now.
func (r *scorer) isEligible(o *scoredWorker, k *candidate, t *taskRow) bool {
	w, s := o.worker, k.step.spec
	return k.hasTicket(w, r.now) && k.fits(w) && w.allowsAnother(s, t.name) && w.acceptsTasks(r.now) && (!o.limited || o.allowsAnother(k))
}

// choose returns the best worker that has room for t, or nil.
func (r *scorer) choose(scored []scoredWorker, k *candidate, t *taskRow) *scoredWorker {
	if r.byEnd {
		return r.chooseEarliest(scored, k, t)
	}
	var best *scoredWorker
	bestScore := 0
	for i := range scored {
		o := &scored[i]
		if !r.isEligible(o, k, t) {
			continue
		}
		score := o.score
		if slices.Contains(t.failedOn, o.worker.ID) {
			score -= failedPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// hasRunningTasks reports whether a task of the candidate's occurrence is
// assigned to a worker.
func (k *candidate) hasRunningTasks() bool {
	for i := range k.occ.steps {
		s := &k.occ.steps[i]
		if s.done+s.waiting < len(s.tasks) {
			return true
		}
	}
	return false
}

// hasRecentReport reports whether the state of w is known and up to date.
func (w *workerRow) hasRecentReport(now time.Time) bool {
	return w.listed && w.unreachable == 0 && Age(w.lastReport, now) <= maxReportAge
}

// isUsable reports whether w may get tasks of the candidate that are not suspects of
// crashes, apart from its free capacity.
func (c *Cell) isUsable(w *workerRow, k *candidate, now time.Time) bool {
	return !w.isolated && c.mayRun(w, k, now)
}

// mayRun reports whether w may get tasks of the candidate, apart from its free capacity
// and its isolation.
func (c *Cell) mayRun(w *workerRow, k *candidate, now time.Time) bool {
	switch {
	case !w.hasRecentReport(now), w.ended, w.Draining, w.unknownRuns > 0, w.Service != k.queue.Service:
		return false
	case !c.evacuations.allowsStarts(w.Zone):
		return false
	case k.step.spec.Label != "" && !slices.Contains(w.Labels, k.step.spec.Label):
		return false
	}
	return w.acceptsTasks(now)
}

// servingUsePercent is the share of their reserved processors that serving
// tasks are assumed to use; on the platform, they use 48%.
const servingUsePercent = 50

// freeProcessors returns the processors of w that its tasks are assumed to
// leave unused.
func (w *workerRow) freeProcessors() int {
	return w.Capacity.Processors - (w.used.Processors - w.servingProcessors) - w.servingProcessors*servingUsePercent/100 - w.bestEffortProcessors
}

// urgentReserveMilli is the capacity on each worker that is kept free for
// tasks of priority 0, in thousandths of a processor: enough for two or three
// tasks of small urgent jobs. Without it, an urgent job, which can wait for only
// a second, may find all workers occupied by batch tasks.
const urgentReserveMilli = 700

// hasRoom reports whether the worker has room for one more task of s.
func (w *workerRow) hasRoom(s *Step, priority int) bool {
	need := s.Need
	need.Processors += urgentReserve(w, s, priority)
	if s.BestEffort {
		if w.freeProcessors() < need.Processors {
			return false
		}
		need.Processors = 0
	}
	// Tasks of jobs take no slots, so slots are left out of the comparison.
	need.Slots = 0
	return w.used.Plus(need).Fits(w.Capacity.Max(Resources{Slots: w.used.Slots}))
}

// allowsAnother reports whether MaxPerWorker lets w run one more task of the
// step.
func (w *workerRow) allowsAnother(s *Step, name Task) bool {
	if s.MaxPerWorker == 0 {
		return true
	}
	return w.tasksOf(name.Job, name.Occurrence, name.Step) < s.MaxPerWorker
}

// tasksOf returns how many tasks of a step of an occurrence are assigned to w.
func (w *workerRow) tasksOf(job string, occurrence, step int) int {
	n := 0
	for t := range w.tasks {
		if t.Job == job && t.Occurrence == occurrence && t.Step == step {
			n++
		}
	}
	return n
}

// negligibleInterference is the added utilization up to which a task counts as
// not interfering.
const negligibleInterference = 0.04

// Weights of a worker's score, in thousandths of a processor.
const (
	// remoteDataPenalty outweighs any difference in free processors: a task
	// that runs away from its data takes at least half as long again.
	remoteDataPenalty = 1 << 20
	// slowPenalty keeps tasks off slow workers while other workers have room.
	slowPenalty = 1 << 20
	// failedPenalty keeps a task off the workers on which it failed.
	failedPenalty = 1 << 21
	// overloadPenalty is the cost of a utilization that exceeds the limit by
	// 1. An excess of 0.1 outweighs all free processors of a worker.
	overloadPenalty = 1 << 19
	// interferenceWeight is the cost of an added utilization of 1.
	interferenceWeight = 1 << 17
	// imageWeight groups serving tasks of one image, so that best-effort tasks
	// find workers whose serving images they do not interfere with.
	imageWeight = 1 << 15
)

// setScore sets the score of a worker for one more task of the step.
func (r *scorer) setScore(o *scoredWorker) {
	s, w := r.step, o.worker
	o.score, o.interferes = w.freeProcessors(), false
	switch {
	case s.TailTarget > 0:
		o.score = w.servingProcessors - w.bestEffortProcessors
		for k, n := range w.servingTasks {
			if k.image == s.Image {
				o.score += n * imageWeight
			} else {
				o.score -= n * imageWeight
			}
		}
	case s.BestEffort && w.servingProcessors > 0:
		excess, added := r.predictOverload(w)
		o.score -= int(added * interferenceWeight)
		if added > negligibleInterference {
			o.score -= int(max(0, excess) * overloadPenalty)
			o.interferes = excess > 0
		}
	}
	if r.isRemote(w) {
		o.score -= remoteDataPenalty
	}
	if w.speed.isSlow() {
		o.score -= slowPenalty
	}
	if r.timed {
		r.setEnd(o)
	}
}
