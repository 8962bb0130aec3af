package job

import (
	"maps"
	"slices"
	"time"

	"rosemarygap/core/swing"
)

// Parameters of the interference model.
const (
	// unloadedTailShare is the tail latency of an idle serving task as a share
	// of its target; on the platform, targets are six times the unloaded tail
	// latency.
	unloadedTailShare = 1.0 / 6
	// maxInferredUtilization limits the utilization inferred from a tail
	// latency. Tail latencies reach fifteen times the target, but above about
	// six times the target they say nothing more about the utilization. The
	// limit corresponds to 8.3 times the target.
	maxInferredUtilization = 0.98
	// loadSmoothing is the weight of a new sample in the moving average of a
	// servingLoad.
	loadSmoothing = 0.3
	// peakDecay is the share of the difference between the recent peak and the
	// load by which the peak falls with each sample; loads vary within 10 to
	// 20 s.
	peakDecay = 0.02
	// minSampleInterval is the minimum time between two samples of one worker,
	// whose reported values cover half a second.
	minSampleInterval = 350 * time.Millisecond
	// Two samples are assumed to see the same load if they are at most
	// maxPeerSampleAge apart for different workers of one job, and at most
	// maxPreviousSampleAge apart for one worker.
	maxPeerSampleAge     = 700 * time.Millisecond
	maxPreviousSampleAge = time.Second
)

// referenceProcessors is the size of worker to which learned interference refers. The
// utilization that one processor of a best-effort image adds is in inverse proportion
// to the size of the worker, which shares its caches and memory among more tasks.
const referenceProcessors = 16

// InterferenceScale returns by how much larger than the reference a worker of the given
// capacity is. A processor there counts as 1/InterferenceScale of a processor in learned
// interference.
func InterferenceScale(capacity Resources) float64 {
	if capacity.Processors <= 0 {
		return 1
	}
	return float64(capacity.Processors) / (referenceProcessors * processorUnit)
}

// Utilization returns the utilization inferred from a tail latency, given as a
// share of its target. The latency is assumed to grow with 1/(1-utilization), as
// in a queue.
func Utilization(tail float64) float64 {
	if tail <= unloadedTailShare {
		return 0
	}
	return min(maxInferredUtilization, 1-unloadedTailShare/tail)
}

// placementUtilizationLimit is the utilization that placement may reach. A load
// changes by 0.04 within half a second, so tasks placed closer to
// UtilizationLimit would soon be throttled.
const placementUtilizationLimit = 0.78

// Numbers of standard deviations that are added to a learned interference, for
// placement and for throttling. Without them, many tasks of an image with
// unknown interference could start beside a serving task at once, which raised
// tail latencies to ten times the target.
const (
	placementDeviations = 0.25
	throttleDeviations  = 1.0
)

// Utilization thresholds of throttling.
const (
	// UtilizationLimit is about the utilization at which the tail latency
	// reaches its target.
	UtilizationLimit = 0.835
	// UtilizationResume is the utilization below which throttled tasks may use
	// more processors; a load changes by 0.03 between two samples.
	UtilizationResume = 0.80
	// UtilizationCritical is about the utilization at which the tail latency
	// reaches twice its target.
	UtilizationCritical = 0.92
)

// usage is the number of processors that each best-effort image uses on one
// worker.
type usage map[string]float64

// minus returns u less share times o.
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

// utilizationSample is the utilization of a job's serving tasks on one worker,
// and the processor use of best-effort images there at the same time.
type utilizationSample struct {
	at          time.Time
	utilization float64
	use         usage
}

// servingLoad is the utilization of one serving job without interference.
type servingLoad struct {
	// level is the moving average of the utilization, or 0 before the first
	// sample; peak is its recent maximum.
	level, peak float64
	// swing forecasts the load if it swings regularly.
	swing swing.Load
	// samples are the newest samples by worker.
	samples map[string]utilizationSample
}

// interferenceModel learns how much utilization each best-effort image, for each
// processor that it uses, adds to each serving image on the same worker. The
// tasks of one serving job share a load that varies, so the model only uses
// differences between workers at one time, or on one worker within a second.
// The model is for best-effort tasks of many images beside serving tasks of a few
// images, where some pairs of images never interfere and others raise the tail
// latency above its target at once.
type interferenceModel struct {
	byServing map[string]*regression
	loads     map[string]*servingLoad
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{map[string]*regression{}, map[string]*servingLoad{}}
}

// regressionOf returns the regression of a serving image.
func (m interferenceModel) regressionOf(image string) *regression {
	r := m.byServing[image]
	if r == nil {
		r = newRegression()
		m.byServing[image] = r
	}
	return r
}

// predict returns the utilization that u adds to a serving image.
func (m interferenceModel) predict(image string, u usage) float64 {
	return m.regressionOf(image).predict(u, 0)
}

// loadOf returns the load of a serving job.
func (m interferenceModel) loadOf(job string) *servingLoad {
	l := m.loads[job]
	if l == nil {
		l = &servingLoad{samples: map[string]utilizationSample{}}
		m.loads[job] = l
	}
	return l
}

// observe adds a sample of a serving job on a worker.
func (m interferenceModel) observe(job, serving, worker string, sample utilizationSample) {
	l, r := m.loadOf(job), m.regressionOf(serving)
	peers, sum, mean := 0, 0.0, usage{}
	for _, other := range slices.Sorted(maps.Keys(l.samples)) {
		p := l.samples[other]
		if other != worker && sample.at.Sub(p.at) < maxPeerSampleAge {
			peers++
			sum += p.utilization
			mean = mean.minus(p.use, -1)
		}
	}
	previous, seen := l.samples[worker]
	switch {
	case peers > 0:
		n := float64(peers)
		r.observe(sample.utilization-sum/n, sample.use.minus(mean, 1/n), 1+1/n)
	case seen && sample.at.Sub(previous.at) < maxPreviousSampleAge:
		r.observe(sample.utilization-previous.utilization, sample.use.minus(previous.use, 1), 2)
	}
	l.samples[worker] = sample
	l.update(max(0, sample.utilization-r.predict(sample.use, 0)), sample.at)
}

// update adds a sample of the load.
func (l *servingLoad) update(level float64, at time.Time) {
	l.swing.Observe(level, at)
	if l.level == 0 {
		l.level = level
	}
	l.level += loadSmoothing * (level - l.level)
	l.peak = max(l.level, l.peak-peakDecay*(l.peak-l.level))
}

// loadDeviations is the number of standard deviations that are added to a forecast.
const loadDeviations = 1.0

// highestUntil returns the highest load that is expected until a time: that of a regular
// swing, or else the recent peak.
func (l *servingLoad) highestUntil(until, now time.Time) float64 {
	if forecast, ok := l.swing.Max(now, until, loadDeviations); ok {
		return min(l.peak, forecast)
	}
	return l.peak
}

// Units of processors and of progress.
const (
	// processorUnit is one processor in thousandths.
	processorUnit = 1000
	fullPercent   = 100
)

// servingJob is a job with the image of its serving tasks on one worker.
type servingJob struct{ job, image string }

// sampleInterference adds the utilization and processor use of a report to the
// interference model.
func (c *Cell) sampleInterference(w *workerRow, r *Report, now time.Time) {
	if !c.policy.learns || now.Sub(w.lastSample) < minSampleInterval {
		return
	}
	w.lastSample = now
	u, scale := usage{}, InterferenceScale(w.Capacity)
	sums, counts := map[servingJob]float64{}, map[servingJob]float64{}
	var serving []servingJob
	for i := range r.Running {
		row := &r.Running[i]
		_, s, t := c.findTask(row.Task)
		switch {
		case t == nil:
		case s.spec.BestEffort:
			u[s.spec.Image] += row.ProcessorUse() / scale
		case s.spec.TailTarget > 0 && row.Percent == fullPercent:
			k := servingJob{t.name.Job, s.spec.Image}
			if counts[k] == 0 {
				serving = append(serving, k)
			}
			sums[k] += row.Utilization(s.spec.TailTarget)
			counts[k]++
		}
	}
	w.recordUse(u, scale)
	for _, k := range serving {
		c.interference.observe(k.job, k.image, w.ID, utilizationSample{now, sums[k] / counts[k], u})
	}
}

// interferenceOn returns how much utilization one processor of each best-effort
// image on w adds to each serving image there, by serving image. The values are
// the estimates plus throttleDeviations standard deviations.
func (c *Cell) interferenceOn(w *workerRow) map[string]map[string]float64 {
	if w.servingProcessors == 0 || w.bestEffortProcessors == 0 {
		return nil
	}
	scale := InterferenceScale(w.Capacity)
	out := map[string]map[string]float64{}
	for s := range w.servingTasks {
		if out[s.image] != nil {
			continue
		}
		out[s.image] = map[string]float64{}
		for image := range w.bestEffortByImage {
			out[s.image][image] = c.interference.regressionOf(s.image).upperEffect(image, throttleDeviations) / scale
		}
	}
	return out
}
