package scheduler

import (
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// Without the option a task must have one run, as before. With it, the cell of each
// ownership copies a task of a silent worker, and the metrics count the copy and the work of
// the run that does not count.
func TestCopiesSwitch(t *testing.T) {
	for on, options := range map[bool][]Option{false: nil, true: {WithCopies()}} {
		is := is.New(t)
		base, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
		c := newControl(New(base.cfg, base.log, options...))
		session := &ownerSession{}
		session.ownership.Epoch = 1
		c.handleMessage(session)
		c.handleMessage(loadedState{session: session, began: time.Now()})
		now := time.Now()
		c.cell.SetConfiguration(&job.Configuration{Queues: []job.Queue{{Host: "batch", Service: "svc", Stretch: 2, Target: time.Minute}}})
		reports := map[string]*job.Report{}
		for _, agent := range []string{"a", "b"} {
			reports[agent] = &job.Report{Agent: agent, Process: 1, Epoch: 1, Listed: true, Worker: &job.Worker{ID: agent, Incarnation: 1, Service: "svc",
				Capacity: job.Resources{Processors: 20000, Memory: 100}}}
		}
		deliver := func(agents ...string) {
			for _, agent := range agents {
				c.cell.Receive(reports[agent], now)
			}
			c.cell.BeginOwnershipCheck()
			c.cell.ConfirmOwnership(now)
			c.cell.Tick(now)
		}
		deliver("a")
		const task = "00000000000000aa.0.0.0"
		c.cell.Add(job.Job{ID: task[:16], Queue: "batch", Accepted: now, Steps: []job.Step{
			{Tasks: 1, Need: job.Resources{Processors: 1000}, Estimate: time.Second, Speculative: true}}}, now)
		deliver("a")
		now = now.Add(2 * time.Second) // a is silent
		deliver("b")
		lost, extra := copiesCounter("lost").Get(), copySeconds.Get()
		reports["a"].Ended = []job.End{{Number: 1, Task: task, Run: 1, Outcome: job.EndDone}}
		reports["b"].Ended = []job.End{{Number: 1, Task: task, Run: 2, Outcome: job.EndStopped}}
		now = now.Add(time.Second)
		deliver("a", "b")
		c.logEvents()
		is.Equal(copiesCounter("lost").Get()-lost == 1, on)
		is.Equal(copySeconds.Get()-extra == 1, on) // one processor for 1 s
	}
}
