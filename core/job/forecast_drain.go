package job

// Best-effort tasks wait for processors, or for a worker on which they do not interfere
// with serving tasks. In the second case processors are free, and how many tasks hold
// says little: those beside serving tasks are throttled as the load of these swings.

// interferenceRateWeight is the weight of a new sample of what best-effort tasks get
// while they wait for workers without interference. The average covers about the last
// 5 s, a quarter of the time in which the loads of serving tasks swing.
const interferenceRateWeight = 0.05

// recordUse records how many processors the best-effort tasks of w use. The usage is
// that of the interference model.
func (w *workerRow) recordUse(u usage, scale float64) {
	w.bestEffortUse = 0
	for _, processors := range u {
		w.bestEffortUse += processors * scale
	}
}

// drainSample is what best-effort tasks of a service get now.
type drainSample struct {
	// used are the processors that they use.
	used float64
	// largest is the most that serving tasks and others leave unused on one worker with
	// serving tasks, in thousandths of a processor.
	largest int
}

// sample adds the tasks of w.
func (d *drainSample) sample(w *workerRow) {
	d.used += w.bestEffortUse
	if w.servingProcessors > 0 {
		d.largest = max(d.largest, w.freeProcessors())
	}
}

// sampleDrain adds the tasks of w to the samples.
func (b *backlog) sampleDrain(w *workerRow) {
	d := b.drains[w.Service]
	if d == nil {
		d = &drainSample{}
		b.drains[w.Service] = d
	}
	d.sample(w)
}

// waitsForInterference reports whether a worker has the processors for one of the
// ready steps, which waits all the same because of the serving tasks there.
func (d *drainSample) waitsForInterference(ready []candidate, kind serviceKind) bool {
	for i := range ready {
		s := ready[i].step.spec
		if ready[i].queue.Service == kind.service && s.BestEffort && s.Need.Processors <= d.largest {
			return true
		}
	}
	return false
}

// rateSample returns a sample of the drain rate of a kind while its tasks wait, and its
// weight in the average. They hold processors, of at most rate.
func (b *backlog) rateSample(kind serviceKind, held, rate float64) (float64, float64) {
	d := b.drains[kind.service]
	if kind.bestEffort && d != nil && d.waitsForInterference(b.waiting[:b.ready], kind) {
		return min(d.used, held), interferenceRateWeight
	}
	return min(held, rate), rateWeight
}
