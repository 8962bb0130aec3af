package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of preemption.
const (
	// preemptionInterval is the time between two decisions. Under overload, a cell
	// ticks more than a thousand times a second, and a decision compares steps with
	// all workers.
	preemptionInterval = 50 * time.Millisecond
	// preemptionStopTime is how long it takes from the order to stop a task to the start
	// of another in its place: on the platform, a stop takes up to 400 ms.
	preemptionStopTime = 400 * time.Millisecond
	// preemptionHoldTime is how long after the order to stop its victims room is kept for
	// a step. A stop that has not ended by then counts as unanswered.
	preemptionHoldTime = 2 * time.Second
	// minPreemptionPause is the time between two preemptions of a task, and
	// maxPreemptions limits them, so that a task makes progress under urgent load.
	minPreemptionPause = 10 * time.Second
	maxPreemptions     = 2
	// minPreemptedRemaining is the least expected remaining time of a victim. A stop
	// takes about as long.
	minPreemptedRemaining = 300 * time.Millisecond
	// workersPerPreemption is the number of workers for each worker on which tasks
	// stop for others at the same time. One worker is always allowed.
	workersPerPreemption = 4
)

// The worth of a job by its timeliness, relative to one that is on time. It is above 0
// for a job without value, so that of such jobs the task that loses least is chosen.
const (
	lateWorth    = 0.15
	tooLateWorth = 0.01
)

// reasonPreempted is the reason for stopping a task for one of a higher rank.
const reasonPreempted = "preempted"

// preemption is the state of the preemption of tasks.
type preemption struct {
	enabled bool
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// holding are the workers that keep room for steps.
	holding []*workerRow
}

// hold is room on a worker that is kept for tasks of a step. Tasks of lower-ranked
// queues do not get it.
type hold struct {
	job      *jobRow
	step     *stepRow
	priority int
	tasks    int
	until    time.Time
}

// preemptedTask is the history of the preemptions of a task.
type preemptedTask struct {
	count int
	at    time.Time
}

// WithPreemption lets tasks of batch jobs be stopped for tasks of higher-ranked queues
// that would be late.
func WithPreemption() Option { return func(c *Cell) { c.preemption.enabled = true } }

// heldFrom returns the room that is kept from tasks of a priority, apart from what tasks
// that are stopping still take.
func (w *workerRow) heldFrom(priority int) Resources {
	var held Resources
	if len(w.holds) == 0 {
		return held
	}
	for _, h := range w.holds {
		if h.priority < priority {
			held = held.Plus(times(h.step.spec.Need, h.tasks))
		}
	}
	for _, t := range w.tasks {
		if t.stopping {
			held = held.Minus(reservedBy(t.spec))
		}
	}
	return held.Max(Resources{})
}

// consumeHold records that a task of the step starts on w.
func (w *workerRow) consumeHold(s *stepRow) {
	for i := range w.holds {
		if w.holds[i].step == s {
			w.holds[i].tasks--
		}
	}
}

// reservedBy returns what a task of s takes from other tasks.
func reservedBy(s *Step) Resources {
	need := s.Need
	need.Slots = 0
	if s.BestEffort {
		need.Processors = 0
	}
	return need
}

func times(r Resources, n int) Resources {
	return Resources{Processors: n * r.Processors, Memory: int64(n) * r.Memory, Accelerators: n * r.Accelerators}
}

// dropHolds drops the holds that have expired or that no task needs any more.
func (c *Cell) dropHolds(now time.Time) {
	c.preemption.holding = slices.DeleteFunc(c.preemption.holding, func(w *workerRow) bool {
		n := len(w.holds)
		w.holds = slices.DeleteFunc(w.holds, func(h hold) bool {
			return h.tasks <= 0 || h.step.waiting == 0 || h.job.state.IsFinal() || !now.Before(h.until)
		})
		if len(w.holds) < n {
			c.markChanged(w)
		}
		return len(w.holds) == 0
	})
}

// preemptTasks stops tasks of lower-ranked queues for those of the candidates that would
// otherwise be late. The candidates are in the order of placement, which comes first.
func (c *Cell) preemptTasks(all []candidate, now time.Time) {
	p := &c.preemption
	if !p.enabled || now.Sub(p.decidedAt) < preemptionInterval {
		return
	}
	p.decidedAt = now
	c.dropHolds(now)
	lowest := 0
	for _, q := range c.queues {
		lowest = max(lowest, q.Priority)
	}
	ahead := map[string]int{}
	occupancies := map[*workerRow]*occupancy{}
	for i := range all {
		k := &all[i]
		if k.queue.Priority >= lowest || !k.mayPreempt() {
			continue
		}
		d := preemptionDecision{cell: c, candidate: k, now: now, ahead: ahead[k.queue.Service], occupancies: occupancies}
		d.decide()
		ahead[k.queue.Service] += max(0, k.waitingTasks(now)-c.heldFor(k.step))
	}
}

// mayPreempt reports whether tasks may be stopped for the candidate. The room of one task
// is of no use to a gang. Best-effort tasks use what others leave, and long-running tasks
// have no deadline.
func (k *candidate) mayPreempt() bool {
	s := k.step.spec
	return k.timeliness != tooLate && !s.Gang && !s.BestEffort && !s.LongRunning
}

// waitingTasks returns the number of tasks of the candidate that may start now.
func (k *candidate) waitingTasks(now time.Time) int {
	n := 0
	for i := range k.step.tasks {
		if t := &k.step.tasks[i]; t.state == taskWaiting && !now.Before(t.notBefore) {
			n++
		}
	}
	return n
}

// heldFor returns the number of tasks of a step for which room is kept.
func (c *Cell) heldFor(s *stepRow) int {
	n := 0
	for _, w := range c.preemption.holding {
		for _, h := range w.holds {
			if h.step == s {
				n += max(0, h.tasks)
			}
		}
	}
	return n
}

// deadlines returns when an occurrence misses its latency objective, and when its result
// loses its value.
func deadlines(j *jobRow, o *occurrenceRow, q *Queue) (lateAt, tooLateAt time.Time) {
	begin := j.Accepted
	if !o.due.IsZero() {
		begin = o.due
	}
	objective := time.Duration(q.Stretch*float64(j.criticalPath)) + q.Target
	return begin.Add(objective), begin.Add(lateFactor * objective)
}

// preemptionDecision is the decision for one candidate.
type preemptionDecision struct {
	cell      *Cell
	candidate *candidate
	now       time.Time
	// ahead is the number of tasks that are placed before those of the candidate in the
	// room that becomes free by itself.
	ahead       int
	occupancies map[*workerRow]*occupancy
	// slack is how long the tasks of the candidate can wait without making it late, or
	// too late if it is late already.
	slack time.Duration
}

// occupancy is what the candidates of one decision need to know about the tasks of a
// worker. To compute it for each candidate anew would take milliseconds with hundreds of
// workers.
type occupancy struct {
	// ends are the tasks that end by themselves or are stopping.
	ends []expectedEnd
	// stopping is true if any task is stopping, and preempting if one is stopping for
	// another.
	stopping, preempting bool
	// victims are the tasks that may be stopped, cheapest first.
	victims       []victim
	victimsListed bool
}

// expectedEnd is what a task will free, and in how long.
type expectedEnd struct {
	freed     Resources
	remaining time.Duration
}

// victimSet is a set of tasks on a worker that make room for tasks of a candidate.
type victimSet struct {
	worker  *workerRow
	victims []victim
	// tasks is the number of tasks of the candidate for which the set makes room.
	tasks int
	cost  float64
}

// victim is a task that may be stopped, with its cost.
type victim struct {
	task      *taskRow
	priority  int
	remaining time.Duration
	// lost is the work in processor seconds that must be done again.
	lost, cost float64
}

// decide stops the victims that cost least for the tasks of the candidate that no room
// becomes free for in time.
func (d *preemptionDecision) decide() {
	c, k := d.cell, d.candidate
	needed := k.waitingTasks(d.now)
	limit := k.deadline
	if k.timeliness == late {
		_, limit = deadlines(k.job, k.occ, k.queue)
	}
	d.slack = limit.Sub(d.now) - c.runTimeRatios.remaining(k.job, k.occ)
	if needed == 0 || d.slack < preemptionStopTime {
		return
	}
	room, allowed := 0, max(1, c.workers.Len()/workersPerPreemption)
	var usable []*workerRow
	for _, w := range c.workers.All {
		if len(w.tasks) > 0 && d.occupancy(w).preempting {
			allowed--
		}
		if w.Service != k.queue.Service || !c.isUsable(w, k, d.now) || k.queue.RequiresTicket && k.step.tickets.byWorker[w.ID] == "" {
			continue
		}
		usable = append(usable, w)
		room += d.roomOn(w, d.endsInTime(w))
	}
	needed -= max(0, room-d.ahead)
	if needed <= 0 || allowed <= 0 {
		return
	}
	var sets []victimSet
	for _, w := range usable {
		if v, ok := d.cheapestSet(w); ok {
			sets = append(sets, v)
		}
	}
	for len(sets) > 0 && needed > 0 && allowed > 0 {
		best := slices.MinFunc(sets, func(a, b victimSet) int {
			return cmp.Or(cmp.Compare(a.cost/float64(min(a.tasks, needed)), b.cost/float64(min(b.tasks, needed))),
				cmp.Compare(a.worker.ID, b.worker.ID))
		})
		sets = slices.DeleteFunc(sets, func(v victimSet) bool { return v.worker == best.worker })
		best.tasks = min(best.tasks, needed)
		needed -= best.tasks
		allowed--
		d.stop(&best)
	}
}

// stop stops the victims of a set and keeps their room for the candidate.
func (d *preemptionDecision) stop(set *victimSet) {
	c, k, w := d.cell, d.candidate, set.worker
	for _, v := range set.victims {
		c.stopTask(v.task, reasonPreempted, d.now)
		v.task.preempted = preemptedTask{v.task.preempted.count + 1, d.now}
		e := &c.events[len(c.events)-1]
		e.Preemptor, e.Priority, e.LostWork = k.job.ID, k.queue.Priority, v.lost
	}
	if len(w.holds) == 0 {
		c.preemption.holding = append(c.preemption.holding, w)
	}
	delete(d.occupancies, w)
	w.holds = append(w.holds, hold{k.job, k.step, k.queue.Priority, set.tasks, d.now.Add(preemptionHoldTime)})
}

// occupancy returns what the decision knows about the tasks of w.
func (d *preemptionDecision) occupancy(w *workerRow) *occupancy {
	if o := d.occupancies[w]; o != nil {
		return o
	}
	o := &occupancy{}
	d.occupancies[w] = o
	for _, t := range w.tasks {
		e := expectedEnd{freed: reservedBy(t.spec)}
		switch {
		case t.stopping:
			o.stopping = true
			o.preempting = o.preempting || t.stopOrderedAt.Equal(t.preempted.at)
			// A stop that is not overdue counts as in time for any candidate, so that
			// no two decisions stop tasks for the same ones.
			if d.now.Sub(t.stopOrderedAt) >= preemptionHoldTime {
				continue
			}
		case t.spec.LongRunning:
			continue
		default:
			j := d.cell.jobs.Get(t.name.Job)
			s, _ := j.task(t.name)
			e.remaining = d.cell.expectedRemaining(&candidate{job: j, step: s}, t)
		}
		o.ends = append(o.ends, e)
	}
	return o
}

// endsInTime returns what the tasks on w will free in time for the candidate.
func (d *preemptionDecision) endsInTime(w *workerRow) Resources {
	var freed Resources
	for _, e := range d.occupancy(w).ends {
		if e.remaining <= d.slack {
			freed = freed.Plus(e.freed)
		}
	}
	return freed
}

// roomOn returns the number of tasks of the candidate for which w has room once freed is
// free, apart from the room that is kept for others of the same or a higher rank.
func (d *preemptionDecision) roomOn(w *workerRow, freed Resources) int {
	k := d.candidate
	need := k.step.spec.Need
	free := w.Capacity.Minus(w.used).Plus(freed)
	if k.queue.Priority > 0 {
		free.Processors -= min(urgentReserveMilli, max(0, w.Capacity.Processors-need.Processors))
	}
	for _, h := range w.holds {
		if h.step != k.step && h.priority <= k.queue.Priority {
			free = free.Minus(times(h.step.spec.Need, max(0, h.tasks)))
		}
	}
	n := len(k.step.tasks)
	if most := k.step.spec.MaxPerWorker; most > 0 {
		for other := range w.tasks {
			if other.Job == k.job.ID && other.Occurrence == k.occ.number && other.Step == k.number {
				most--
			}
		}
		n = min(n, most)
	}
	if need.Processors > 0 {
		n = min(n, free.Processors/need.Processors)
	}
	if need.Memory > 0 {
		n = min(n, int(free.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return max(0, n)
}

// cheapestSet returns the cheapest set of victims on w that makes room for a task of the
// candidate. It adds victims in the order of their cost until a task has room, and then
// leaves out those that are not needed, the costliest first.
func (d *preemptionDecision) cheapestSet(w *workerRow) (victimSet, bool) {
	if len(w.holds) > 0 || w.speed.isSlow() || d.occupancy(w).stopping {
		return victimSet{}, false
	}
	victims := d.victimsOn(w)
	freed := d.endsInTime(w)
	before := d.roomOn(w, freed)
	last := 0
	for ; last < len(victims) && d.roomOn(w, freed) <= before; last++ {
		freed = freed.Plus(reservedBy(victims[last].task.spec))
	}
	if d.roomOn(w, freed) <= before {
		return victimSet{}, false
	}
	set := victimSet{worker: w}
	for _, v := range slices.Backward(victims[:last]) {
		if without := freed.Minus(reservedBy(v.task.spec)); d.roomOn(w, without) > before {
			freed = without
			continue
		}
		set.victims = append(set.victims, v)
		set.cost += v.cost
	}
	set.tasks = d.roomOn(w, freed) - before
	return set, true
}

// victimsOn returns the tasks on w that may be stopped for the candidate, cheapest first.
// Those that end in time by themselves are left out: their room is counted.
func (d *preemptionDecision) victimsOn(w *workerRow) []victim {
	o := d.occupancy(w)
	if !o.victimsListed {
		o.victimsListed = true
		for _, t := range w.tasks {
			if v, ok := d.cell.victim(t, d.now); ok {
				o.victims = append(o.victims, v)
			}
		}
		slices.SortFunc(o.victims, func(a, b victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), compareTasks(a.task.name, b.task.name))
		})
	}
	var out []victim
	for _, v := range o.victims {
		if v.priority > d.candidate.queue.Priority && v.remaining > d.slack {
			out = append(out, v)
		}
	}
	return out
}

// victim returns t with its cost, and whether it may be stopped for a task of a higher
// rank.
func (c *Cell) victim(t *taskRow, now time.Time) (victim, bool) {
	k, ok := c.moveCandidate(t)
	if !ok || t.spec.LongRunning || t.isDone() || t.preempted.count >= maxPreemptions ||
		t.preempted.count > 0 && now.Sub(t.preempted.at) < minPreemptionPause || !c.mayStop(t, now) {
		return victim{}, false
	}
	remaining := c.expectedRemaining(&k, t)
	if remaining <= minPreemptedRemaining {
		return victim{}, false
	}
	lost := now.Sub(t.orderedAt)
	estimate := c.runTimeRatios.estimate(k.job, k.step)
	if t.spec.Checkpoints && t.checkpoint != "" {
		lost = min(lost, now.Sub(t.checkpointAt))
	}
	// The steps after that of the victim, if the victim is on the critical path.
	after := max(0, c.runTimeRatios.remaining(k.job, k.occ)-estimate)
	end := now.Add(remaining + after)
	lateAt, tooLateAt := deadlines(k.job, k.occ, k.queue)
	delay := preemptionStopTime + restoreTime + lost
	if !end.After(tooLateAt) && end.Add(delay).After(tooLateAt) {
		return victim{}, false
	}
	worth := c.density(k.job, k.occ)
	switch {
	case end.After(tooLateAt):
		worth *= tooLateWorth
	case end.After(lateAt):
		worth *= lateWorth
	}
	processors := float64(t.spec.Need.Processors) / processorUnit
	cost := (lost + restoreTime).Seconds() * processors * worth
	return victim{t, k.queue.Priority, remaining, lost.Seconds() * processors, cost}, true
}
