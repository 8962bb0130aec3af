package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// setCold makes a worker send heartbeats that it is cold for d from now on.
func (tc *testCluster) setCold(agent string, d time.Duration) {
	w := tc.testWorkers[agent]
	next := *w.report.Worker
	next.Sequence++
	next.ColdLeft = d
	w.report.Worker = &next
	tc.deliverReport(agent)
}

// A task goes to a warm worker while that has room, though the cold one has more, and
// to the cold one after that: waiting for room would take longer.
func TestColdWorkerIsSecondChoice(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.submit(testJob(1, step(1, 9000)))
	busy, idle := "agent-0", "agent-1"
	if len(tc.testWorkers[busy].report.Running) == 0 {
		busy, idle = idle, busy
	}
	tc.setCold(idle, 30*time.Second)
	tc.workers.Get(idle).coldSince = tc.now.Add(-2 * rampStep) // the ramp does not limit the cold worker any more
	tc.submit(testJob(2, step(1, 6000)))
	tc.is.Equal(len(tc.testWorkers[busy].report.Running), 2)
	tc.submit(testJob(3, step(1, 6000)))
	tc.is.Equal(len(tc.testWorkers[idle].report.Running), 1)
}

// A worker that is a quarter as fast while it is cold must not be judged slow or
// stalled, its tasks must not be moved, and the run times of the queue must not appear
// longer. A worker that makes no progress after it was cold is still judged.
func TestColdWorkerIsNotJudged(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setCold("agent-0", time.Minute)
	tc.setCold("agent-1", time.Minute)
	long := step(1, 1000)
	long.Estimate = 10 * time.Second
	fills := long
	fills.BestEffort = true
	tc.now = tc.now.Add(2 * rampStep)
	tc.submit(testJob(1, long, fills))
	lasting := long
	lasting.LongRunning = true
	tc.submit(testJob(2, fills, lasting))
	begin := tc.now
	tc.addWorker("agent-2") // is warm and has room
	for tc.now.Sub(begin) < 30*time.Second {
		for agent, w := range tc.testWorkers {
			next := *w.report.Worker
			if next.ColdLeft > 0 {
				next.ColdLeft = time.Minute
			}
			w.report.Worker = &next
			for i := range w.report.Running {
				w.report.Running[i].Percent = 5 * int(tc.now.Sub(begin)/(2*time.Second)) // a quarter of the speed
			}
			tc.deliverReport(agent)
		}
		tc.now = tc.now.Add(100 * time.Millisecond)
	}
	tc.is.True(tc.coldSpeed.factor() > 3.5 && tc.coldSpeed.factor() < 5)
	running := 0
	for agent, w := range tc.testWorkers {
		tc.is.Equal(tc.workers.Get(agent).speed.samples, 0)
		for _, o := range w.orders {
			tc.is.Equal(o.Kind, OrderStart) // neither stalled, slow nor throttled
		}
		running += len(w.report.Running)
	}
	tc.is.Equal(running, 4)
	for _, w := range tc.testWorkers {
		for _, r := range w.report.Running {
			w.endRun(r.Task, EndDone)
		}
	}
	tc.deliverReports()
	tc.is.Equal(len(tc.runTimeRatios.byQueue), 0)

	// A task that starts after that stops making progress on a warm worker.
	tc.setCold("agent-0", 0)
	tc.setCold("agent-1", 0)
	tc.submit(testJob(3, long))
	for range 3 * int(stallLimit/(20*time.Millisecond)) {
		tc.deliverReports()
	}
	stops := 0
	for _, w := range tc.testWorkers {
		for _, o := range w.orders {
			if o.Kind == OrderStop {
				stops++
			}
		}
	}
	tc.is.True(stops > 0)
}

// A worker that has just become cold must not get all waiting tasks at once.
func TestRampOfColdWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setCold("agent-0", time.Minute)
	tc.Add(testJob(1, step(40, 500)), tc.now)
	w := tc.workers.Get("agent-0")
	most := func(until time.Duration) int {
		for tc.now.Sub(w.coldSince) < until-20*time.Millisecond {
			tc.deliverReports()
		}
		return w.used.Processors
	}
	tc.is.Equal(most(rampStep), 4000)
	tc.is.Equal(most(2*rampStep), 8000)
	tc.is.Equal(most(3*rampStep), 15000) // but for what is kept for urgent tasks
}

// A worker that restarts is as cold as its own heartbeats say, and an owner that takes
// over knows it from the first report.
func TestColdnessFollowsHeartbeats(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setCold("agent-0", time.Minute)
	row := tc.workers.Get("agent-0")
	tc.is.True(row.isCold(tc.now))
	tc.is.Equal(tc.Stats(tc.now).ColdWorkers, 1)
	events := tc.Events()
	tc.is.Equal(events[len(events)-1].Kind, EventCold)
	next := *tc.testWorkers["agent-0"].report.Worker
	next.Incarnation, next.ColdLeft = next.Incarnation+1, 0
	tc.testWorkers["agent-0"].report.Worker = &next
	tc.deliverReports()
	tc.is.True(!row.isCold(tc.now))
	tc.now = tc.now.Add(sweepInterval)
	tc.Tick(tc.now)
	events = tc.Events()
	tc.is.Equal(events[len(events)-1].Kind, EventWarm)
	tc.setCold("agent-0", time.Minute)
	tc.now = tc.now.Add(time.Second)
	next.Incarnation, next.ColdLeft = next.Incarnation+1, time.Minute
	tc.testWorkers["agent-0"].report.Worker = &next
	tc.deliverReports()
	tc.is.Equal(row.coldSince, tc.now) // its ramp begins anew

	tc.Cell = New(2, tc.now)
	r := tc.testWorkers["agent-0"].report
	for _, absurd := range []time.Duration{-time.Hour, time.Hour, 1 << 62} {
		r.Worker.ColdLeft = absurd
		tc.Receive(&r, tc.now)
		tc.is.True(!tc.workers.Get("agent-0").isCold(tc.now))
	}
	r.Worker.ColdLeft = time.Second
	tc.Receive(&r, tc.now)
	tc.is.True(tc.workers.Get("agent-0").isCold(tc.now))
}

// Whatever progress the tasks on cold workers make, the factor stays between 1 and 8,
// and a task never takes less time on a cold worker than on a warm one, nor longer than
// by the factor.
func TestColdFactorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		c := New(1, now)
		for _, v := range rapid.SliceOf(rapid.Float64()).Draw(t, "speeds") {
			c.coldSpeed.observe(v)
		}
		f := c.coldSpeed.factor()
		is.True(f >= 1 && f <= maxColdFactor+0.001)
		d := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "run time"))
		left := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "left"))
		w := &workerRow{coldUntil: now.Add(left)}
		got := c.coldTime(w, d, now)
		is.True(got >= d-time.Microsecond && got <= times(d, f)+time.Microsecond)
	})
}

// A task must not be moved off a slow worker to a cold one, where it would not end
// earlier.
func TestNoMoveToColdWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	s := step(1, 1000)
	s.Estimate = 10 * time.Second
	tc.submit(testJob(1, s))
	tc.addWorker("agent-1")
	tc.setCold("agent-1", time.Minute)
	tc.now = tc.now.Add(2 * rampStep)
	tc.testWorkers["agent-0"].report.Running[0].Percent = 1
	tc.workers.Get("agent-0").speed = workerSpeed{average: 0.1, samples: 100}
	for range 10 {
		tc.deliverReports()
	}
	tc.is.Equal(len(tc.testWorkers["agent-0"].report.Running), 1)
	tc.setCold("agent-1", 0)
	tc.deliverReports()
	tc.now = tc.now.Add(sweepInterval)
	tc.deliverReports()
	tc.is.Equal(len(tc.testWorkers["agent-0"].report.Running), 0)
}
