package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of reservations.
const (
	// wideStepTasks is the number of tasks from which a step reserves room. Narrower
	// steps find room after one or two ends.
	wideStepTasks = 16
	// maxReservingSteps limits the steps that reserve at a time. Under overload, tens of
	// steps wait; those of the highest rank are next.
	maxReservingSteps = 8
	// maxReservedWait is the longest expected wait for the room of a worker for it to be
	// reserved. Rooms that come later are of no use to jobs of seconds.
	maxReservedWait = time.Minute
	// reservationMaxAge is how long a choice of reserved workers is kept.
	reservationMaxAge = 100 * time.Millisecond
)

// reservation is the room that waiting tasks of a step keep from later steps of lower rank.
// Without it, narrow steps whose tasks need less take what each end leaves, and no worker
// ever has enough room for a task of the wide step.
type reservation struct {
	// since is when the step began to wait for room, or zero.
	since time.Time
	// chosenAt is when workers was chosen; it has a worker once for each task.
	chosenAt time.Time
	workers  []*workerRow
}

// waitForRoom records that no worker has room for a task of the candidate, and reserves
// room once the step has waited for longer than its estimate, unless the result of the
// job has no value any more.
func (c *Cell) waitForRoom(k *candidate, r *scorer) {
	s := k.step
	if !c.usesExpectedEnd(s.spec) || s.spec.Tasks < wideStepTasks || k.timeliness == tooLate {
		return
	}
	v := &s.reservation
	if v.since.IsZero() {
		v.since = r.now
	}
	if r.now.Sub(v.since) <= s.spec.Estimate || c.reservingSteps >= maxReservingSteps {
		return
	}
	c.reservingSteps++
	if v.chosenAt.IsZero() || r.now.Sub(v.chosenAt) >= reservationMaxAge {
		v.chosenAt, v.workers = r.now, c.workersToReserve(k, r)
	}
	for _, w := range v.workers {
		c.reserved[w] = c.reserved[w].plus(roomFor(s.spec))
	}
}

// workersToReserve returns the workers on which the waiting tasks of the candidate are
// expected to end first: one for each task, and each worker once unless the step is a gang,
// which needs room for all of its tasks at a time.
func (c *Cell) workersToReserve(k *candidate, r *scorer) []*workerRow {
	type place struct {
		worker *workerRow
		end    time.Time
	}
	var places []place
	perWorker := 1
	if k.step.spec.Gang {
		perWorker = k.step.waiting
	}
	if n := k.step.spec.MaxPerWorker; n > 0 {
		perWorker = min(perWorker, n)
	}
	for _, w := range c.workers.All {
		if !c.isUsable(w, k, r.now) || k.queue.RequiresTicket && k.step.tickets.byWorker[w.ID] == "" {
			continue
		}
		o := scoredWorker{worker: w}
		if r.setScore(&o); o.interferes {
			continue
		}
		c.roomTimes(w, k.step.spec, k.queue.Priority, perWorker, c.reserved[w], r.now, r.now.Add(maxReservedWait), func(at time.Time) {
			places = append(places, place{w, at.Add(o.time)})
		})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(a.end.Compare(b.end), cmp.Compare(a.worker.ID, b.worker.ID)) })
	out := make([]*workerRow, 0, k.step.waiting)
	for _, p := range places[:min(len(places), k.step.waiting)] {
		out = append(out, p.worker)
	}
	return out
}

// fitsBeside reports whether w has room for one more task of s beside the reserved room.
func (w *workerRow) fitsBeside(reserved room, s *Step) bool {
	if reserved == (room{}) {
		return true
	}
	left, need := w.room().minus(reserved), roomFor(s)
	return left.free >= need.free && left.memory >= need.memory && left.accelerators >= need.accelerators &&
		(s.BestEffort || left.processors >= need.processors)
}
