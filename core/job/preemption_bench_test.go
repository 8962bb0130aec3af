package job

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPreemption measures a decision with 240 workers full of batch tasks and 2,000
// waiting tasks, half of them urgent: the one that stops tasks on as many workers as it
// may, and the one after it. There is at most one decision each 50 ms.
func BenchmarkPreemption(b *testing.B) {
	const workers, steps, tasksPerStep = 240, 100, 10
	now := time.Unix(1000, 0)
	c := New(1, now, WithPreemption(), WithEvacuation(5*time.Second))
	c.ConfirmEvacuations(nil, now, now)
	c.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", MaxFailures: 4, Stretch: 1.5, Target: 300 * time.Millisecond}}})
	reports := make([]Report, workers)
	for i := range reports {
		reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
			Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 96000, Memory: 250000}}}
		c.Receive(&reports[i], now)
	}
	for i := range workers*13/tasksPerStep + steps { // 13 tasks of 7 processors fill a worker
		c.Add(testJob(1000+i, longStep(tasksPerStep, 7000)), now)
	}
	c.Tick(now)
	now = now.Add(time.Second)
	for i := range reports {
		for _, t := range c.workers.Get(reports[i].Agent).sortedTasks() {
			reports[i].Running = append(reports[i].Running, Run{Task: t.name.String(), Run: t.run, Percent: 3})
		}
		c.Receive(&reports[i], now)
	}
	for i := range steps {
		j := testJob(1+i, urgentStep(tasksPerStep, 8000))
		j.Queue, j.Accepted = "host/urgent/", now
		c.Add(j, now)
	}
	c.preemption.enabled = false
	c.Tick(now)
	c.preemption.enabled = true
	if n := c.Stats(now).Waiting; n[0]+n[2] < 2*steps*tasksPerStep {
		b.Fatalf("%v tasks wait", n)
	}
	measure := func(b *testing.B, after func()) {
		var took []time.Duration
		for b.Loop() {
			c.preemption.decidedAt = time.Time{}
			all := c.candidates(now)
			begin := time.Now()
			c.preemptTasks(all, now)
			took = append(took, time.Since(begin))
			if len(c.preemption.holding) != workers/workersPerPreemption {
				b.Fatalf("room is kept on %d workers", len(c.preemption.holding))
			}
			after()
		}
		median := medianOf(took)
		b.ReportMetric(float64(median.Nanoseconds()), "median-ns")
		if median > maxMedianDecision {
			b.Errorf("the median decision takes %s, want at most %s", median, maxMedianDecision)
		}
	}
	b.Run("stops-on-60-workers", func(b *testing.B) {
		measure(b, func() {
			for _, w := range c.preemption.holding {
				w.holds, w.pending = nil, nil
				for _, t := range w.tasks {
					t.stopping, t.preempted = false, preemptedTask{}
				}
			}
			c.preemption.holding, c.events = nil, nil
		})
	})
	b.Run("limit-reached", func(b *testing.B) {
		c.preemption.decidedAt = time.Time{}
		c.preemptTasks(c.candidates(now), now)
		measure(b, func() {})
	})
}
