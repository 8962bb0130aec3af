package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the expected ends of running tasks.
const (
	// releasesMaxAge is how old the expected ends of a worker's tasks may be. Workers
	// are listed every half second, so they change little within this time.
	releasesMaxAge = 100 * time.Millisecond
	// minProgressPercent is how much progress a task must have made for its end to be
	// expected by it. Before that, the end follows from the estimate.
	minProgressPercent = 10
	// overdueShare is the share of its run time that a task is expected to take still
	// when it should have ended: estimates are wrong by up to half.
	overdueShare = 0.1
)

// room is an amount of what tasks need on a worker. Best-effort tasks need processors
// that other tasks leave unused, which count as free.
type room struct {
	processors, free int
	memory           int64
	accelerators     int
}

// roomFor returns the room that a task of s takes.
func roomFor(s *Step) room {
	r := room{free: s.Need.Processors, memory: s.Need.Memory, accelerators: s.Need.Accelerators}
	if !s.BestEffort {
		r.processors = s.Need.Processors
	}
	return r
}

func (r room) plus(o room) room {
	return room{r.processors + o.processors, r.free + o.free, r.memory + o.memory, r.accelerators + o.accelerators}
}

func (r room) minus(o room) room {
	return room{r.processors - o.processors, r.free - o.free, r.memory - o.memory, r.accelerators - o.accelerators}
}

// room returns the room that the tasks of w leave.
func (w *workerRow) room() room {
	return room{w.Capacity.Processors - w.used.Processors, w.freeProcessors(), w.Capacity.Memory - w.used.Memory, w.Capacity.Accelerators - w.used.Accelerators}
}

// fits reports whether r on w is enough for one more task of s, by the rules of hasRoom.
func (r room) fits(w *workerRow, s *Step, priority int) bool {
	if r.memory < s.Need.Memory || r.accelerators < s.Need.Accelerators {
		return false
	}
	if s.BestEffort {
		return r.free >= s.Need.Processors
	}
	return r.processors >= s.Need.Processors+urgentReserve(w, s, priority)
}

// release is the expected end of a run and the room that it leaves.
type release struct {
	at   time.Time
	room room
}

// expectedReleases holds the expected ends of the tasks of a worker, in order.
type expectedReleases struct {
	at   time.Time
	list []release
}

// releasesOf returns the expected ends of the tasks of w that end. It keeps them until
// they are too old or the tasks of w change.
func (c *Cell) releasesOf(w *workerRow, now time.Time) []release {
	p := &w.releases
	if !p.at.IsZero() && now.Sub(p.at) < releasesMaxAge {
		return p.list
	}
	p.at, p.list = now, p.list[:0]
	for _, t := range w.tasks {
		if !t.spec.LongRunning {
			p.list = append(p.list, release{now.Add(c.remainingTime(w, t, now)), roomFor(t.spec)})
		}
	}
	slices.SortFunc(p.list, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.room.free, b.room.free), cmp.Compare(a.room.processors, b.room.processors),
			cmp.Compare(a.room.memory, b.room.memory), cmp.Compare(a.room.accelerators, b.room.accelerators))
	})
	return p.list
}

// remainingTime returns how long the run of t on w is expected to take still.
func (c *Cell) remainingTime(w *workerRow, t *taskRow, now time.Time) time.Duration {
	if done := t.percent - t.firstPercent; t.running && done >= minProgressPercent && !w.isCold(now) {
		return now.Sub(t.firstListed) * time.Duration(max(1, fullPercent-t.percent)) / time.Duration(done)
	}
	d := t.spec.Estimate
	if j := c.jobs.Get(t.name.Job); j != nil {
		d = c.runTimeRatios.expected(j.Queue, t.spec)
	}
	if d <= 0 {
		d = assumedTaskTime
	}
	d = c.coldTime(w, times(d, c.rackFactor(t.spec, w)), t.orderedAt)
	return max(d-now.Sub(t.orderedAt), times(d, overdueShare))
}

// roomTimes calls yield with the expected times at which w has room for the first, the
// second and so on of the given number of tasks of s, beside what is claimed. It leaves out
// times after until.
func (c *Cell) roomTimes(w *workerRow, s *Step, priority, tasks int, claimed room, now, until time.Time, yield func(time.Time)) {
	left, at := w.room().minus(claimed), now
	list := c.releasesOf(w, now)
	for tasks > 0 {
		if left.fits(w, s, priority) {
			yield(at)
			left = left.minus(roomFor(s))
			tasks--
			continue
		}
		if len(list) == 0 || list[0].at.After(until) {
			return
		}
		left, at = left.plus(list[0].room), Later(at, list[0].at)
		list = list[1:]
	}
}
