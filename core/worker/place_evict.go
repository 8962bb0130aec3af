package worker

import (
	"cmp"
	"slices"
	"time"

	"rosemarygap/core/status"
)

// The budget of preemptions for urgent jobs.
const (
	preemptBurst  = 64
	preemptPerSec = 16
	// feasible is how many workers with victims are compared.
	feasible = 16
)

// eviction is a decision to stop an attempt that will be resumed.
type eviction struct {
	attempt int
	reason  status.Code
}

// evictions holds the stops and throttles in force. A new owner forgets them:
// a stop that reached the worker shows in its report, one that did not is
// decided again.
type evictions struct {
	evicting  map[string]eviction
	throttles map[string]int
	tokens    float64
	refilled  time.Time
}

func newEvictions() evictions {
	return evictions{
		evicting:  make(map[string]eviction),
		throttles: make(map[string]int),
		tokens:    preemptBurst,
	}
}

func (c *Cell) evictingRow(j *JobRow) bool {
	e, ok := c.evicting[j.ID]
	return ok && e.attempt == j.Attempt
}

// Evict has the current attempt of a running, non-urgent job stopped with a
// checkpoint. The job keeps its room until the stop is confirmed, and is then
// queued again. It reports whether the stop is new.
func (c *Cell) Evict(job string) bool {
	j := c.jobs.Get(job)
	if j == nil || j.State != Running || j.Cancelling || c.classes[j.Class] || c.evictingRow(j) {
		return false
	}
	c.evicting[job] = eviction{j.Attempt, ReasonEvicted}
	c.workers.Get(j.Worker).changed = true
	return true
}

// Throttle limits a running, non-urgent job to a share of its processors, in
// thousandths; 0 ends the limit. It reports whether the limit changed.
func (c *Cell) Throttle(job string, milli int) bool {
	j := c.jobs.Get(job)
	if j == nil || j.State != Running || c.classes[j.Class] || c.throttles[job] == milli {
		return false
	}
	if milli == 0 {
		delete(c.throttles, job)
	} else {
		c.throttles[job] = milli
	}
	c.workers.Get(j.Worker).changed = true
	return true
}

// Task is a running attempt as the policy of interference sees it.
type Task struct {
	Job, Class, Worker string
	Urgent, Evicting   bool
	Evictions          int
	// Throttle is the limit in thousandths, 0 for none.
	Throttle int
}

// Tasks calls yield for each running attempt until it returns false.
func (c *Cell) Tasks(yield func(Task) bool) {
	for id, w := range c.workers.All {
		for _, job := range sortedKeys(w.tasks) {
			j := c.jobs.Get(job)
			t := Task{Job: job, Class: j.Class, Worker: id, Urgent: c.classes[j.Class],
				Evicting: c.evictingRow(j), Evictions: j.Evictions, Throttle: c.throttles[job]}
			if !yield(t) {
				return
			}
		}
	}
}

// planPreemptions makes room for the urgent jobs that found none. The room
// counts only when the stops are confirmed.
func (c *Cell) planPreemptions(p *pass) {
	if len(p.blocked) == 0 {
		return
	}
	c.refill(p.now)
	coming := c.comingRoom(p)
	for _, j := range p.blocked {
		size := c.size(&j.Job)
		if p.takeComing(coming, j, size) {
			continue
		}
		leaf, victims := c.cheapestVictims(p, coming, j, size)
		if victims == nil || float64(len(victims)) > c.tokens {
			continue
		}
		c.tokens -= float64(len(victims))
		for _, v := range victims {
			c.Evict(v.ID)
			coming[leaf] = coming[leaf].Plus(v.Size)
		}
		p.keepFor(coming, leaf, size)
	}
}

// keepFor keeps room of a leaf for an urgent job until it can start, so that
// no other job takes what is freed first.
func (p *pass) keepFor(coming []Resources, leaf int, size Resources) {
	coming[leaf] = coming[leaf].Minus(size)
	p.rooms.take(leaf, size)
}

func (c *Cell) refill(now time.Time) {
	if !c.refilled.IsZero() {
		c.tokens = min(preemptBurst, c.tokens+now.Sub(c.refilled).Seconds()*preemptPerSec)
	}
	c.refilled = now
}

// comingRoom returns the room of each leaf once the stops under way are
// confirmed.
func (c *Cell) comingRoom(p *pass) []Resources {
	coming := make([]Resources, len(p.rooms.leaves))
	for i, l := range p.rooms.leaves {
		coming[i] = l.room
		for id := range l.worker.tasks {
			if j := c.jobs.Get(id); j.Cancelling || c.evictingRow(j) {
				coming[i] = coming[i].Plus(j.Size)
			}
		}
	}
	return coming
}

// takeComing reserves room that is about to be freed.
func (p *pass) takeComing(coming []Resources, j *JobRow, size Resources) bool {
	for i := range coming {
		if size.Fits(coming[i]) && p.cell.admits(p.rooms.leaves[i].worker, &j.Job) {
			p.keepFor(coming, i, size)
			return true
		}
	}
	return false
}

// cheapestVictims returns a worker and the non-urgent jobs to evict there for
// j, or no victims if no worker can hold it.
func (c *Cell) cheapestVictims(p *pass, coming []Resources, j *JobRow, size Resources) (int, []*JobRow) {
	leaf, best, seen := -1, []*JobRow(nil), 0
	start := len(c.evicting)
	for n := range coming {
		i := (start + n) % len(coming)
		w := p.rooms.leaves[i].worker
		if !size.Fits(w.capacity) || !c.admits(w, &j.Job) {
			continue
		}
		victims := c.victims(w, size.Minus(coming[i]))
		if victims == nil {
			continue
		}
		if best == nil || evictionCost(victims) < evictionCost(best) {
			leaf, best = i, victims
		}
		if seen++; seen == feasible {
			break
		}
	}
	return leaf, best
}

// victims returns non-urgent jobs of w that hold at least what is missing, or
// nil. Jobs that were evicted before come last.
func (c *Cell) victims(w *workerRow, missing Resources) []*JobRow {
	var jobs []*JobRow
	for id := range w.tasks {
		j := c.jobs.Get(id)
		if !c.classes[j.Class] && !j.Cancelling && !c.evictingRow(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *JobRow) int {
		return cmp.Or(cmp.Compare(a.Evictions, b.Evictions),
			cmp.Compare(b.Size.Processors, a.Size.Processors), cmp.Compare(a.ID, b.ID))
	})
	var chosen []*JobRow
	for _, j := range jobs {
		if missing.Fits(Resources{}) {
			break
		}
		if helps(j.Size, missing) {
			chosen = append(chosen, j)
			missing = missing.Minus(j.Size)
		}
	}
	if !missing.Fits(Resources{}) {
		return nil
	}
	return chosen
}

// helps reports whether size reduces what is missing in some dimension.
func helps(size, missing Resources) bool {
	return size.Processors > 0 && missing.Processors > 0 || size.Memory > 0 && missing.Memory > 0 ||
		size.Accelerators > 0 && missing.Accelerators > 0 || size.Slots > 0 && missing.Slots > 0
}

// evictionCost prefers few victims and such that were never evicted.
func evictionCost(victims []*JobRow) int {
	cost := 0
	for _, v := range victims {
		cost += 1 + v.Evictions
	}
	return cost
}
