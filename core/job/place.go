package job

import (
	"slices"
	"time"
)

// lateFactor is the multiple of a job's latency objective after which the result
// of the job has no value any more.
const lateFactor = 3

// timeliness is whether a job can still meet its latency objective.
type timeliness int

const (
	onTime timeliness = iota
	// late means that the job will miss its latency objective, but not by so
	// much that it has no value.
	late
	// tooLate means that the job will end after lateFactor times its latency
	// objective.
	tooLate
)

// candidate is a step with tasks that are ready to start.
type candidate struct {
	job  *jobRow
	occ  *occurrenceRow
	step *stepRow
	// number is the index of the step.
	number     int
	queue      *Queue
	timeliness timeliness
	// deadline is when the job misses its latency objective.
	deadline time.Time
	// density is the value of the occurrence for each processor second of its
	// remaining work.
	density float64
	// scarce is true while processors are scarce on all workers together. With fair
	// shares, it is true while they are scarce for tasks of the step's kind.
	scarce bool
	// usesReserve is true if its tasks may use the processors that are kept for urgent tasks.
	usesReserve bool
	// idle is true if nothing of its occurrence has run for idleLimit, and it may share the
	// processors that best-effort tasks use. sharesProcessors is true while a task of it is placed beside
	// best-effort tasks that already use all processors.
	idle, sharesProcessors bool
	// interferenceWait is how long the best-effort tasks of the step wait for
	// a worker without interference.
	interferenceWait time.Duration
}

// candidates returns all steps with tasks that are ready to start, in the order
// of the policy.
func (c *Cell) candidates(now time.Time) []candidate {
	resolved := c.priorRunsResolved(now)
	var out []candidate
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.IsFinal() || q == nil || !resolved && !j.acceptedThisEpoch {
			continue
		}
		for _, o := range j.occurrences {
			out = c.appendCandidates(out, j, o, q, now)
		}
	}
	if len(out) > 0 {
		c.setRoom(out, now)
	}
	if c.shares != nil {
		c.setScarcity(out, now)
		return sorted(out, c.compareWithinAccount)
	}
	return sorted(out, c.policy.compare)
}

// sorted returns all in order. It sorts pointers: sorting the candidates themselves copies
// and allocates two for each comparison, which took 40% of a decision with 500 of them.
func sorted(all []candidate, compare func(a, b *candidate) int) []candidate {
	pointers := make([]*candidate, len(all))
	for i := range all {
		pointers[i] = &all[i]
	}
	slices.SortFunc(pointers, compare)
	out := make([]candidate, len(all))
	for i, k := range pointers {
		out[i] = *k
	}
	return out
}

func (c *Cell) appendCandidates(out []candidate, j *jobRow, o *occurrenceRow, q *Queue, now time.Time) []candidate {
	var deadline time.Time
	var forecast timeliness
	var density float64
	computed := false
	if now.Before(o.due) {
		return out
	}
	for i := range o.steps {
		s := &o.steps[i]
		if s.waiting == 0 || !o.isStepReady(i) {
			continue
		}
		if !computed {
			deadline, forecast = c.forecast(j, o, q, now)
			c.recordOutlook(j, forecast)
			density = c.density(j, o, q)
			computed = true
		}
		out = append(out, candidate{job: j, occ: o, step: s, number: i, queue: q, timeliness: forecast, deadline: deadline, density: density})
	}
	return out
}

// Objective returns the latency objective of a job, or 0 if the job runs until it is
// cancelled, or by a schedule.
func (q *Queue) Objective(j *Job) time.Duration {
	if j.Steps[0].LongRunning || j.Schedule.Times > 0 {
		return 0
	}
	return q.objective(criticalPathOf(j.Steps))
}

// objective returns the latency objective of a job with the given critical path.
func (q *Queue) objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Target
}

// deadlines returns when an occurrence misses its latency objective, and when its result
// loses its value.
func deadlines(j *jobRow, o *occurrenceRow, q *Queue) (lateAt, tooLateAt time.Time) {
	begin := j.Accepted
	if !o.due.IsZero() {
		begin = o.due
	}
	objective := q.objective(j.criticalPath)
	return begin.Add(objective), begin.Add(lateFactor * objective)
}

// forecast returns when o misses its latency objective, and whether o can still
// meet it.
func (c *Cell) forecast(j *jobRow, o *occurrenceRow, q *Queue, now time.Time) (time.Time, timeliness) {
	deadline, tooLateAt := deadlines(j, o, q)
	if j.Steps[0].LongRunning {
		return deadline, onTime
	}
	finish := now.Add(c.runTimeRatios.remaining(j, o))
	switch {
	case !finish.After(deadline):
		return deadline, onTime
	case !finish.After(tooLateAt):
		return deadline, late
	default:
		return deadline, tooLate
	}
}

// placeTasks starts the waiting tasks of the candidates, in order, while workers
// have room for them.
func (c *Cell) placeTasks(now time.Time) {
	clear(c.claims)
	c.failExhausted(now)
	c.rackWaits, c.reservingSteps = 0, 0
	all := c.candidates(now)
	c.placeSuspects(all, now)
	for k := range c.inOrder(all) {
		var reason waitReason
		switch {
		case !k.hasAnyTicket(now):
			reason = waitTicket
		case k.step.spec.Gang:
			reason = c.placeGang(k, now)
		default:
			reason = c.placeStep(k, now)
			c.startIdle(k, now)
		}
		c.recordWait(k, reason, now)
		if k.step.waiting > 0 {
			c.wishAdvice(k, now)
		}
	}
	c.requestAdvice(now)
	c.sampleRoom(all, now)
	c.copyTasks(all, now)
}

// placeStep starts the waiting tasks of a candidate, in order, until no worker has
// room for the next one. It returns why the others wait.
func (c *Cell) placeStep(k *candidate, now time.Time) waitReason {
	since := k.step.blocked.since(now)
	r := c.newScorer(k, now)
	var scored []scoredWorker
	reason := notWaiting
	for i := range k.step.tasks {
		t := &k.step.tasks[i]
		switch {
		case t.state != taskWaiting:
			continue
		case now.Before(t.notBefore):
			reason = waitRetry
			continue
		case t.isSuspect(k.step.spec, c.isolation.alert):
			reason = waitIsolation
			continue
		}
		if scored == nil {
			var withheld bool
			if scored, withheld = c.scoredWorkers(k, r, "", since); len(scored) == 0 {
				c.keepRackClaims(k, since)
				k.step.blocked.record(c.version, since, now)
				c.reserveRoom(k, r)
				return waitForRoom(withheld, since)
			}
			k.step.rackClaims = k.step.rackClaims[:0]
		}
		o := chooseWorker(scored, k, t, r)
		if o == nil {
			k.step.blocked.record(c.version, since, now)
			if !t.waitingSince.IsZero() {
				return waitInterference
			}
			c.reserveRoom(k, r)
			return waitForRoom(false, since)
		}
		if c.waitsForRack(k, r, t, o) {
			reason = waitRack
			continue
		}
		c.startTask(k.job, k.step, t, o.worker, now)
		r.recordPlaced(o)
		c.recordStart(k)
	}
	if reason == waitRack {
		k.step.blocked.record(c.version, since, now)
	}
	return reason
}

// placeGang starts all members of a gang or none. If the gang asks for one rack,
// placeGang tries each rack before it uses workers of several racks. It returns why the
// gang waits.
func (c *Cell) placeGang(k *candidate, now time.Time) waitReason {
	if k.step.waiting < len(k.step.tasks) {
		return notWaiting
	}
	if k.step.spec.SameRack {
		for _, rack := range c.racks() {
			if c.placeGangOn(k, rack, now) {
				return notWaiting
			}
		}
	}
	if c.placeGangOn(k, "", now) {
		return notWaiting
	}
	c.reserveRoom(k, c.newScorer(k, now))
	return waitRoom
}

// placeGangOn starts all members of a gang, or none, on workers with the label
// rack, or on any workers if rack is empty. It reports whether the gang started.
func (c *Cell) placeGangOn(k *candidate, rack string, now time.Time) bool {
	s := k.step
	r := c.newScorer(k, now)
	scored, _ := c.scoredWorkers(k, r, rack, allWorkers)
	var placed []*taskRow
	for i := range s.tasks {
		t := &s.tasks[i]
		o := chooseWorker(scored, k, t, r)
		if o == nil || now.Before(t.notBefore) {
			break
		}
		// Run 0 only reserves capacity until all members have a worker.
		c.recordRun(s, t, o.worker, 0, now)
		r.recordPlaced(o)
		placed = append(placed, t)
	}
	complete := len(placed) == len(s.tasks)
	var starts int64
	for i := range s.tasks {
		starts = max(starts, s.tasks[i].starts)
	}
	for _, t := range placed {
		w := t.worker
		c.releaseTask(s, t)
		if complete {
			// All members share one run number.
			t.starts = starts
			c.startTask(k.job, s, t, w, now)
		}
	}
	return complete
}
