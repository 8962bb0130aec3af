package job

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// BenchmarkOverload measures the handling of one report when there is more work than
// room: serving tasks of 16 images on all workers, best-effort tasks of 30 images
// beside them, and 2,000 best-effort tasks waiting for a worker without
// interference.
func BenchmarkOverload(b *testing.B) {
	const waitingTasks = 2000
	for _, workers := range []int{60, 120, 240, 480} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			o := newOverload(workers, waitingTasks)
			for i := 0; b.Loop(); i++ {
				o.report(i % workers)
			}
			b.StopTimer()
			if n := o.waiting(); n < waitingTasks/2 {
				b.Fatalf("%d tasks wait, want at least %d", n, waitingTasks/2)
			}
		})
	}
}

// maxMedianDecision is the longest median of a decision at 240 workers and 2,000
// waiting tasks.
const maxMedianDecision = time.Millisecond

// BenchmarkFairShares measures the same with fair shares, with the waiting tasks of four
// zones.
func BenchmarkFairShares(b *testing.B) { benchmarkDecision(b, 240, WithFairShares()) }

// BenchmarkAllParts measures a decision with fair shares, evacuations and
// placement by expected end.
func BenchmarkAllParts(b *testing.B) {
	for _, workers := range []int{11, 77, 240, 295, 1200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			benchmarkDecision(b, workers, WithFairShares(), WithRemoteDataFactor(2), WithEvacuation(5*time.Second))
		})
	}
}

func benchmarkDecision(b *testing.B, workers int, options ...Option) {
	const waitingTasks, limitedWorkers = 2000, 240
	o := newOverload(workers, waitingTasks, options...)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		begin := time.Now()
		o.report(i % workers)
		times = append(times, time.Since(begin))
	}
	b.StopTimer()
	if n := o.waiting(); n < waitingTasks/2 || !o.shares.scarce[bestEffortTasks] {
		b.Fatalf("%d tasks wait, want at least %d, and scarce room", n, waitingTasks/2)
	}
	slices.Sort(times)
	median := times[len(times)/2]
	b.ReportMetric(float64(median.Nanoseconds()), "median-ns")
	if workers <= limitedWorkers && median > maxMedianDecision {
		b.Errorf("the median decision takes %s, want at most %s", median, maxMedianDecision)
	}
}

// overload is a cell with more work than room.
type overload struct {
	*Cell
	now     time.Time
	rng     *rand.Rand
	reports []Report
}

func newOverload(workers, waitingTasks int, options ...Option) *overload {
	now := time.Unix(1000, 0)
	o := &overload{Cell: New(1, now, options...), now: now, rng: rand.New(rand.NewPCG(1, 1)), reports: make([]Report, workers)}
	o.ConfirmEvacuations(nil, now, now)
	o.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/serving/", Service: "svc", MaxFailures: 2, Stretch: 2, Target: time.Second}}})
	for i := range o.reports {
		o.reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
			Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Labels: []string{"a", fmt.Sprint("r", i/8)},
				Capacity: Resources{Processors: 16000, Memory: 64000}}}
		o.Receive(&o.reports[i], now)
	}
	learned := LearnedParameters{Interference: map[string]map[string]float64{}}
	for i := range 16 {
		effects := map[string]float64{}
		for n := range 30 {
			effects[fmt.Sprint("build-", n)] = 0.03 + 0.001*float64(n)
		}
		learned.Interference[fmt.Sprint("feed-", i)] = effects
	}
	o.LoadLearned(learned)
	for i := range workers / 5 {
		j := testJob(1+i, Step{Tasks: 24, Need: Resources{Processors: 3200, Memory: 10}, Estimate: time.Second,
			LongRunning: true, TailTarget: 150 * time.Millisecond, Image: fmt.Sprint("feed-", i%16)})
		j.Queue = "host/serving/"
		o.Add(j, now)
	}
	o.Tick(now)
	o.carryOut()
	for i := range (waitingTasks + 6*workers) / 40 {
		j := testJob(1000+i, Step{Tasks: 40, Need: Resources{Processors: 1800, Memory: 10}, Estimate: 2 * time.Second,
			BestEffort: true, Checkpoints: true, Image: fmt.Sprint("build-", i%30)})
		j.Zone = fmt.Sprint("zone-", i%4)
		o.Add(j, now)
	}
	for range 3 {
		for i := range o.reports {
			o.report(i)
		}
	}
	return o
}

// carryOut starts all ordered runs.
func (o *overload) carryOut() {
	for i := range o.reports {
		r := &o.reports[i]
		w := o.workers.Get(r.Agent)
		for _, order := range w.pending {
			if order.Kind == OrderStart {
				r.Running = append(r.Running, Run{Task: order.Task, Run: order.Run, Percent: 100, Load: 100})
			}
		}
		w.pending = nil
	}
}

// report delivers a report of worker i and carries out the orders.
func (o *overload) report(i int) {
	o.now = o.now.Add(2 * time.Millisecond)
	r := &o.reports[i]
	r.Clock += 100 * time.Millisecond
	w := o.workers.Get(r.Agent)
	for n := range r.Running {
		if r.Running[n].Percent < 100 || r.Running[n].Load < 80 {
			r.Running[n].Percent = min(99, r.Running[n].Percent+1)
		} else {
			r.Running[n].Load = 80 + o.rng.IntN(40)
		}
	}
	o.Receive(r, o.now)
	o.Tick(o.now)
	for _, order := range w.pending {
		if order.Kind == OrderStart {
			r.Running = append(r.Running, Run{Task: order.Task, Run: order.Run, Load: 1})
		}
	}
	w.pending = nil
	o.Events()
}

func (o *overload) waiting() int {
	n := 0
	for _, v := range o.Stats(o.now).Waiting {
		n += v
	}
	return n
}
