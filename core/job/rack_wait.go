package job

import (
	"slices"
	"time"
)

// maxRemoteDataFactor limits the factor of the settings: with a higher one, a task would
// wait for its rack for longer than any job can.
const maxRemoteDataFactor = 100

// WithRemoteDataFactor sets by which factor a task takes longer on a worker outside of
// the rack that holds its data. With a factor above 1, tasks of steps that name a rack are
// placed by their expected end. Any other value is ignored.
func WithRemoteDataFactor(factor float64) Option {
	return func(c *Cell) {
		if factor > 1 {
			c.remoteDataFactor = min(factor, maxRemoteDataFactor)
		}
	}
}

// usesExpectedEnd reports whether the tasks of s are placed by their expected end.
// Long-running tasks have none.
func (c *Cell) usesExpectedEnd(s *Step) bool {
	return c.remoteDataFactor > 1 && s.Rack != "" && !s.LongRunning
}

// rackFactor returns by which factor a task of s takes longer on w because of its data.
func (c *Cell) rackFactor(s *Step, w *workerRow) float64 {
	if c.usesExpectedEnd(s) && !slices.Contains(w.Labels, s.Rack) {
		return c.remoteDataFactor
	}
	return 1
}

// waitsForRack reports whether t waits for room in the rack of its data, as it is expected
// to end earlier there than on the worker elsewhere. Each task that waits claims the room
// that it waits for: when many tasks want one rack, the later ones start elsewhere.
func (c *Cell) waitsForRack(k *candidate, r *scorer, t *taskRow, elsewhere *scoredWorker) bool {
	s := k.step
	if !c.usesExpectedEnd(s.spec) || !r.isRemote(elsewhere.worker) {
		return false
	}
	estimate := s.spec.Estimate
	if estimate <= 0 {
		estimate = assumedTaskTime
	}
	if !s.rackWaitSince.IsZero() && r.now.Sub(s.rackWaitSince) >= times(estimate, c.remoteDataFactor-1) {
		return false
	}
	if c.risksObjective(k, r, elsewhere) {
		return false
	}
	best := r.takeRackRoom(k, t, r.now.Add(elsewhere.time))
	if best == nil {
		return false
	}
	if s.rackWaitSince.IsZero() {
		s.rackWaitSince = r.now
	}
	s.rackClaims = append(s.rackClaims, best)
	c.claimRoom(best, s.spec)
	return true
}

// rackRoom is room for one task on a worker in the rack of its data, and when the task is
// expected to end there.
type rackRoom struct {
	worker *workerRow
	end    time.Time
	taken  bool
}

// rackRooms are the rooms in which a task is expected to end before until, in order.
type rackRooms struct {
	until time.Time
	list  []rackRoom
}

// takeRackRoom returns the worker in the rack of its data on which t is expected to end
// first, or nil if t is not expected to end there before the given time. The tasks of a
// step differ only in where they may run, so their rooms are computed together.
func (r *scorer) takeRackRoom(k *candidate, t *taskRow, before time.Time) *workerRow {
	if r.rooms == nil || r.rooms.until.Before(before) {
		r.rooms = r.findRackRooms(k, before)
	}
	for i := range r.rooms.list {
		room := &r.rooms.list[i]
		if !room.end.Before(before) {
			return nil
		}
		if !room.taken && !slices.Contains(t.failedOn, room.worker.ID) && room.worker.allowsAnother(r.step, t.name) {
			room.taken = true
			return room.worker
		}
	}
	return nil
}

// findRackRooms returns the rooms in which a task would end before until, beside what is
// claimed.
func (r *scorer) findRackRooms(k *candidate, until time.Time) *rackRooms {
	out := &rackRooms{until: until}
	for _, w := range r.rackWorkers(k) {
		d := r.timeOn(w)
		latest := until.Add(-d)
		if latest.Before(r.now) {
			continue
		}
		r.cell.roomTimes(w, r.step, k.roomPriority(), k.step.waiting, r.cell.claims[w], r.now, latest, func(at time.Time) {
			out.list = append(out.list, rackRoom{worker: w, end: at.Add(d)})
		})
	}
	slices.SortStableFunc(out.list, func(a, b rackRoom) int { return a.end.Compare(b.end) })
	return out
}

// claimRoom claims room on w for a task that waits for it. Later steps of lower rank must
// leave that room: they would take what each end leaves, and the task would wait in vain.
func (c *Cell) claimRoom(w *workerRow, s *Step) {
	c.claims[w] = c.claims[w].plus(roomFor(s))
	c.rackWaits++
}

// keepRackClaims repeats the claims of a step that no changed worker has room for, or
// drops them if no worker has.
func (c *Cell) keepRackClaims(k *candidate, since int64) {
	if since == allWorkers {
		k.step.rackClaims = k.step.rackClaims[:0]
	}
	for _, w := range k.step.rackClaims {
		c.claimRoom(w, k.step.spec)
	}
}

// waitMargin is the share of the remaining time of a job by which a start elsewhere must
// meet the objective for its task to wait. Estimates are wrong by up to half.
const waitMargin = 0.5

// risksObjective reports whether the job is expected to meet its objective if the task
// starts elsewhere now, but might miss it if the task waited. The room that running tasks
// leave is often taken by tasks of higher priority that arrive meanwhile, so this only
// concerns jobs that are not of the highest priority: in the simulated load of many jobs
// that want one rack, half of them became late by waiting.
func (c *Cell) risksObjective(k *candidate, r *scorer, elsewhere *scoredWorker) bool {
	if k.queue.Priority == 0 {
		return false
	}
	remaining := c.runTimeRatios.remaining(k.job, k.occ) + elsewhere.time - r.runTime
	slack := k.deadline.Sub(r.now) - remaining
	return slack >= 0 && slack < times(remaining, waitMargin)
}

// rackWorkers returns the workers in the rack of the step's data that may get its tasks.
func (r *scorer) rackWorkers(k *candidate) []*workerRow {
	if r.rack == nil {
		r.rack = []*workerRow{}
		for _, w := range r.cell.workers.All {
			if slices.Contains(w.Labels, r.step.Rack) && r.cell.isUsable(w, k, r.now) && k.hasTicket(w, r.now) {
				r.rack = append(r.rack, w)
			}
		}
	}
	return r.rack
}

// stepSpread counts the tasks of a step by rack and by zone.
type stepSpread struct{ byRack, byZone map[string]int }

// rackOf returns the rack of w, which is its last label.
func rackOf(w *Worker) string {
	if n := len(w.Labels); n > 0 {
		return w.Labels[n-1]
	}
	return ""
}

// spreadOf returns where the tasks of the candidate's step run.
func (r *scorer) spreadOf(k *candidate) *stepSpread {
	if r.spread == nil {
		r.spread = &stepSpread{map[string]int{}, map[string]int{}}
		for i := range k.step.tasks {
			if t := &k.step.tasks[i]; t.state == taskAssigned {
				r.spread.add(t.worker)
			}
		}
	}
	return r.spread
}

func (s *stepSpread) add(w *workerRow) {
	s.byRack[rackOf(&w.Worker)]++
	s.byZone[w.Zone]++
}

// isLess reports whether the rack of a, or else its zone, has fewer tasks of the step than
// that of b. A lost rack or zone then takes fewer of them along.
func (s *stepSpread) isLess(a, b *workerRow) bool {
	if x, y := s.byRack[rackOf(&a.Worker)], s.byRack[rackOf(&b.Worker)]; x != y {
		return x < y
	}
	return s.byZone[a.Zone] < s.byZone[b.Zone]
}
