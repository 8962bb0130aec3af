package job

import (
	"time"
)

// Parameters of the model of interference.
const (
	// calmTail is the share of its target that a serving task's tail takes by
	// itself, until its image was seen alone.
	calmTail = 0.45
	// learnRate is the share of a surprise that one look explains; a pair is
	// known after about five looks, three seconds.
	learnRate = 0.25
	// calmRate is the same for the tail without pressure, which swings with
	// the load.
	calmRate = 0.03
	// largestTail bounds what one look can say; a tail has been seen at
	// fifteen times its target.
	largestTail = 3.0
	// slightPressure is the predicted pressure below which a tail counts as
	// calm.
	slightPressure = 0.05
)

// pair is a serving image beside a filling one.
type pair struct{ serving, filling string }

// pressureModel learns how much each filling image, for each processor that it
// uses, lengthens the tail of each serving image on the same worker, in shares
// of the tail's target. Load: builds of many images beside feeds of a few, of
// which some pairs are harmless at any amount and others ruin the tail at once.
type pressureModel struct {
	perProcessor map[pair]float64
	calm         map[string]float64
}

func newPressureModel() pressureModel {
	return pressureModel{map[pair]float64{}, map[string]float64{}}
}

// calmOf returns the expected tail of a serving image without pressure.
func (m pressureModel) calmOf(serving string) float64 {
	if v, ok := m.calm[serving]; ok {
		return v
	}
	return calmTail
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

// observe takes in one look at the tail of a serving task, as a share of its
// target, beside u.
func (m pressureModel) observe(serving string, tail float64, u usage) {
	tail = min(tail, largestTail)
	pressure := m.predict(serving, u)
	calm := m.calmOf(serving)
	surprise := tail - calm - pressure
	if pressure < slightPressure && tail < 1 {
		m.calm[serving] = calm + calmRate*(tail-calm)
	}
	norm := 1.0
	for _, processors := range u {
		norm += processors * processors
	}
	for image, processors := range u {
		k := pair{serving, image}
		m.perProcessor[k] = max(0, m.perProcessor[k]+learnRate*surprise*processors/norm)
	}
}

// learn takes in the figures of a report.
func (c *Cell) learn(w *workerRow, r *Report) {
	u := usage{}
	serving := false
	for i := range r.Running {
		row := &r.Running[i]
		_, s, t := c.find(row.Task)
		if t == nil {
			continue
		}
		switch {
		case s.spec.Fills:
			u[s.spec.Image] += float64(row.Load) / processorUnit
		case s.spec.TailTarget > 0 && row.Percent == fullPercent:
			serving = true
		}
	}
	if !serving {
		return
	}
	for i := range r.Running {
		row := &r.Running[i]
		_, s, t := c.find(row.Task)
		if t == nil || s.spec.TailTarget == 0 || row.Percent != fullPercent {
			continue
		}
		tail := float64(time.Duration(row.Load)*time.Millisecond) / float64(s.spec.TailTarget)
		c.pressure.observe(s.spec.Image, tail, u)
	}
}

// Units of figures.
const (
	// processorUnit is one processor in thousandths.
	processorUnit = 1000
	fullPercent   = 100
)

// images returns the serving images on w and the processors that each filling
// image there asks for.
func (w *workerRow) images(c *Cell) (serving map[string]int, filling usage) {
	serving, filling = map[string]int{}, usage{}
	for name := range w.tasks {
		j := c.jobs.Get(name.Job)
		spec := &j.Steps[name.Step]
		switch {
		case spec.TailTarget > 0:
			serving[spec.Image]++
		case spec.Fills:
			filling[spec.Image] += float64(spec.Need.Processors) / processorUnit
		}
	}
	return serving, filling
}

// tailLimit is the predicted tail, as a share of its target, above which a
// filling task is kept off a worker: loads swing by half within seconds.
const tailLimit = 0.85

// strain returns the worst predicted tail of the worker's serving tasks once
// a task like s is added, and the pressure that it adds there.
func (c *Cell) strain(w *workerRow, s *Step) (worst, added float64) {
	serving, filling := w.images(c)
	one := usage{s.Image: float64(s.Need.Processors) / processorUnit}
	for image := range serving {
		more := c.pressure.predict(image, one)
		tail := c.pressure.calmOf(image) + c.pressure.predict(image, filling) + more
		worst, added = max(worst, tail), max(added, more)
	}
	return worst, added
}

// Pressures returns, for each filling image, the worst pressure of one
// processor of it on the serving tasks of w.
func (c *Cell) pressures(w *workerRow) map[string]float64 {
	if w.serving == 0 || w.filling == 0 {
		return nil
	}
	serving, filling := w.images(c)
	out := map[string]float64{}
	for f := range filling {
		for s := range serving {
			out[f] = max(out[f], c.pressure.perProcessor[pair{s, f}])
		}
	}
	return out
}
