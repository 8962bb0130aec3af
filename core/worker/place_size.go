package worker

import (
	"cmp"
	"slices"
)

// Learnt sizes follow a rise at once and a fall over about this many reports.
const sizeMemory = 512

// learnSizes takes in the usage of a worker's newest report.
func (c *Cell) learnSizes(w *workerRow) {
	w.excess = Resources{}
	for i := range w.report.Tasks {
		t := &w.report.Tasks[i]
		j := c.jobs.Get(t.Job)
		if j == nil || t.Usage == nil || t.State != TaskRunning {
			continue
		}
		used := Resources{Processors: t.Usage.Processors, Memory: t.Usage.Memory}
		c.sizes[j.Class] = learnt(c.sizes[j.Class], used)
		if w.tasks[t.Job] && j.Attempt == t.Attempt {
			w.excess = w.excess.Plus(used.Minus(j.Size).Max(Resources{}))
		}
	}
}

func learnt(old, used Resources) Resources {
	return Resources{
		Processors: max(used.Processors, old.Processors-old.Processors/sizeMemory),
		Memory:     max(used.Memory, old.Memory-old.Memory/sizeMemory),
	}
}

// size returns the room to reserve for j: the larger of the declared and the
// learnt size, but no more than a VM and the team's quota can hold.
func (c *Cell) size(j *Job) Resources {
	s := c.sizes[j.Class]
	if s == (Resources{}) {
		return j.Need
	}
	s = s.least(c.quotas.limit(j.Team))
	size := j.Need
	for _, shape := range c.shapes {
		if larger := j.Need.Max(s.least(shape)); larger.Fits(shape) {
			size = size.Max(larger)
			break
		}
	}
	return size
}

// noteShapes lists the distinct capacities of the workers, most memory first.
func (c *Cell) noteShapes() {
	c.shapes = c.shapes[:0]
	for _, w := range c.workers.All {
		if w.report != nil && !slices.Contains(c.shapes, w.capacity) {
			c.shapes = append(c.shapes, w.capacity)
		}
	}
	slices.SortFunc(c.shapes, func(a, b Resources) int {
		return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(b.Slots, a.Slots))
	})
}

// holdable reports whether some worker could hold need if it were empty.
func (c *Cell) holdable(need Resources) bool {
	return slices.ContainsFunc(c.shapes, need.Fits)
}
