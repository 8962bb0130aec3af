package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of reservations.
const (
	// wideStepTasks is the number of tasks from which a step that is placed by its expected
	// end reserves room for all of them. Narrower steps find room after one or two ends.
	wideStepTasks = 16
	// maxReservingSteps limits the steps that reserve at a time. Under overload, tens of
	// steps wait; those of the highest rank are next.
	maxReservingSteps = 8
	// maxReservedWait is the longest expected wait for the room of a worker for it to be
	// reserved, apart from the room that the step needs to make progress at all. Rooms that
	// come later are of no use to jobs of seconds.
	maxReservedWait = time.Minute
	// maxReleaseWait is longer than any task runs: the room that a step needs to make
	// progress is reserved however late it comes.
	maxReleaseWait = 1000 * time.Hour
	// reservationMaxAge is how long a choice of reserved workers is kept.
	reservationMaxAge = 100 * time.Millisecond
)

// reservation is the room that waiting tasks of a step keep from later steps of lower rank.
// Without it, narrow steps whose tasks need less take what each end leaves, and no worker
// ever has enough room for a task of the wide step.
type reservation struct {
	// since is when the step began to wait for room, or zero. Unless the step reserves for
	// all its tasks, a start ends the wait: the step makes progress.
	since time.Time
	// chosenAt is when claims was chosen.
	chosenAt time.Time
	claims   []claim
}

// claim is the room that a step keeps on a worker.
type claim struct {
	worker *workerRow
	room   room
}

// reserveRoom records that no worker has room for a task of the candidate, or for all
// members of a gang, and reserves room once the step has waited for longer than its
// estimate.
func (c *Cell) reserveRoom(k *candidate, r *scorer) {
	least, most := c.tasksToReserve(k)
	if most == 0 || !c.policy.reserves {
		return
	}
	v := &k.step.reservation
	if v.since.IsZero() {
		v.since = r.now
	}
	if r.now.Sub(v.since) <= k.step.spec.Estimate || c.reservingSteps >= maxReservingSteps {
		return
	}
	if v.chosenAt.IsZero() || r.now.Sub(v.chosenAt) >= reservationMaxAge {
		v.chosenAt, v.claims = r.now, claimsFor(k, c.placesToReserve(k, r, least, most))
	}
	if len(v.claims) > 0 {
		c.reservingSteps++
	}
	for _, o := range v.claims {
		c.claims[o.worker] = c.claims[o.worker].plus(o.room)
	}
}

// claimsFor returns the room for tasks of the candidate at the given places, by worker.
func claimsFor(k *candidate, places []reservablePlace) []claim {
	out := make([]claim, 0, len(places))
	index := map[*workerRow]int{}
	for _, p := range places {
		i, ok := index[p.worker]
		if !ok {
			i = len(out)
			index[p.worker] = i
			out = append(out, claim{p.worker, room{processors: urgentReserve(p.worker, k.step.spec, k.roomPriority())}})
		}
		out[i].room = out[i].room.plus(roomFor(k.step.spec))
	}
	return out
}

// urgentReserve returns the processors that must stay free on w beside a task of s. Without
// them in what is claimed, a narrow task could take them, and the claimed room would not do.
func urgentReserve(w *workerRow, s *Step, priority int) int {
	if priority == 0 || s.BestEffort {
		return 0
	}
	return min(urgentReserveMilli, max(0, w.Capacity.Processors-s.Need.Processors))
}

// tasksToReserve returns for how many waiting tasks the candidate reserves room: least is
// the number without which the step makes no progress, and most the number for which it
// reserves if the room comes soon. Both are 0 if the candidate reserves none.
//
// With fair shares, the tasks of other accounts that are narrower would take each processor
// that becomes free, so every step reserves what it needs while room is scarce.
func (c *Cell) tasksToReserve(k *candidate) (least, most int) {
	s := k.step
	least = 1
	if s.spec.Gang {
		least = s.waiting
	}
	switch {
	case c.reservesForAll(k):
		return least, s.waiting
	case c.shares != nil && k.scarce:
		return least, least
	}
	return 0, 0
}

// reservesForAll reports whether the candidate reserves for all its waiting tasks: it is wide,
// its tasks are placed by their expected end, of which the last one is that of the job, and
// the result of the job still has a value.
func (c *Cell) reservesForAll(k *candidate) bool {
	s := k.step.spec
	return c.usesExpectedEnd(s) && s.Tasks >= wideStepTasks && k.timeliness != tooLate
}

// recordStart records that a task of the candidate starts.
func (c *Cell) recordStart(k *candidate) {
	if !c.reservesForAll(k) {
		k.step.reservation.since = time.Time{}
	}
}

// reservablePlace is room for a task on a worker, and when the task is expected to end there.
type reservablePlace struct {
	worker *workerRow
	end    time.Time
	// isLate is true if the room is expected after maxReservedWait, or the task would
	// interfere with serving tasks there.
	isLate bool
}

// placesToReserve returns the places at which the waiting tasks of the candidate are expected
// to end first. It returns none if the workers will not have room for the least number of
// tasks however long the step waits.
func (c *Cell) placesToReserve(k *candidate, r *scorer, least, most int) []reservablePlace {
	places := c.reservablePlaces(k, r)
	if len(places) < least {
		return nil
	}
	slices.SortFunc(places, func(a, b reservablePlace) int {
		return cmp.Or(cmp.Compare(boolRank(a.isLate), boolRank(b.isLate)), a.end.Compare(b.end), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	n := min(len(places), most)
	for n > least && places[n-1].isLate {
		n--
	}
	return places[:n]
}

// reservablePlaces returns the places for tasks of the candidate beside what is claimed: one
// on each worker, or more for a gang, which needs room for all of its tasks at a time.
func (c *Cell) reservablePlaces(k *candidate, r *scorer) []reservablePlace {
	var out []reservablePlace
	s := k.step.spec
	perWorker := 1
	if s.Gang {
		perWorker = k.step.waiting
	}
	if s.MaxPerWorker > 0 {
		perWorker = min(perWorker, s.MaxPerWorker)
	}
	for _, w := range c.workers.All {
		if !c.isUsable(w, k, r.now) || !k.hasTicket(w, r.now) {
			continue
		}
		o := scoredWorker{worker: w}
		r.setScore(&o)
		d := r.timeOn(w)
		c.roomTimes(w, s, k.roomPriority(), perWorker, c.claims[w], r.now, r.now.Add(maxReleaseWait), func(at time.Time) {
			out = append(out, reservablePlace{w, at.Add(d), o.interferes || at.Sub(r.now) > maxReservedWait})
		})
	}
	return out
}

// fitsBeside reports whether w has room for one more task of s beside the claimed room.
func (w *workerRow) fitsBeside(claimed room, s *Step) bool {
	if claimed == (room{}) {
		return true
	}
	left, need := w.room().minus(claimed), roomFor(s)
	return left.free >= need.free && left.memory >= need.memory && left.accelerators >= need.accelerators &&
		(s.BestEffort || left.processors >= need.processors)
}
