package worker

import (
	"cmp"
	"slices"
)

// sizeDecayReports is the divisor by which a learned size decays: each report of a
// task with lower usage reduces the size by at most 1/sizeDecayReports of it. A
// learned size follows higher usage at once.
const sizeDecayReports = 512

// learnSizes updates the learned sizes by class, and the excess usage of a worker,
// from the worker's newest report.
func (c *Cell) learnSizes(w *workerRow) {
	w.excess = Resources{}
	for i := range w.report.Tasks {
		t := &w.report.Tasks[i]
		j := c.jobs.Get(t.Job)
		if j == nil || t.Usage == nil || t.State != TaskRunning {
			continue
		}
		used := Resources{Processors: t.Usage.Processors, Memory: t.Usage.Memory}
		c.learnedSizes[j.Class] = decayedMax(c.learnedSizes[j.Class], used)
		if w.tasks[t.Job] && j.Attempt == t.Attempt {
			w.excess = w.excess.Plus(used.Minus(j.Size).Max(Resources{}))
		}
	}
}

func decayedMax(old, used Resources) Resources {
	return Resources{
		Processors: max(used.Processors, old.Processors-old.Processors/sizeDecayReports),
		Memory:     max(used.Memory, old.Memory-old.Memory/sizeDecayReports),
	}
}

// reservedSize returns the capacity to reserve for j: the larger of the declared and
// the learned size, but not more than a VM and the team's quota can hold.
func (c *Cell) reservedSize(j *Job) Resources {
	learned := c.learnedSizes[j.Class]
	if learned == (Resources{}) {
		return j.Need
	}
	learned = learned.Min(c.quotas.limit(j.Team))
	size := j.Need
	for _, capacity := range c.capacities {
		if larger := j.Need.Max(learned.Min(capacity)); larger.Fits(capacity) {
			size = size.Max(larger)
			break
		}
	}
	return size
}

// updateCapacities updates the distinct capacities of the workers, sorted with the
// most memory first.
func (c *Cell) updateCapacities() {
	c.capacities = c.capacities[:0]
	for _, w := range c.workers.All {
		if w.report != nil && !slices.Contains(c.capacities, w.capacity) {
			c.capacities = append(c.capacities, w.capacity)
		}
	}
	slices.SortFunc(c.capacities, func(a, b Resources) int {
		return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(b.Slots, a.Slots))
	})
}

// fitsAnyWorker reports whether need fits within the whole capacity of some worker.
func (c *Cell) fitsAnyWorker(need Resources) bool {
	return slices.ContainsFunc(c.capacities, need.Fits)
}
