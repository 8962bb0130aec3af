package job

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkCopies measures a decision about copies with 240 workers, of which 24 are silent,
// 2,880 tasks that may be copied, and 2,000 waiting tasks that are too wide for the room
// that is left. There is at most one decision each 100 ms.
func BenchmarkCopies(b *testing.B) {
	const workers, silent, steps, tasksPerStep = 240, 24, 200, 10
	now := time.Unix(1000, 0)
	c := New(1, now, WithCopies())
	c.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Minute}}})
	reports := make([]Report, workers)
	for i := range reports {
		reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
			Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 96000, Memory: 250000}}}
		c.Receive(&reports[i], now)
	}
	for i := range workers * 12 / tasksPerStep { // 12 tasks of 7 processors leave 12 on a worker
		s := longStep(tasksPerStep, 7000)
		s.Speculative = true
		j := testJob(1+i, s)
		j.Accepted = now
		c.Add(j, now)
	}
	c.Tick(now)
	for i := range steps {
		j := testJob(10000+i, longStep(tasksPerStep, 90000))
		j.Accepted = now
		c.Add(j, now)
	}
	now = now.Add(10 * time.Second)
	for i := range reports {
		for _, t := range c.workers.Get(reports[i].Agent).sortedTasks() {
			reports[i].Running = append(reports[i].Running, Run{Task: t.name.String(), Run: t.run, Percent: 40})
		}
		if i < silent {
			reports[i].Unreachable = 9 * time.Second
			for n := range reports[i].Running {
				reports[i].Running[n].Percent = 1
			}
		}
		c.Receive(&reports[i], now)
	}
	c.ConfirmOwnership(now)
	var took []time.Duration
	started := 0
	for b.Loop() {
		c.copies.decidedAt = time.Time{}
		c.events = nil
		all := c.candidates(now)
		begin := time.Now()
		c.copyTasks(all, now)
		took = append(took, time.Since(begin))
		started = 0
		for _, w := range c.workers.All {
			for _, t := range w.sortedTasks() {
				if x := t.original; x != nil {
					x.race, x.raced, x.copies = nil, false, 0
					_, s, _ := c.findTask(t.name.String())
					c.releaseTask(s, t)
					started++
				}
			}
			w.pending = nil
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "median-ns")
	b.ReportMetric(float64(started), "copies")
}
