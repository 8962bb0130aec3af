package job

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStepsThatNoWorkerMayRun measures a second of ticks, one every 20 ms, with 100 steps that
// the advisor denies on all workers.
func BenchmarkStepsThatNoWorkerMayRun(b *testing.B) {
	for _, workers := range []int{60, 240, 1200} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := New(1, now)
			c.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
				{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Hour, RequiresTicket: true}}})
			for n := range 100 {
				c.Add(testJob(n+1, step(1, 100)), now)
			}
			report := func() {
				for i := range workers {
					c.Receive(&Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: now.Sub(time.Unix(0, 0)),
						Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 16000, Memory: 64000}}}, now)
				}
			}
			tick := func() {
				now = now.Add(20 * time.Millisecond)
				c.Tick(now)
				for _, r := range c.AdvisorRequests() {
					c.SetTickets(r, Advice{Sent: now, Received: now, TTL: time.Second})
				}
			}
			for denied := 0; denied < 100; {
				report()
				tick()
				denied = 0
				for _, j := range c.jobs.All {
					if j.occurrences[0].steps[0].advice.deniedEverywhere {
						denied++
					}
				}
			}
			for b.Loop() {
				b.StopTimer()
				report()
				b.StartTimer()
				for range 50 {
					tick()
				}
			}
		})
	}
}
