package job

import (
	"time"
)

// Parameters of the model of interference.
const (
	// unloadedTail is the tail latency of an idle serving task as a share of
	// its target; the sheets' targets are six times the unloaded tail.
	unloadedTail = 1.0 / 6
	// maxBusy bounds the utilization that a tail shows: tails of fifteen times
	// the target have been seen, which say no more than six times does.
	maxBusy = 0.98
	// pressureRate and loadRate are the shares of a surprise that one look
	// gives to the images beside and to the load. On recorded looks they found
	// the harmful pairs within 12 s.
	pressureRate = 0.15
	loadRate     = 0.3
	// maxPressure bounds the effect of one processor.
	maxPressure = 0.5
	// peakDecay is the share of the distance to the load by which its recent
	// peak falls with each look; loads swing within 10 to 20 s.
	peakDecay = 0.02
	// learnEvery is the least time between two looks at one worker, whose
	// figures cover half a second.
	learnEvery = 350 * time.Millisecond
)

// Busy returns the utilization that a tail latency shows, as in a queue whose
// delay grows with 1/(1-utilization). Its input is a share of the target.
func Busy(tail float64) float64 {
	if tail <= unloadedTail {
		return 0
	}
	return min(maxBusy, 1-unloadedTail/tail)
}

// Bounds of utilization that throttling and placement keep to.
const (
	// BusyLimit is where a tail is at its target.
	BusyLimit = 0.835
	// BusyCalm is where throttled tasks may work more; a load changes by
	// 0.03 between two looks.
	BusyCalm = 0.80
)

// pair is a serving image beside a filling one.
type pair struct{ serving, filling string }

// load is the utilization of one serving job without pressure.
type load struct{ level, peak float64 }

// pressureModel learns how much utilization each filling image, for each
// processor that it uses, adds to each serving image on the same worker. The
// tasks of one serving job share a load that swings, so what differs between
// them at one time is due to what works beside them. Load: builds of many
// images beside feeds of a few, of which some pairs are harmless at any amount
// and others ruin the tail at once.
type pressureModel struct {
	perProcessor map[pair]float64
	loads        map[string]load
}

func newPressureModel() pressureModel {
	return pressureModel{map[pair]float64{}, map[string]load{}}
}

// usage is how many processors each filling image uses on one worker.
type usage map[string]float64

// predict returns the pressure of u on a serving image.
func (m pressureModel) predict(serving string, u usage) float64 {
	sum := 0.0
	for image, processors := range u {
		sum += m.perProcessor[pair{serving, image}] * processors
	}
	return sum
}

// observe takes in the utilization of the tasks of a serving job on one
// worker, beside u.
func (m pressureModel) observe(job, serving string, busy float64, u usage) {
	pressure := m.predict(serving, u)
	l, ok := m.loads[job]
	if !ok {
		l.level = max(0, busy-pressure)
	}
	surprise := busy - l.level - pressure
	l.level += loadRate * surprise
	l.peak = max(l.level, l.peak-peakDecay*(l.peak-l.level))
	m.loads[job] = l
	norm := 1.0
	for _, processors := range u {
		norm += processors * processors
	}
	for image, processors := range u {
		k := pair{serving, image}
		v := m.perProcessor[k] + pressureRate*surprise*processors/norm
		m.perProcessor[k] = min(maxPressure, max(0, v))
	}
}

// Units of figures.
const (
	// processorUnit is one processor in thousandths.
	processorUnit = 1000
	fullPercent   = 100
)

// servingJob is a job with the image of its serving tasks on one worker.
type servingJob struct{ job, image string }

// learn takes in the figures of a report.
func (c *Cell) learn(w *workerRow, r *Report, now time.Time) {
	if now.Sub(w.learnt) < learnEvery {
		return
	}
	w.learnt = now
	u := usage{}
	sums, counts := map[servingJob]float64{}, map[servingJob]float64{}
	for i := range r.Running {
		row := &r.Running[i]
		_, s, t := c.find(row.Task)
		switch {
		case t == nil:
		case s.spec.Fills:
			u[s.spec.Image] += float64(row.Load) / processorUnit
		case s.spec.TailTarget > 0 && row.Percent == fullPercent:
			tail := float64(time.Duration(row.Load)*time.Millisecond) / float64(s.spec.TailTarget)
			k := servingJob{t.name.Job, s.spec.Image}
			sums[k] += Busy(tail)
			counts[k]++
		}
	}
	for k, sum := range sums {
		c.pressure.observe(k.job, k.image, sum/counts[k], u)
	}
}

// beside returns the serving jobs on w and the processors that each filling
// image there asks for.
func (w *workerRow) beside(c *Cell) (serving map[servingJob]int, filling usage) {
	serving, filling = map[servingJob]int{}, usage{}
	for name := range w.tasks {
		spec := &c.jobs.Get(name.Job).Steps[name.Step]
		switch {
		case spec.TailTarget > 0:
			serving[servingJob{name.Job, spec.Image}]++
		case spec.Fills:
			filling[spec.Image] += float64(spec.Need.Processors) / processorUnit
		}
	}
	return serving, filling
}

// strain returns by how much the busiest serving task of w would exceed the
// limit once a task like s works beside it, and the pressure that it adds.
func (c *Cell) strain(w *workerRow, s *Step) (excess, added float64) {
	serving, filling := w.beside(c)
	one := usage{s.Image: float64(s.Need.Processors) / processorUnit}
	for k := range serving {
		more := c.pressure.predict(k.image, one)
		l := c.pressure.loads[k.job]
		busy := (l.level+l.peak)/2 + c.pressure.predict(k.image, filling) + more
		excess, added = max(excess, busy-BusyLimit), max(added, more)
	}
	return excess, added
}

// pressures returns how much utilization one processor of each filling image
// on w adds to each serving image there, by serving image.
func (c *Cell) pressures(w *workerRow) map[string]map[string]float64 {
	if w.serving == 0 || w.filling == 0 {
		return nil
	}
	serving, filling := w.beside(c)
	out := map[string]map[string]float64{}
	for s := range serving {
		if out[s.image] != nil {
			continue
		}
		out[s.image] = map[string]float64{}
		for f := range filling {
			out[s.image][f] = c.pressure.perProcessor[pair{s.image, f}]
		}
	}
	return out
}
