package job

import (
	"slices"
	"time"
)

// victimSet is a set of tasks on a worker that make room for tasks of a candidate.
type victimSet struct {
	occupancy *occupancy
	victims   []victim
	// tasks is the number of tasks of the candidate for which the set makes room.
	tasks int
	cost  float64
}

// victim is a task that may be stopped, with its cost.
type victim struct {
	task      *taskRow
	priority  int
	freed     Resources
	remaining time.Duration
	// lost is the work in processor seconds that must be done again.
	lost, cost float64
}

// isCheaper reports whether s costs less than other for each of the needed tasks.
func (s *victimSet) isCheaper(other *victimSet, needed int) bool {
	a, b := s.cost/float64(min(s.tasks, needed)), other.cost/float64(min(other.tasks, needed))
	if a != b {
		return a < b
	}
	return s.occupancy.worker.ID < other.occupancy.worker.ID
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
	freed := d.endsInTime(o)
	before := d.roomOn(w, freed)
	n := 0
	for ; n < len(o.victims) && d.roomOn(w, freed) <= before; n++ {
		if v := o.cheapest(n); d.mayStop(v) {
			freed = freed.Plus(v.freed)
		}
	}
	if d.roomOn(w, freed) <= before {
		return victimSet{}, false
	}
	set := victimSet{occupancy: o}
	for _, v := range slices.Backward(o.victims[:n]) {
		if !d.mayStop(&v) {
			continue
		}
		if without := freed.Minus(v.freed); d.roomOn(w, without) > before {
			freed = without
			continue
		}
		set.victims = append(set.victims, v)
		set.cost += v.cost
	}
	set.tasks = d.roomOn(w, freed) - before
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
	lost := d.now.Sub(t.orderedAt)
	if t.spec.Checkpoints && t.checkpoint != "" {
		lost = min(lost, d.now.Sub(t.checkpointAt))
	}
	end := d.now.Add(e.remaining + s.after)
	delayed := end.Add(preemptionStopTime + restoreTime + lost)
	if !end.After(s.tooLateAt) && delayed.After(s.tooLateAt) {
		return victim{}, false
	}
	worth := s.density
	switch {
	case end.After(s.tooLateAt):
		worth *= tooLateWorth
	case end.After(s.lateAt):
		worth *= lateWorth
	}
	processors := float64(t.spec.Need.Processors) / processorUnit
	cost := (lost + restoreTime).Seconds() * processors * worth
	return victim{t, s.queue.Priority, e.freed, e.remaining, lost.Seconds() * processors, cost}, true
}
