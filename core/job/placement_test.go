package job

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// newRackCluster returns a cluster with the given number of workers in each of two racks,
// whose tasks are placed by their expected end.
func newRackCluster(t *testing.T, perRack int, options ...Option) *testCluster {
	tc := newTestCluster(t, 0)
	cfg := tc.cfg
	tc.Cell = New(1, tc.now, options...)
	tc.SetConfiguration(cfg)
	for i := range 2 * perRack {
		rack := "r" + fmt.Sprint(1+i/perRack)
		agent := fmt.Sprintf("%s-%d", rack, i%perRack)
		w := tc.addWorker(agent)
		w.report.Worker.Labels = []string{"a", rack}
		tc.deliverReport(agent)
	}
	return tc
}

func rackStep(tasks, processors int, estimate time.Duration) Step {
	s := step(tasks, processors)
	s.Rack, s.Estimate = "r1", estimate
	return s
}

func (tc *testCluster) runningInRack(rack string) int {
	n := 0
	for _, w := range tc.testWorkers {
		if rackOf(w.report.Worker) == rack {
			n += len(w.report.Running)
		}
	}
	return n
}

// pass lets time pass while workers report; the tasks make progress by their estimate of
// the given duration.
func (tc *testCluster) pass(d, estimate time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); {
		for _, w := range tc.testWorkers {
			for i := range w.report.Running {
				_, _, t := tc.findTask(w.report.Running[i].Task)
				w.report.Running[i].Percent = int(min(99, fullPercent*tc.now.Sub(t.orderedAt)/estimate))
			}
		}
		tc.deliverReports()
	}
}

// A task waits for its rack while that is expected to end earlier than a start elsewhere,
// and never for longer than the far factor allows, also if the expected end of the tasks
// there passes again and again.
func TestTaskWaitsForItsRack(t *testing.T) {
	tc := newRackCluster(t, 1, WithRemoteDataFactor(2), WithoutLearning())
	urgent := func(n int) Job {
		j := testJob(n, rackStep(1, 9000, 2*time.Second))
		j.Queue, j.Accepted = "host/urgent/", tc.now
		return j
	}
	tc.submit(urgent(1))
	tc.pass(1500*time.Millisecond, time.Minute)
	tc.submit(urgent(2))
	tc.is.Equal(tc.Stats(tc.now).RackWaits, 1)
	tc.is.Equal(tc.runningInRack("r2"), 0) // 0.5 s + 2 s in the rack against 4 s elsewhere
	w := tc.testWorkers["r1-0"]
	w.endRun(w.report.Running[0].Task, EndDone)
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(tc.runningInRack("r1"), 1)

	tc.pass(time.Second, time.Minute)
	tc.submit(urgent(3))
	tc.is.Equal(tc.runningInRack("r2"), 0)
	tc.pass(1900*time.Millisecond, time.Minute) // the running task ends later than expected
	tc.is.Equal(tc.runningInRack("r2"), 0)
	tc.pass(200*time.Millisecond, time.Minute)
	tc.is.Equal(tc.runningInRack("r2"), 1) // (2 - 1) x 2 s have passed
}

// The room that a task waits for in its rack must not go to a later task of lower rank that
// needs less of it.
func TestClaimedRoomIsKept(t *testing.T) {
	tc := newRackCluster(t, 1, WithRemoteDataFactor(2), WithoutLearning())
	tc.submit(testJob(1, rackStep(1, 8000, 2*time.Second)))
	tc.pass(1500*time.Millisecond, time.Minute)
	j := testJob(2, rackStep(1, 9000, 2*time.Second))
	j.Queue, j.Accepted = "host/urgent/", tc.now
	tc.submit(j)
	tc.is.Equal(tc.Stats(tc.now).RackWaits, 1)
	small := rackStep(1, 7000, 2*time.Second)
	tc.submit(testJob(3, small))
	tc.is.Equal(tc.runningInRack("r1"), 1)
	tc.is.Equal(tc.runningInRack("r2"), 1)
}

// Of many tasks that want one rack, only those wait for which it will have room soon; the
// others must not wait for the same end but start elsewhere at once.
func TestManyTasksWantOneRack(t *testing.T) {
	tc := newRackCluster(t, 2, WithRemoteDataFactor(2))
	first := testJob(1, rackStep(2, 9000, 2*time.Second))
	first.Queue = "host/urgent/"
	tc.submit(first)
	tc.pass(time.Second, 2*time.Second)
	for n := range 2 {
		j := testJob(2+n, rackStep(2, 9000, 2*time.Second))
		j.Queue, j.Accepted = "host/urgent/", tc.now
		tc.submit(j)
	}
	tc.is.Equal(tc.runningInRack("r1"), 2)
	tc.is.Equal(tc.runningInRack("r2"), 2)
	tc.is.Equal(tc.Stats(tc.now).RackWaits, 2)
}

// A task of lower priority must not risk its objective by waiting for a rack, whose room
// tasks of higher priority may take.
func TestNoWaitAtRiskOfObjective(t *testing.T) {
	for target, wantElsewhere := range map[time.Duration]int{time.Second: 1, time.Minute: 0} {
		tc := newRackCluster(t, 1, WithRemoteDataFactor(2))
		tc.cfg.Queues[0].Target = target
		tc.submit(testJob(1, rackStep(1, 9000, 2*time.Second)))
		tc.pass(time.Second, 2*time.Second)
		j := testJob(2, rackStep(1, 9000, 2*time.Second))
		j.Accepted = tc.now
		tc.submit(j)
		tc.is.Equal(tc.runningInRack("r2"), wantElsewhere)
	}
}

// No task waits for a rack whose workers are lost, full for good, or not known.
func TestNoWaitForRackWithoutRoom(t *testing.T) {
	for _, state := range []string{"lost", "full", "unknown"} {
		tc := newRackCluster(t, 1, WithRemoteDataFactor(2))
		s := rackStep(1, 9000, 2*time.Second)
		s.LongRunning = state == "full"
		tc.submit(testJob(1, s))
		tc.is.Equal(tc.runningInRack("r1"), 1)
		next := rackStep(1, 9000, 2*time.Second)
		switch state {
		case "lost":
			delete(tc.testWorkers, "r1-0")
			tc.pass(2*time.Second, 2*time.Second)
		case "unknown":
			next.Rack = "r9"
		}
		j := testJob(2, next)
		j.Queue, j.Accepted = "host/urgent/", tc.now
		tc.submit(j)
		tc.is.Equal(tc.runningInRack("r2"), 1)
	}
}

// Placement by expected end is in force only with a factor above 1, and for steps that
// name a rack.
func TestExpectedEndSwitch(t *testing.T) {
	for _, factor := range []float64{0, 1, -2, math.NaN(), math.Inf(-1)} {
		tc := newRackCluster(t, 1, WithRemoteDataFactor(factor))
		tc.is.Equal(tc.remoteDataFactor, 0.0)
		tc.is.True(!tc.usesExpectedEnd(&Step{Rack: "r1"}))
	}
	tc := newRackCluster(t, 1, WithRemoteDataFactor(math.Inf(1)))
	tc.is.Equal(tc.remoteDataFactor, float64(maxRemoteDataFactor))
	tc.is.True(tc.usesExpectedEnd(&Step{Rack: "r1"}))
	tc.is.True(!tc.usesExpectedEnd(&Step{}))
	tc.is.True(!tc.usesExpectedEnd(&Step{Rack: "r1", LongRunning: true}))
}

// Jobs that name no rack are placed as without the factor.
func TestFactorChangesNothingWithoutRacks(t *testing.T) {
	for _, name := range []string{"slow-workers", "burst-beside-proofs"} {
		load := readWorkload(t, "testdata/load/"+name+".json")
		var tables [2]string
		for i, options := range [][]Option{nil, {WithRemoteDataFactor(3)}} {
			s := newSim(t, load, 1, simPolicy{options: options, hidesFactor: true})
			s.run()
			tables[i] = fmt.Sprint(s.done)
		}
		if tables[0] != tables[1] {
			t.Errorf("%s: jobs end at other times with a factor", name)
		}
	}
}

// Of workers that are otherwise equal, one is chosen whose rack, or else whose zone, has
// fewer tasks of the step.
func TestStepIsSpread(t *testing.T) {
	tc := newRackCluster(t, 2, WithRemoteDataFactor(2))
	for agent, w := range tc.testWorkers {
		w.report.Worker.Zone = "z" + agent[len(agent)-1:]
	}
	tc.deliverReports()
	s := rackStep(2, 5000, time.Second)
	s.Rack = "r9"
	tc.submit(testJob(1, s))
	tc.is.Equal(tc.runningInRack("r1"), 1)
	tc.is.Equal(tc.runningInRack("r2"), 1)
	zones := map[string]int{}
	for _, w := range tc.testWorkers {
		zones[w.report.Worker.Zone] += len(w.report.Running)
	}
	tc.is.Equal(zones, map[string]int{"z0": 1, "z1": 1})
}

// While a wide step waits for room for longer than its estimate, the ends of narrow tasks
// must make room for it, not for later narrow tasks. Tasks of higher rank still start.
func TestWideStepReservesRoom(t *testing.T) {
	tc := newRackCluster(t, 1, WithRemoteDataFactor(2), WithoutLearning(), WithDeadlines())
	tc.cfg.Queues[0].Target = time.Hour
	number := 0
	narrow := func(tasks int) {
		number++
		tc.submit(testJob(number, step(tasks, 2000)))
	}
	narrow(14) // 14,000 of 16,000 on each worker
	number++
	wide := testJob(number, rackStep(wideStepTasks, 12000, time.Second))
	wide.Accepted = wide.Accepted.Add(-time.Minute)
	tc.submit(wide)
	oldest := func() {
		for _, w := range tc.testWorkers {
			w.endRun(w.report.Running[0].Task, EndDone)
		}
		tc.pass(100*time.Millisecond, time.Minute)
	}
	tc.is.Equal(tc.Stats(tc.now).ReservedWorkers, 0) // it has not waited for long
	tc.pass(time.Second, time.Minute)
	oldest()
	tc.is.True(tc.Stats(tc.now).ReservedWorkers > 0)
	for range 5 {
		narrow(2)
		oldest()
	}
	tc.is.Equal(tc.runningInRack("r1")+tc.runningInRack("r2"), 4) // 14 - 12 narrow tasks and 2 wide ones
	urgent := testJob(100, step(2, 2000))
	urgent.Queue, urgent.Accepted = "host/urgent/", tc.now
	tc.submit(urgent)
	tc.is.Equal(tc.runningInRack("r1")+tc.runningInRack("r2"), 6)
}

// A wide step whose result has no value any more must not keep room from others.
func TestTooLateStepReservesNothing(t *testing.T) {
	for target, reserves := range map[time.Duration]bool{time.Second: false, time.Hour: true} {
		tc := newRackCluster(t, 1, WithRemoteDataFactor(2))
		tc.cfg.Queues[0].Target = target
		tc.submit(testJob(1, step(14, 2000)))
		wide := testJob(2, rackStep(wideStepTasks, 12000, time.Second))
		wide.Accepted = wide.Accepted.Add(-time.Minute)
		tc.submit(wide)
		tc.pass(1200*time.Millisecond, 2*time.Second)
		tc.is.Equal(tc.Stats(tc.now).ReservedWorkers > 0, reserves)
	}
}

// A task that takes longer because its data is in another rack is no sign of a slow worker
// or of wrong estimates of the queue.
func TestRemoteRunIsNotJudged(t *testing.T) {
	tc := newRackCluster(t, 1, WithRemoteDataFactor(3))
	s := rackStep(1, 1000, 6*time.Second)
	s.Rack = "r9"
	tc.submit(testJob(1, s))
	agent := "r1-0"
	if len(tc.testWorkers[agent].report.Running) == 0 {
		agent = "r2-0"
	}
	tc.pass(18*time.Second, 18*time.Second)
	w := tc.workers.Get(agent)
	tc.is.True(w.speed.samples > 0 && w.speed.average > 0.9)
	tc.testWorkers[agent].endRun(tc.testWorkers[agent].report.Running[0].Task, EndDone)
	tc.deliverReports()
	ratio := tc.runTimeRatios.byQueue[testQueue]
	tc.is.True(ratio > 0.99 && ratio < 1.01)
}

// Most of the room is free, and a task of low priority needs more of a worker than is left beside
// small tasks and the processors that are kept for urgent tasks. It must start all the same: these
// would be kept from it for as long as the small tasks run.
func TestLargeTaskBesideSmallOnes(t *testing.T) {
	tc := newTestCluster(t, 4)
	small := step(4, 1000)
	small.LongRunning, small.MaxPerWorker = true, 1
	tc.submit(Job{ID: testJob(1).ID, Queue: "host/urgent/", Steps: []Step{small}, Accepted: tc.now})
	tc.Add(testJob(2, step(1, 14500)), tc.now)
	started := func() bool {
		for _, w := range tc.testWorkers {
			for _, r := range w.report.Running {
				if r.Task == (Task{Job: testJob(2).ID}).String() {
					return true
				}
			}
		}
		return false
	}
	for range 50 { // 1 s
		tc.deliverReports()
	}
	tc.is.True(!started())
	for range 50 {
		tc.deliverReports()
	}
	tc.is.True(started())
}
