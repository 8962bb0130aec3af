package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Only the image that interferes gets an effect. Serving tasks with a varying
// load run beside two best-effort images of which one interferes. Neither the
// other image, which runs on the same worker, nor the varying load that all
// tasks of the serving job share may count as interference.
func TestInterferingImageIdentified(t *testing.T) {
	is := is.New(t)
	m := newInterferenceModel()
	now := time.Unix(1000, 0)
	for i := range 30 {
		load := 0.3 + 0.4*float64(i%20)/20
		observe := func(job, image, worker string, utilization float64, u usage) {
			now = now.Add(100 * time.Millisecond)
			m.observe(job, image, worker, utilizationSample{now, utilization, u})
		}
		observe("feed", "feeds", "a", load+0.2, usage{"heavy": 2, "light": 2})
		observe("feed", "feeds", "b", load, usage{"light": 3})
		observe("feed", "feeds", "c", load, usage{})
		observe("watch", "watches", "a", load, usage{"heavy": 3})
		observe("watch", "watches", "b", load, usage{})
	}
	is.True(m.predict("feeds", usage{"heavy": 1}) > 0.08)   // the interfering image
	is.True(m.predict("feeds", usage{"light": 1}) < 0.02)   // the image beside it
	is.True(m.predict("watches", usage{"heavy": 1}) < 0.02) // another serving image
}

func TestUtilization(t *testing.T) {
	for _, test := range []struct{ tail, utilization float64 }{
		{0, 0}, {unloadedTailShare, 0}, {2 * unloadedTailShare, 0.5}, {1, 1 - unloadedTailShare}, {1000, maxInferredUtilization},
	} {
		if got := Utilization(test.tail); got != test.utilization {
			t.Errorf("Utilization(%v) = %v, want %v", test.tail, got, test.utilization)
		}
	}
}

// An image that interferes on a small worker must not keep its tasks off a worker four
// times as large, where the same processors are a quarter of the share. Load pattern:
// wide best-effort jobs beside serving tasks on workers of several sizes.
func TestInterferenceRefersToWorkerSize(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 0)
	tc.LoadLearned(LearnedParameters{Interference: map[string]map[string]float64{"feeds": {"heavy": 0.08}}})
	predict := func(agent string, processors int) (excess, added float64) {
		w := tc.addWorker(agent)
		w.report.Worker.Capacity.Processors = processors
		tc.deliverReport(agent)
		row := tc.workers.Get(agent)
		row.reserveCapacity("feed", &Step{Image: "feeds", TailTarget: time.Second, Need: Resources{Processors: 1000}}, 1)
		tc.interference.loadOf("feed").peak = 0.5
		k := candidate{job: &jobRow{}, step: &stepRow{spec: &Step{Image: "heavy", BestEffort: true, Need: Resources{Processors: 7000}}}}
		return tc.newScorer(&k, tc.now).predictOverload(row)
	}
	smallExcess, small := predict("small", 16000)
	largeExcess, large := predict("large", 64000)
	is.True(smallExcess > 0)
	is.Equal(largeExcess, 0.0)
	is.True(small > 3.9*large && small < 4.1*large)
}

// Samples of workers of several sizes must agree on the effect of an image: use on a
// large worker counts in proportion.
func TestSamplesReferToWorkerSize(t *testing.T) {
	is := is.New(t)
	is.Equal(InterferenceScale(Resources{Processors: 16000}), 1.0)
	is.Equal(InterferenceScale(Resources{Processors: 64000}), 4.0)
	is.Equal(InterferenceScale(Resources{}), 1.0) // a heartbeat without a capacity
	tc := newTestCluster(t, 1)
	w := tc.workers.Get("agent-0")
	w.Capacity.Processors = 64000
	w.reserveCapacity("feed", &Step{Image: "feeds", TailTarget: time.Second, Need: Resources{Processors: 1000}}, 1)
	w.reserveCapacity("build", &Step{Image: "heavy", BestEffort: true, Need: Resources{Processors: 1000}}, 1)
	tc.LoadLearned(LearnedParameters{Interference: map[string]map[string]float64{"feeds": {"heavy": 0.08}}})
	upper := tc.interference.regressionOf("feeds").upperEffect("heavy", throttleDeviations)
	is.Equal(tc.interferenceOn(w)["feeds"]["heavy"], upper/4) // what the agent gets is for this worker
}

// newServingRow returns a worker with a serving task, and with best-effort tasks of the given
// number of processors for each of ten images.
func newServingRow(processors, each int) *workerRow {
	w := &workerRow{Worker: Worker{Capacity: Resources{Processors: processors}}, servingTasks: map[servingJob]int{}, bestEffortByImage: usage{}}
	w.reserveCapacity("feed", &Step{Image: "feeds", TailTarget: time.Second, Need: Resources{Processors: 1000}}, 1)
	for i := range 10 {
		w.reserveCapacity("build", &Step{Image: fmt.Sprint("heavy-", i), BestEffort: true, Need: Resources{Processors: 1000}}, each)
	}
	return w
}

// Guards against use that does not count in proportion to the size of the worker in the
// predicted interference, and against a copy of the use for each prediction: under
// overload, there are thousands a second.
func TestPredictedUseRefersToWorkerSize(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 0)
	small, large := newServingRow(16000, 1), newServingRow(64000, 4)
	predicted := tc.servingInterferences(large, tc.now)
	is.Equal(predicted, []servingInterference{{servingJob{"feed", "feeds"}, 10 * priorEffect}})
	is.Equal(predicted, tc.servingInterferences(small, tc.now))
	is.Equal(testing.AllocsPerRun(100, func() {
		large.predicted.at = time.Time{}
		tc.servingInterferences(large, tc.now)
	}), 0.0)
}

// BenchmarkPredictedInterference measures the prediction for the serving tasks of a worker.
func BenchmarkPredictedInterference(b *testing.B) {
	now := time.Unix(1000, 0)
	c, w := New(1, now), newServingRow(64000, 4)
	for b.Loop() {
		w.predicted.at = time.Time{}
		c.servingInterferences(w, now)
	}
}
