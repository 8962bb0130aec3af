package job

import "math"

// victimSet is a set of tasks on a worker that make room for tasks of a candidate.
type victimSet struct {
	occupancy *occupancy
	victims   []*victim
	// tasks is the number of tasks of the candidate for which the set makes room.
	tasks int
	// cost is the sum of the costs of the victims, and costPerTask that for each of tasks.
	cost, costPerTask float64
}

// victim is a task that may be stopped, with its cost.
type victim struct {
	*expectedEnd
	priority int
	// lost is the work in processor seconds that must be done again.
	lost, cost float64
}

// chooseSets chooses the sets that cost least for the needed tasks, one a worker, and reports
// whether they make room for all.
func (d *preemptionDecision) chooseSets(needed int) bool {
	d.sets, d.chosenSets, d.victims = d.sets[:0], d.chosenSets[:0], d.victims[:0]
	for _, o := range d.usable {
		if set, ok := d.cheapestSet(o); ok {
			d.sets = append(d.sets, set)
		}
	}
	for needed > 0 && len(d.chosenSets) < d.allowed && len(d.sets) > 0 {
		set := d.takeCheapest(needed)
		needed -= set.tasks
		d.chosenSets = append(d.chosenSets, set)
	}
	return needed <= 0
}

// takeCheapest removes the set that costs least for each of the needed tasks, and returns it
// for at most these.
func (d *preemptionDecision) takeCheapest(needed int) victimSet {
	n, least := 0, math.Inf(1)
	for i := range d.sets {
		s := &d.sets[i]
		cost := s.costPerTask
		if s.tasks > needed {
			cost = s.cost / float64(needed)
		}
		if cost < least || cost == least && s.occupancy.index < d.sets[n].occupancy.index {
			n, least = i, cost
		}
	}
	best, last := d.sets[n], len(d.sets)-1
	d.sets[n] = d.sets[last]
	d.sets = d.sets[:last]
	best.tasks = min(best.tasks, needed)
	return best
}

// cheapestSet returns the cheapest set of victims on a worker that makes room for a task of
// the candidate. It adds victims in the order of their cost until a task has room, and then
// leaves out those that are not needed, the costliest first.
func (d *preemptionDecision) cheapestSet(o *occupancy) (victimSet, bool) {
	w := o.worker
	if len(w.holds) > 0 || w.speed.isSlow() || o.stopping {
		return victimSet{}, false
	}
	d.listVictims(o)
	freed, room, n := o.freed, o.room, 0
	for ; n < len(o.victims) && room <= o.room; n++ {
		if v := o.cheapest(n); d.mayStop(v) {
			freed = freed.Plus(reservedBy(v.task.spec))
			room = d.roomOn(w, freed)
		}
	}
	if room <= o.room {
		return victimSet{}, false
	}
	set := victimSet{occupancy: o}
	first := len(d.victims)
	for i := n - 1; i >= 0; i-- {
		v := &o.victims[i]
		if !d.mayStop(v) {
			continue
		}
		if i < n-1 { // the last one made the room
			without := freed.Minus(reservedBy(v.task.spec))
			if left := d.roomOn(w, without); left > o.room {
				freed, room = without, left
				continue
			}
		}
		d.victims = append(d.victims, v)
		set.cost += v.cost
	}
	set.victims, set.tasks = d.victims[first:], room-o.room
	set.costPerTask = set.cost / float64(set.tasks)
	return set, true
}

// mayStop reports whether v may be stopped for the candidate. The room of a task that ends
// in time by itself is counted already. As the slack is at least preemptionStopTime, no task
// is stopped that would end as soon without it.
func (d *preemptionDecision) mayStop(v *victim) bool {
	return v.priority > d.candidate.queue.Priority && v.remaining > d.slack
}

// listVictims lists the tasks of a worker that may be stopped for a task of a higher rank.
func (d *preemptionDecision) listVictims(o *occupancy) {
	if o.victimsListed {
		return
	}
	o.victimsListed = true
	for i := range o.ends {
		if v, ok := d.victim(&o.ends[i]); ok {
			o.victims = append(o.victims, v)
		}
	}
}

// cheapest returns victim n in the order of their cost. The first n must have been returned
// before.
func (o *occupancy) cheapest(n int) *victim {
	if n == o.sorted {
		least := n
		for i := n + 1; i < len(o.victims); i++ {
			if o.victims[i].isCheaper(&o.victims[least]) {
				least = i
			}
		}
		o.victims[n], o.victims[least] = o.victims[least], o.victims[n]
		o.sorted++
	}
	return &o.victims[n]
}

func (v *victim) isCheaper(other *victim) bool {
	if v.cost != other.cost {
		return v.cost < other.cost
	}
	return compareTasks(v.task.name, other.task.name) < 0
}

// victim returns a task with its cost, and whether it may be stopped for a task of a higher
// rank.
func (d *preemptionDecision) victim(e *expectedEnd) (victim, bool) {
	t, p := e.task, &e.task.preempted
	switch {
	case t.stopping, !t.running, t.isDone(), t.spec.Gang, t.spec.LongRunning, e.step.queue == nil,
		p.count >= maxPreemptions, p.count > 0 && d.now.Sub(p.at) < minPreemptionPause, !d.cell.mayStop(t, d.now):
		return victim{}, false
	}
	s := e.step
	d.setValue(s)
	lost := d.now.Sub(t.orderedAt)
	if t.spec.Checkpoints && t.checkpoint != "" {
		lost = min(lost, d.now.Sub(t.checkpointAt))
	}
	end := e.remaining + s.after
	delayed := end + preemptionStopTime + restoreTime + lost
	wait := times(s.estimate, waitForRoomShare)
	if end <= s.tooLate && delayed > s.tooLate || end <= s.late && delayed+wait > s.late {
		return victim{}, false
	}
	worth := s.density
	switch {
	case end > s.tooLate:
		worth *= tooLateWorth
	case end > s.late:
		worth *= lateWorth
	}
	processors := float64(t.spec.Need.Processors) / processorUnit
	cost := (lost + restoreTime).Seconds() * processors * worth
	return victim{e, s.queue.Priority, lost.Seconds() * processors, cost}, true
}
