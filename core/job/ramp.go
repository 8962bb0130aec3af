package job

import "time"

// rampStep is the duration of each step of a ramp. Steps are longer than the half
// second between two reports, so the owner sees how the worker copes with a step
// before the next one.
const rampStep = time.Second

// rampProcessors returns how many processors of w tasks may reserve if a ramp began at
// begin: a quarter in the first step, half in the second, and all of them after that.
// When half of the workers of a deployment start at once, or a zone comes back, all
// waiting tasks would otherwise start there in one moment. The zero time means no ramp.
func (w *workerRow) rampProcessors(begin, now time.Time) int {
	switch elapsed := now.Sub(begin); {
	case begin.IsZero() || elapsed >= 2*rampStep:
		return w.Capacity.Processors
	case elapsed >= rampStep:
		return w.Capacity.Processors / 2
	default:
		return w.Capacity.Processors / 4
	}
}

// rampBegin returns when the newest ramp of w began, or the zero time: when w became cold
// or its zone was reopened after an evacuation.
func (c *Cell) rampBegin(w *workerRow) time.Time {
	return Later(w.coldSince, c.zoneReopenedAt(w.Zone))
}

// ramp limits the tasks on a worker whose ramp is not over.
type ramp struct {
	active     bool
	processors int
}

// rampOf returns the limit on the tasks of w.
func (c *Cell) rampOf(w *workerRow, now time.Time) ramp {
	begin := c.rampBegin(w)
	return ramp{!begin.IsZero() && now.Sub(begin) < 2*rampStep, w.rampProcessors(begin, now)}
}

// allows reports whether w may get one more task of s.
func (r ramp) allows(w *workerRow, s *Step) bool {
	return !r.active || w.used.Processors+w.bestEffortProcessors+s.Need.Processors <= r.processors
}
