package job

import (
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
	// workersPerPreemption is the number of workers for each worker on which tasks
	// stop for others at the same time. One worker is always allowed.
	workersPerPreemption = 4
	// waitForRoomShare is how long a stopped task is expected to wait for room, as a share
	// of its run time: on full workers, room becomes free as such tasks end. Without this
	// wait, 8 workers lost 8.8 points of the batch jobs on time in the heaviest of six loads,
	// with 0.3 4.4 and with 0.4 2.2. The load on 16 workers is the same up to 0.3; with 0.5,
	// 4 urgent jobs of 470 fewer are on time.
	waitForRoomShare = 0.3
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
	// decidedAt is when the last decision was made, and decisions is their number.
	decidedAt time.Time
	decisions int64
	// preempting are the workers on which tasks are stopping for others.
	preempting []*workerRow
	// holding are the workers that keep room for steps.
	holding []*workerRow
	// occupancies is memory for the next decision.
	occupancies []occupancy
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
			held = held.Plus(multiply(h.step.spec.Need, h.tasks))
		}
	}
	if held == (Resources{}) {
		return held
	}
	return held.Minus(w.stoppingRoom()).Max(Resources{})
}

// stoppingRoom is what the stopping tasks of a worker take. Each check of the room on a worker
// with a hold needs it.
type stoppingRoom struct {
	known bool
	room  Resources
}

// stoppingRoom returns what the stopping tasks of w take from other tasks.
func (w *workerRow) stoppingRoom() Resources {
	if w.stopping.known {
		return w.stopping.room
	}
	w.stopping = stoppingRoom{known: true}
	for _, t := range w.tasks {
		if t.stopping {
			w.stopping.room = w.stopping.room.Plus(reservedBy(t.spec))
		}
	}
	return w.stopping.room
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

// multiply returns n times r, without slots.
func multiply(r Resources, n int) Resources {
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
	p.decisions++
	c.dropHolds(now)
	p.preempting = slices.DeleteFunc(p.preempting, func(w *workerRow) bool { return !w.isPreempting() })
	allowed := max(1, c.workers.Len()/workersPerPreemption) - len(p.preempting)
	lowest := 0
	for _, q := range c.queues {
		lowest = max(lowest, q.Priority)
	}
	ahead := map[string]int{}
	d := &preemptionDecision{cell: c, now: now, allowed: allowed}
	for i := 0; i < len(all) && d.allowed > 0; i++ {
		k := &all[i]
		if k.queue.Priority >= lowest || !k.mayPreempt() {
			continue
		}
		d.candidate, d.ahead = k, ahead[k.queue.Service]
		d.decide()
		ahead[k.queue.Service] += max(0, k.waitingTasks(now)-c.heldFor(k.step))
	}
}

// isPreempting reports whether any task of w is stopping for another.
func (w *workerRow) isPreempting() bool {
	for _, t := range w.tasks {
		if t.stopping && t.stopOrderedAt.Equal(t.preempted.at) {
			return true
		}
	}
	return false
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

// preemptionDecision is the decision for the candidates of one tick, one after the other.
// What it knows about workers and steps is computed once: for each candidate anew, that
// took over 10 ms with 240 workers and 100 candidates.
type preemptionDecision struct {
	cell *Cell
	now  time.Time
	// workers is nil until a candidate needs to know the workers.
	workers []occupancy
	// usable are the workers that the candidate usableFor may use, sets the sets of victims
	// on them and victims the members of all sets. chosenSets are those to stop.
	usable           []*occupancy
	usableFor        *candidate
	sets, chosenSets []victimSet
	victims          []*victim
	// allowed is the number of further workers on which tasks may be stopped.
	allowed   int
	candidate *candidate
	// ahead is the number of tasks that are placed before those of the candidate in the
	// room that becomes free by itself.
	ahead int
	// slack is how long the tasks of the candidate can wait without making it late, or
	// too late if it is late already.
	slack time.Duration
}

// decide stops the victims that cost least for the tasks of the candidate that no room
// becomes free for in time. It stops none if some task would remain: the job would be late
// all the same.
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
	if d.workers == nil {
		d.observeWorkers()
	}
	needed -= max(0, d.roomInTime()-d.ahead)
	if needed <= 0 {
		return
	}
	if !d.chooseSets(needed) {
		return
	}
	for i := range d.chosenSets {
		d.stop(&d.chosenSets[i])
	}
}

// roomInTime returns the number of tasks of the candidate for which the workers have room
// in time without a stop.
func (d *preemptionDecision) roomInTime() int {
	d.setUsable()
	room := 0
	for _, o := range d.usable {
		o.freed = d.endsInTime(o)
		o.room = d.roomOn(o.worker, o.freed)
		room += o.room
	}
	return room
}

// setUsable sets the workers that the candidate may use. They are the same as those of the
// candidate before, unless the two ask for others.
func (d *preemptionDecision) setUsable() {
	k, last := d.candidate, d.usableFor
	d.usableFor = k
	if last != nil && last.queue.Service == k.queue.Service && last.step.spec.Label == k.step.spec.Label &&
		!last.queue.RequiresTicket && !k.queue.RequiresTicket {
		return
	}
	d.usable = d.usable[:0]
	for i := range d.workers {
		w := d.workers[i].worker
		if d.cell.isUsable(w, k, d.now) && (!k.queue.RequiresTicket || k.step.tickets.byWorker[w.ID] != "") {
			d.usable = append(d.usable, &d.workers[i])
		}
	}
}

// stop stops the victims of a set and keeps their room for the candidate.
func (d *preemptionDecision) stop(set *victimSet) {
	d.allowed--
	c, k, w := d.cell, d.candidate, set.occupancy.worker
	for _, v := range set.victims {
		c.stopTask(v.task, reasonPreempted, d.now)
		v.task.preempted = preemptedTask{v.task.preempted.count + 1, d.now}
		v.step, v.remaining = nil, 0
		e := &c.events[len(c.events)-1]
		e.Preemptor, e.Priority, e.LostWork = k.job.ID, k.queue.Priority, v.lost
	}
	if len(w.holds) == 0 {
		c.preemption.holding = append(c.preemption.holding, w)
	}
	c.preemption.preempting = append(c.preemption.preempting, w)
	set.occupancy.stopping = true
	w.holds = append(w.holds, hold{k.job, k.step, k.queue.Priority, set.tasks, d.now.Add(preemptionHoldTime)})
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
			free = free.Minus(multiply(h.step.spec.Need, max(0, h.tasks)))
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
