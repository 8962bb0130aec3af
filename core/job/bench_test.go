package job

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSchedulingDecision measures one scheduling decision: a report of one worker with 30
// running tasks and one end, and the placement of a waiting step of 16 tasks.
func BenchmarkSchedulingDecision(b *testing.B) {
	for _, workers := range []int{11, 60, 300, 1200} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := New(1, now)
			c.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{{Host: "host", Prefix: "/queue/", Service: "svc",
				MaxFailures: 2, Stretch: 2, Target: time.Second}}})
			reports := make([]Report, workers)
			for i := range reports {
				reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
					Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 16000, Memory: 64000}}}
				c.Receive(&reports[i], now)
			}
			c.BeginOwnershipCheck()
			c.ConfirmOwnership(now)
			feeds := testJob(1, Step{Tasks: workers * 3, Need: Resources{Processors: 3200, Memory: 10}, Estimate: time.Second,
				LongRunning: true, TailTarget: 150 * time.Millisecond, Image: "feed"})
			c.Add(feeds, now)
			build := Step{Tasks: 16, Need: Resources{Processors: 1800, Memory: 10}, Estimate: 2 * time.Second, BestEffort: true, Image: "build"}
			c.Tick(now)
			for i := 0; b.Loop(); i++ {
				j := testJob(1000+i, build)
				c.Add(j, now)
				c.Receive(&reports[i%workers], now)
				c.Tick(now)
				c.Cancel(j.ID, now)
				for _, t := range c.workers.Get(reports[i%workers].Agent).sortedTasks() {
					if s, _ := c.jobs.Get(t.name.Job).task(t.name); s.spec.BestEffort {
						c.releaseTask(s, t)
					}
				}
				for _, w := range c.workers.All {
					w.pending = nil
				}
				c.jobs.Delete(j.ID)
				c.events = nil
				for _, w := range c.workers.All {
					for _, t := range w.sortedTasks() {
						if t.name.Job == j.ID {
							delete(w.tasks, t.name)
							w.reserveCapacity(j.ID, &build, -1)
						}
					}
				}
			}
		})
	}
}
