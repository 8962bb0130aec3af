package scheduler

import (
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// Without the option an earlier deployment must be served as before. With it, the cell of
// each ownership preempts, and the metrics count the tasks and their lost work.
func TestPreemptionSwitch(t *testing.T) {
	for on, options := range map[bool][]Option{false: nil, true: {WithPreemption()}} {
		is := is.New(t)
		base, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
		s := New(base.cfg, base.log, options...)
		c := newControl(s)
		session := &ownerSession{}
		session.ownership.Epoch = 1
		c.handleMessage(session)
		c.handleMessage(loadedState{session: session, began: time.Now()})
		now := time.Now()
		c.cell.SetConfiguration(&job.Configuration{Queues: []job.Queue{
			{Host: "batch", Service: "svc", Priority: 2, Stretch: 2, Target: time.Second},
			{Host: "urgent", Service: "svc", Stretch: 1.5, Target: time.Second}}})
		r := job.Report{Agent: "a", Process: 1, Epoch: 1, Listed: true, Worker: &job.Worker{ID: "a", Incarnation: 1, Service: "svc",
			Capacity: job.Resources{Processors: 4000, Memory: 100}}}
		add := func(id, queue string, estimate time.Duration) {
			c.cell.Add(job.Job{ID: id, Queue: queue, Accepted: now, Steps: []job.Step{
				{Tasks: 1, Need: job.Resources{Processors: 3000}, Estimate: estimate}}}, now)
			c.cell.Tick(now)
		}
		c.cell.Receive(&r, now)
		add("00000000000000aa", "batch", time.Minute)
		now = now.Add(time.Second)
		r.Running = []job.Run{{Task: "00000000000000aa.0.0.0", Run: 1}}
		c.cell.Receive(&r, now)
		before, lost := preemptions.Get(), preemptedSeconds.Get()
		add("00000000000000bb", "urgent", time.Second)
		c.logEvents()
		is.Equal(preemptions.Get()-before == 1, on)
		is.Equal(preemptedSeconds.Get()-lost > 2.9, on) // 3 processors for 1 s
	}
}
