package job

import (
	"slices"
	"time"
)

// occupancy is what a decision knows about the tasks of a worker.
type occupancy struct {
	worker *workerRow
	// index is the position among all workers, by which equal costs are ordered.
	index int
	// ends are the tasks that end by themselves or are stopping.
	ends []expectedEnd
	// freed is what becomes free in time for the candidate, and room the number of its
	// tasks that then have room.
	freed Resources
	room  int
	// stopping is true if any task is stopping.
	stopping bool
	// victims are the tasks that may be stopped. Only the first sorted ones are in order,
	// cheapest first: a set mostly needs one or two.
	victims       []victim
	sorted        int
	victimsListed bool
}

// expectedEnd is a task and in how long its room becomes free. A decision computes it for
// each running task, so what only victims need is left to batchStep.
type expectedEnd struct {
	task      *taskRow
	step      *batchStep
	remaining time.Duration
}

// batchStep is what a decision knows about a step whose tasks run. The row of the step
// keeps it for later decisions: allocating it and finding it by the step's key took more
// than a third of a decision with 240 workers.
type batchStep struct {
	candidate
	// decision is the number of the decision that it was computed for.
	decision int64
	// estimate is how long a task of the step takes.
	estimate time.Duration
	// after is how long the steps after it take, if it is on the critical path. Like the
	// fields below and the density, it is known if valued is true.
	after time.Duration
	// late and tooLate are the times left until the occurrence is.
	late, tooLate time.Duration
	valued        bool
}

// observeWorkers sets what the decision knows about all workers.
func (d *preemptionDecision) observeWorkers() {
	c := d.cell
	n := c.workers.Len()
	d.workers = slices.Grow(c.preemption.occupancies[:0], n)[:n]
	c.preemption.occupancies = d.workers
	d.usable, d.sets = make([]*occupancy, 0, n), make([]victimSet, 0, n)
	i := 0
	for _, w := range c.workers.All {
		d.observe(&d.workers[i], w)
		d.workers[i].index = i
		i++
	}
}

// observe sets what the decision knows about the tasks of w.
func (d *preemptionDecision) observe(o *occupancy, w *workerRow) {
	*o = occupancy{worker: w, ends: o.ends[:0], victims: o.victims[:0]}
	for _, t := range w.tasks {
		e := expectedEnd{task: t}
		switch {
		case t.stopping:
			o.stopping = true
			// A stop that is not overdue counts as in time for any candidate, so that
			// no two decisions stop tasks for the same ones.
			if d.now.Sub(t.stopOrderedAt) >= preemptionHoldTime {
				continue
			}
		case t.spec.LongRunning:
			continue
		default:
			e.step = d.batchStep(t)
			e.remaining = t.expectedRemaining(e.step.estimate)
		}
		o.ends = append(o.ends, e)
	}
}

// batchStep returns what the decision knows about the step of t.
func (d *preemptionDecision) batchStep(t *taskRow) *batchStep {
	c, step := d.cell, t.step
	if step.observed == nil {
		j := c.jobs.Get(t.name.Job)
		step.observed = &batchStep{candidate: candidate{job: j, occ: j.occurrence(t.name.Occurrence), step: step}}
	}
	s := step.observed
	if s.decision != c.preemption.decisions {
		s.decision, s.valued = c.preemption.decisions, false
		s.queue, s.estimate = c.queueOf(s.job), c.runTimeRatios.estimate(s.job, step)
	}
	return s
}

// setValue sets what the decision must know about the step of a victim.
func (d *preemptionDecision) setValue(s *batchStep) {
	if s.valued {
		return
	}
	c := d.cell
	s.valued = true
	s.after = 0
	if len(s.occ.steps) > 1 {
		s.after = max(0, c.runTimeRatios.remaining(s.job, s.occ)-s.estimate)
	}
	lateAt, tooLateAt := deadlines(s.job, s.occ, s.queue)
	s.late, s.tooLate = lateAt.Sub(d.now), tooLateAt.Sub(d.now)
	s.density = c.density(s.job, s.occ, s.queue)
}

// endsInTime returns what the tasks of a worker will free in time for the candidate.
func (d *preemptionDecision) endsInTime(o *occupancy) Resources {
	var freed Resources
	for i := range o.ends {
		if o.ends[i].remaining <= d.slack {
			freed = freed.Plus(reservedBy(o.ends[i].task.spec))
		}
	}
	return freed
}
