package worker

import (
	"cmp"
	"slices"
	"time"

	"rosemarygap/core/status"
)

// Limits on preemptions for urgent jobs.
const (
	preemptionBurst      = 64
	preemptionsPerSecond = 16
	// maxVictimWorkers is how many workers with sufficient victims are compared.
	maxVictimWorkers = 16
)

// eviction is a decision to stop an attempt whose job will be resumed later.
type eviction struct {
	attempt int
	reason  status.Code
}

// evictionState contains the evictions and throttles in force, and the budget of
// preemptions. It is not durable: a new owner learns from the reports of workers
// which attempts have stopped, and decides anew on all other evictions and on
// throttles.
type evictionState struct {
	evicting         map[string]eviction
	throttles        map[string]int
	preemptionTokens float64
	lastRefill       time.Time
}

func newEvictionState() evictionState {
	return evictionState{
		evicting:         make(map[string]eviction),
		throttles:        make(map[string]int),
		preemptionTokens: preemptionBurst,
	}
}

func (c *Cell) isEvicting(j *JobRow) bool {
	e, ok := c.evicting[j.ID]
	return ok && e.attempt == j.Attempt
}

// Evict requests that the current attempt of a running, non-urgent job write a
// checkpoint and stop. The job keeps its reserved capacity until the stop is
// confirmed, and is then queued again. Evict reports whether the request is new.
func (c *Cell) Evict(job string) bool {
	j := c.jobs.Get(job)
	if j == nil || j.State != Running || j.Cancelling || c.urgentClasses[j.Class] || c.isEvicting(j) {
		return false
	}
	c.evicting[job] = eviction{j.Attempt, ReasonEvicted}
	c.workers.Get(j.Worker).changed = true
	return true
}

// Throttle limits a running, non-urgent job to a share of its processors, in
// thousandths; 0 removes the limit. It reports whether the limit changed.
func (c *Cell) Throttle(job string, milli int) bool {
	j := c.jobs.Get(job)
	if j == nil || j.State != Running || c.urgentClasses[j.Class] || c.throttles[job] == milli {
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

// Task is a running attempt, as an input of the interference policy.
type Task struct {
	Job, Class, Worker string
	Urgent, Evicting   bool
	Evictions          int
	// Throttle is the share of its processors that the task may use, in
	// thousandths; 0 means all.
	Throttle int
}

// Tasks calls yield for each running attempt until it returns false.
func (c *Cell) Tasks(yield func(Task) bool) {
	for id, w := range c.workers.All {
		for _, job := range sortedKeys(w.tasks) {
			j := c.jobs.Get(job)
			t := Task{Job: job, Class: j.Class, Worker: id, Urgent: c.urgentClasses[j.Class],
				Evicting: c.isEvicting(j), Evictions: j.Evictions, Throttle: c.throttles[job]}
			if !yield(t) {
				return
			}
		}
	}
}

// planPreemptions evicts non-urgent jobs to make room for the urgent jobs that found
// none. The room becomes available only when the stops are confirmed.
func (c *Cell) planPreemptions(p *placementPass) {
	if len(p.blockedUrgent) == 0 {
		return
	}
	c.refillPreemptionTokens(p.now)
	expected := c.expectedRoom(p)
	for _, j := range p.blockedUrgent {
		size := c.reservedSize(&j.Job)
		if p.reserveExpected(expected, j, size) {
			continue
		}
		leaf, victims := c.cheapestVictims(p, expected, j, size)
		if victims == nil || float64(len(victims)) > c.preemptionTokens {
			continue
		}
		c.preemptionTokens -= float64(len(victims))
		for _, v := range victims {
			c.Evict(v.ID)
			expected[leaf] = expected[leaf].Plus(v.Size)
		}
		p.reserveFor(expected, leaf, size)
	}
}

// reserveFor reserves room on a worker for an urgent job for the rest of the tick, so
// that no other job takes the freed room first. A later tick in which the job still
// waits reserves room again.
func (p *placementPass) reserveFor(expected []Resources, leaf int, size Resources) {
	expected[leaf] = expected[leaf].Minus(size)
	p.rooms.reserve(leaf, size)
}

func (c *Cell) refillPreemptionTokens(now time.Time) {
	if !c.lastRefill.IsZero() {
		c.preemptionTokens = min(preemptionBurst, c.preemptionTokens+now.Sub(c.lastRefill).Seconds()*preemptionsPerSecond)
	}
	c.lastRefill = now
}

// expectedRoom returns the room of each worker in the room index once all pending
// stops are confirmed.
func (c *Cell) expectedRoom(p *placementPass) []Resources {
	expected := make([]Resources, len(p.rooms.leaves))
	for i, l := range p.rooms.leaves {
		expected[i] = l.room
		for id := range l.worker.tasks {
			if j := c.jobs.Get(id); j.Cancelling || c.isEvicting(j) {
				expected[i] = expected[i].Plus(j.Size)
			}
		}
	}
	return expected
}

// reserveExpected reserves room for j that is free or about to be freed, and reports
// whether a worker has enough of it.
func (p *placementPass) reserveExpected(expected []Resources, j *JobRow, size Resources) bool {
	for i := range expected {
		if size.Fits(expected[i]) && p.cell.admits(p.rooms.leaves[i].worker, &j.Job) {
			p.reserveFor(expected, i, size)
			return true
		}
	}
	return false
}

// cheapestVictims returns a worker, as its index in the room index, and the
// non-urgent jobs to evict there for j. It returns no victims if no worker can make
// enough room by evictions.
func (c *Cell) cheapestVictims(p *placementPass, expected []Resources, j *JobRow, size Resources) (int, []*JobRow) {
	leaf, best, compared := -1, []*JobRow(nil), 0
	// The number of evictions varies the first worker, so that not every search
	// compares the same workers.
	start := len(c.evicting)
	for n := range expected {
		i := (start + n) % len(expected)
		w := p.rooms.leaves[i].worker
		if !size.Fits(w.capacity) || !c.admits(w, &j.Job) {
			continue
		}
		victims := c.chooseVictims(w, size.Minus(expected[i]))
		if victims == nil {
			continue
		}
		if best == nil || evictionCost(victims) < evictionCost(best) {
			leaf, best = i, victims
		}
		if compared++; compared == maxVictimWorkers {
			break
		}
	}
	return leaf, best
}

// chooseVictims returns non-urgent jobs on w that together free at least the missing
// resources, or nil if there are not enough. It prefers jobs with few evictions.
func (c *Cell) chooseVictims(w *workerRow, missing Resources) []*JobRow {
	var jobs []*JobRow
	for id := range w.tasks {
		j := c.jobs.Get(id)
		if !c.urgentClasses[j.Class] && !j.Cancelling && !c.isEvicting(j) {
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
		if reducesShortfall(j.Size, missing) {
			chosen = append(chosen, j)
			missing = missing.Minus(j.Size)
		}
	}
	if !missing.Fits(Resources{}) {
		return nil
	}
	return chosen
}

// reducesShortfall reports whether freeing size reduces the missing resources in
// some dimension.
func reducesShortfall(size, missing Resources) bool {
	return size.Processors > 0 && missing.Processors > 0 || size.Memory > 0 && missing.Memory > 0 ||
		size.Accelerators > 0 && missing.Accelerators > 0 || size.Slots > 0 && missing.Slots > 0
}

// evictionCost returns the cost of evicting the victims. It is lower for fewer
// victims and for victims with fewer earlier evictions.
func evictionCost(victims []*JobRow) int {
	cost := 0
	for _, v := range victims {
		cost += 1 + v.Evictions
	}
	return cost
}
