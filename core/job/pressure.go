package job

import (
	"maps"
	"slices"
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
	// loadRate is the share of a surprise that one look gives to the load.
	loadRate = 0.3
	// peakDecay is the share of the distance to the load by which its recent
	// peak falls with each look; loads swing within 10 to 20 s.
	peakDecay = 0.02
	// learnEvery is the least time between two looks at one worker, whose
	// figures cover half a second.
	learnEvery = 350 * time.Millisecond
	// sameMoment is how far apart two looks at tasks of one job may be to see
	// the same load, and sameTask the same for two looks at one worker.
	sameMoment = 700 * time.Millisecond
	sameTask   = time.Second
)

// Busy returns the utilization that a tail latency shows, as in a queue whose
// delay grows with 1/(1-utilization). Its input is a share of the target.
func Utilization(tail float64) float64 {
	if tail <= unloadedTail {
		return 0
	}
	return min(maxBusy, 1-unloadedTail/tail)
}

// placeLimit is the utilization that placement keeps to; a load changes by 0.04
// within half a second, so tasks at the limit would be throttled soon.
const placeLimit = 0.78

// Standard deviations by which pressures are taken to be larger than learnt.
// Load: the first tasks of an image that nobody has seen beside a feed yet,
// many at once; tails of ten times the target followed.
const (
	placeCaution    = 0.25
	throttleCaution = 1.0
)

// Bounds of utilization that throttling keeps to.
const (
	// BusyLimit is where a tail is at its target.
	UtilizationLimit = 0.835
	// BusyCalm is where throttled tasks may work more; a load changes by
	// 0.03 between two looks.
	UtilizationResume = 0.80
	// BusyAlarm is where a tail is at twice its target.
	UtilizationCritical = 0.92
)

// usage is how many processors each filling image uses on one worker.
type usage map[string]float64

// minus returns u less a share of o.
func (u usage) minus(o usage, share float64) usage {
	out := make(usage, len(u)+len(o))
	for image, processors := range u {
		out[image] = processors
	}
	for image, processors := range o {
		out[image] -= processors * share
	}
	return out
}

// look is the utilization of a job's serving tasks on one worker, beside u.
type look struct {
	at   time.Time
	busy float64
	u    usage
}

// load is the utilization of one serving job without pressure.
type load struct {
	level, peak float64
	// looks are the newest ones by worker.
	looks map[string]look
}

// pressureModel learns how much utilization each filling image, for each
// processor that it uses, adds to each serving image on the same worker. The
// tasks of one serving job share a load that swings, so only what differs
// between them at one time, or on one worker within a second, is evidence.
// Load: builds of many images beside feeds of a few, of which some pairs are
// harmless at any amount and others ruin the tail at once.
type pressureModel struct {
	byServing map[string]*regression
	loads     map[string]*load
}

func newPressureModel() pressureModel {
	return pressureModel{map[string]*regression{}, map[string]*load{}}
}

// of returns the regression of a serving image.
func (m pressureModel) of(serving string) *regression {
	r := m.byServing[serving]
	if r == nil {
		r = newRegression()
		m.byServing[serving] = r
	}
	return r
}

// predict returns the pressure of u on a serving image.
func (m pressureModel) predict(serving string, u usage) float64 { return m.of(serving).predict(u, 0) }

// loadOf returns the load of a serving job.
func (m pressureModel) loadOf(job string) *load {
	l := m.loads[job]
	if l == nil {
		l = &load{looks: map[string]look{}}
		m.loads[job] = l
	}
	return l
}

// observe takes in a look at a serving job on a worker.
func (m pressureModel) observe(job, serving, worker string, now look) {
	l, r := m.loadOf(job), m.of(serving)
	peers, busy, mean := 0, 0.0, usage{}
	for _, other := range slices.Sorted(maps.Keys(l.looks)) {
		p := l.looks[other]
		if other != worker && now.at.Sub(p.at) < sameMoment {
			peers++
			busy += p.busy
			mean = mean.minus(p.u, -1)
		}
	}
	before, seen := l.looks[worker]
	switch {
	case peers > 0:
		n := float64(peers)
		r.observe(now.busy-busy/n, now.u.minus(mean, 1/n), 1+1/n)
	case seen && now.at.Sub(before.at) < sameTask:
		r.observe(now.busy-before.busy, now.u.minus(before.u, 1), 2)
	}
	l.looks[worker] = now
	l.update(max(0, now.busy-r.predict(now.u, 0)))
}

// update takes in one observation of the load.
func (l *load) update(level float64) {
	if l.level == 0 {
		l.level = level
	}
	l.level += loadRate * (level - l.level)
	l.peak = max(l.level, l.peak-peakDecay*(l.peak-l.level))
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
	if !c.policy.learns || now.Sub(w.learnt) < learnEvery {
		return
	}
	w.learnt = now
	u := usage{}
	sums, counts := map[servingJob]float64{}, map[servingJob]float64{}
	var serving []servingJob
	for i := range r.Running {
		row := &r.Running[i]
		_, s, t := c.find(row.Task)
		switch {
		case t == nil:
		case s.spec.BestEffort:
			u[s.spec.Image] += row.ProcessorUse()
		case s.spec.TailTarget > 0 && row.Percent == fullPercent:
			k := servingJob{t.name.Job, s.spec.Image}
			if counts[k] == 0 {
				serving = append(serving, k)
			}
			sums[k] += row.Utilization(s.spec.TailTarget)
			counts[k]++
		}
	}
	for _, k := range serving {
		c.pressure.observe(k.job, k.image, w.ID, look{now, sums[k] / counts[k], u})
	}
}

// strain returns by how much the busiest serving task of w would exceed the
// limit once a task like s works beside it, and the pressure that it adds.
func (c *Cell) strain(w *workerRow, s *Step) (excess, added float64) {
	one := usage{s.Image: float64(s.Need.Processors) / processorUnit}
	for k := range w.serves {
		more := c.pressure.of(k.image).predict(one, placeCaution)
		l := c.pressure.loadOf(k.job)
		busy := l.peak + c.pressure.predict(k.image, w.fills) + more
		excess, added = max(excess, busy-placeLimit), max(added, more)
	}
	return excess, added
}

// pressures returns how much utilization one processor of each filling image
// on w adds to each serving image there, by serving image.
func (c *Cell) pressures(w *workerRow) map[string]map[string]float64 {
	if w.serving == 0 || w.filling == 0 {
		return nil
	}
	out := map[string]map[string]float64{}
	for s := range w.serves {
		if out[s.image] != nil {
			continue
		}
		out[s.image] = map[string]float64{}
		for f := range w.fills {
			out[s.image][f] = c.pressure.of(s.image).cautious(f, throttleCaution)
		}
	}
	return out
}
