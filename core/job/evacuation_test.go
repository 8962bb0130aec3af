package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// newZonedCluster returns a cluster in which zones can be evacuated, with one worker in
// each of the given zones.
func newZonedCluster(t *testing.T, zones ...string) *testCluster {
	tc := newTestCluster(t, 0)
	tc.restart(1)
	for i, zone := range zones {
		tc.addWorker(fmt.Sprintf("agent-%d", i)).report.Worker.Zone = zone
	}
	tc.deliverReports()
	return tc
}

// restart replaces the cell by that of a new owner without jobs.
func (tc *testCluster) restart(epoch int64) {
	cfg := tc.cfg
	tc.Cell = New(epoch, tc.now, WithEvacuation(5*time.Second))
	tc.SetConfiguration(cfg)
	for _, w := range tc.testWorkers {
		w.report.Epoch, w.report.Applied = epoch, 0
	}
}

func (tc *testCluster) evacuate(zones ...string) { tc.ConfirmEvacuations(zones, tc.now, tc.now) }

// runningIn returns the names of the tasks that run in a zone.
func (tc *testCluster) runningIn(zone string) []string {
	var out []string
	for _, w := range tc.testWorkers {
		for _, r := range w.report.Running {
			if w.report.Worker.Zone == zone {
				out = append(out, r.Task)
			}
		}
	}
	slices.Sort(out)
	return out
}

// deliverProgress delivers reports for some rounds of 20 ms in which all runs have the
// given percentage and checkpoint.
func (tc *testCluster) deliverProgress(rounds, percent int, checkpoint string) {
	for range rounds {
		for _, w := range tc.testWorkers {
			for i := range w.report.Running {
				w.report.Running[i].Percent, w.report.Running[i].Checkpoint = percent, checkpoint
			}
		}
		tc.deliverReports()
	}
}

// A new owner must not place a task in a zone that its predecessor knew as evacuated.
// An older reading that arrives late must not reopen the zone.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	tc := newZonedCluster(t, "a", "b")
	tc.Add(testJob(1, step(12, 1000)), tc.now)
	tc.deliverReports()
	tc.is.Equal(tc.countStarts(), 0) // no reading yet
	tc.evacuate("a", "none")
	tc.ConfirmEvacuations(nil, tc.now.Add(-time.Second), tc.now)
	for range 20 {
		tc.deliverReports()
	}
	tc.is.Equal(len(tc.runningIn("a")), 0)
	tc.is.Equal(len(tc.runningIn("b")), 12)
}

// Nothing may start anywhere if all zones are evacuated, and the long-running tasks,
// which have nowhere to go, go on.
func TestAllZonesEvacuated(t *testing.T) {
	tc := newZonedCluster(t, "a", "b")
	tc.evacuate()
	lasting := step(4, 1000)
	lasting.LongRunning = true
	tc.submit(testJob(1, lasting))
	tc.deliverProgress(150, 100, "")
	tc.evacuate("a", "b")
	tc.Add(testJob(2, step(1, 100)), tc.now)
	tc.deliverProgress(150, 100, "")
	tc.is.Equal(tc.countStarts(), 4)
	tc.is.Equal(len(tc.runningIn("a"))+len(tc.runningIn("b")), 4)
	tc.evacuate()
	tc.deliverProgress(20, 100, "")
	tc.is.Equal(tc.countStarts(), 5)
}

// A start that was ordered before the evacuation and is not listed may wait anywhere on
// its way. It is withdrawn, and the task starts elsewhere.
func TestOrderedStartIsWithdrawn(t *testing.T) {
	tc := newZonedCluster(t, "a")
	tc.evacuate()
	tc.Add(testJob(1, step(1, 100)), tc.now)
	tc.Tick(tc.now) // the order waits at the owner
	tc.addWorker("agent-1").report.Worker.Zone = "b"
	tc.evacuate("a")
	for range 10 {
		tc.deliverReports()
	}
	tc.is.Equal(len(tc.runningIn("a")), 0)
	tc.is.Equal(len(tc.runningIn("b")), 1)
}

// A batch task leaves the zone only if it has a checkpoint and would run on for longer
// than the bound; stopping the others would waste more than it gains.
func TestBatchTasksInEvacuatedZone(t *testing.T) {
	long := step(1, 100)
	long.Checkpoints, long.Estimate = true, time.Minute
	short, gang := long, long
	short.Estimate = 6 * time.Second
	gang.Gang = true
	for name, c := range map[string]struct {
		step       Step
		checkpoint string
		leaves     bool
	}{
		"long":               {long, "saved", true},
		"without checkpoint": {long, "", false},
		"ends soon":          {short, "saved", false},
		"gang":               {gang, "saved", false},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newZonedCluster(t, "a")
			tc.evacuate()
			tc.submit(testJob(1, c.step))
			tc.addWorker("agent-1").report.Worker.Zone = "b"
			tc.deliverProgress(2, 50, c.checkpoint)
			tc.evacuate("a")
			tc.deliverProgress(20, 50, c.checkpoint)
			tc.is.Equal(len(tc.runningIn("b")) == 1, c.leaves)
			tc.is.Equal(len(tc.runningIn("a")) == 1, !c.leaves)
			if c.leaves {
				tc.is.Equal(tc.startOrders()["i-agent-1"][0].Checkpoint, "saved")
			}
		})
	}
}

// newServingCluster returns a cluster with a ready step of six long-running tasks, most
// of them in zone a, of which at most maxUnavailable may be away.
func newServingCluster(t *testing.T, maxUnavailable int) *testCluster {
	tc := newZonedCluster(t, "a", "a")
	tc.evacuate()
	lasting := step(6, 1000)
	lasting.LongRunning, lasting.MaxUnavailable = true, maxUnavailable
	tc.submit(testJob(1, lasting))
	tc.is.Equal(len(tc.runningIn("a")), 6)
	for i := range 2 {
		tc.addWorker(fmt.Sprintf("agent-%d", 2+i)).report.Worker.Zone = "b"
	}
	tc.deliverProgress(120, 100, "")
	return tc
}

// watchReady lets started tasks become ready 600 ms after their first list and returns
// the least number of ready tasks in any round.
func (tc *testCluster) watchReady(rounds int) int {
	least := 1 << 20
	startup := map[runID]int{}
	for range rounds {
		ready := 0
		for _, w := range tc.testWorkers {
			for i := range w.report.Running {
				r := &w.report.Running[i]
				id := runID{r.Task, r.Run}
				if r.Percent == 0 {
					startup[id]++
				}
				if r.Percent == 100 || startup[id] > 30 {
					r.Percent = 100
					ready++
				}
			}
		}
		least = min(least, ready)
		tc.deliverReports()
	}
	return least
}

type runID struct {
	task string
	run  int64
}

// Long-running tasks must not leave a zone all at once: callers of the service would
// find too few of them.
func TestLongRunningTasksLeaveOneAfterTheOther(t *testing.T) {
	for maxUnavailable, least := range map[int]int{0: 5, 1: 5, 2: 4} {
		tc := newServingCluster(t, maxUnavailable)
		tc.evacuate("a")
		tc.is.True(tc.watchReady(1000) >= least)
		tc.is.Equal(len(tc.runningIn("a")), 0)
		tc.is.Equal(len(tc.runningIn("b")), 6)
	}
}

// A long-running task stays where it is if no other zone has room for it.
func TestLongRunningTasksStayWithoutRoom(t *testing.T) {
	tc := newServingCluster(t, 1)
	for _, agent := range []string{"agent-2", "agent-3"} {
		tc.testWorkers[agent].report.Worker.Draining = true
	}
	tc.deliverReports()
	tc.evacuate("a")
	tc.is.Equal(tc.watchReady(300), 6)
	tc.is.Equal(len(tc.runningIn("a")), 6)
}

// Two tasks of different steps are not stopped for the same room.
func TestLongRunningTasksDoNotLeaveForTheSameRoom(t *testing.T) {
	tc := newZonedCluster(t, "a", "a")
	tc.evacuate()
	lasting := step(1, 13000)
	lasting.LongRunning = true
	tc.submit(testJob(1, lasting))
	tc.submit(testJob(2, lasting))
	tc.addWorker("agent-2").report.Worker.Zone = "b"
	tc.deliverProgress(120, 100, "")
	tc.evacuate("a")
	tc.is.Equal(tc.watchReady(300), 1)
	tc.is.Equal(len(tc.runningIn("a")), 1)
	tc.is.Equal(len(tc.runningIn("b")), 1)
}

// The owner dies in the middle of an evacuation. Its successor does not know the zones
// before it reads them, nor which tasks the predecessor has stopped: a task whose stop
// is in progress is still listed as ready. It must not stop others beside that one.
func TestOwnerDiesWhileZoneIsEvacuated(t *testing.T) {
	tc := newServingCluster(t, 1)
	j := tc.jobs.Get(testJob(1).ID).Job
	stopped := tc.runningIn("a")[0] // by the predecessor; the worker still lists it
	tc.restart(2)
	for _, agent := range []string{"agent-0", "agent-1", "agent-2", "agent-3"} {
		tc.LoadAgent(agent)
	}
	tc.is.NoErr(tc.Load(j, Progress{Started: true}, tc.now))
	tc.evacuate("a")
	tc.deliverProgress(20, 100, "")
	for _, w := range tc.testWorkers {
		w.endRun(stopped, EndStopped)
	}
	tc.is.True(tc.watchReady(1000) >= 5)
	tc.is.Equal(len(tc.runningIn("a")), 0)
	tc.is.Equal(len(tc.runningIn("b")), 6)
}

// The tasks of a worker that has not reported to a new owner may be gone: they count as
// away, and no other task of the step is stopped meanwhile.
func TestUnreportedTasksCountAsAway(t *testing.T) {
	tc := newServingCluster(t, 1)
	j := tc.jobs.Get(testJob(1).ID).Job
	silent := tc.testWorkers["agent-0"]
	delete(tc.testWorkers, "agent-0")
	remaining := len(tc.runningIn("a"))
	tc.is.True(remaining > 0 && remaining < 6)
	tc.restart(2)
	tc.LoadAgent(silent.report.Agent)
	tc.is.NoErr(tc.Load(j, Progress{Started: true}, tc.now))
	tc.evacuate("a")
	tc.deliverProgress(300, 100, "") // less than the leases last
	tc.is.Equal(len(tc.runningIn("a")), remaining)
}

// The begin and the end of an evacuation are logged once each, an unknown zone with its
// reason, and a reopened zone is remembered for the ramp.
func TestEvacuationEvents(t *testing.T) {
	tc := newZonedCluster(t, "a", "b")
	tc.evacuate()
	tc.submit(testJob(1, step(4, 8000)))
	inZone := len(tc.runningIn("a"))
	tc.Events()
	tc.evacuate("a", "none")
	var got []string
	collect := func() {
		for range 150 {
			tc.deliverProgress(1, 10, "")
			for _, e := range tc.Events() {
				if e.Zone != "" {
					got = append(got, fmt.Sprint(e.Kind, " ", e.Zone, " ", e.Count, e.Reason))
				}
			}
		}
	}
	collect()
	tc.is.Equal(tc.Stats(tc.now).EvacuatedZoneTasks, map[string]int{"a": inZone, "none": 0})
	tc.is.True(tc.zoneReopenedAt("a").IsZero())
	reopenedAt := tc.now
	tc.evacuate("none")
	collect()
	tc.is.Equal(tc.zoneReopenedAt("a"), reopenedAt)
	tc.is.Equal(got, []string{fmt.Sprint("zone-evacuated a ", inZone), "zone-evacuated none 0no-worker", fmt.Sprint("zone-reopened a ", inZone)})
}

// A reply tells the age of the evacuations and whether the zone of the worker is
// evacuated. Where zones cannot be evacuated, its bytes are the same as before.
func TestReplyTellsEvacuation(t *testing.T) {
	tc := newZonedCluster(t, "a", "b")
	freshness := func(agent string) Freshness {
		r := tc.testWorkers[agent].report
		return *tc.Reply(&r, tc.now).Freshness
	}
	tc.is.True(*freshness("agent-0").EvacuationsAge > time.Hour) // unknown
	tc.evacuate("a")
	tc.now = tc.now.Add(time.Second)
	tc.is.Equal(*freshness("agent-0").EvacuationsAge, time.Second)
	tc.is.True(freshness("agent-0").ZoneEvacuated)
	tc.is.True(!freshness("agent-1").ZoneEvacuated)

	tc = newTestCluster(t, 1)
	tc.evacuate("")
	b, err := json.Marshal(freshness("agent-0"))
	tc.is.NoErr(err)
	tc.is.True(!strings.Contains(string(b), "evacuat"))
	tc.submit(testJob(1, step(1, 100)))
	tc.is.Equal(tc.countStarts(), 1)
}

// Work must not return as a herd when a zone is reopened: its worker gets a quarter of its
// processors in the first second, and half in the next.
func TestReopenedZoneGetsWorkInSteps(t *testing.T) {
	tc := newZonedCluster(t, "a")
	tc.evacuate("a")
	tc.Add(Job{ID: "aaaaaaaaaaaaaaaa", Queue: testQueue, Accepted: tc.now, Steps: []Step{step(12, 1000)}}, tc.now)
	tc.deliverReports()
	tc.is.Equal(len(tc.runningIn("a")), 0)
	tc.evacuate()
	for _, want := range []int{4, 8, 12} {
		tc.deliverReports()
		tc.now = tc.now.Add(500 * time.Millisecond)
		tc.deliverReports()
		tc.is.Equal(len(tc.runningIn("a")), want)
		tc.now = tc.now.Add(500 * time.Millisecond)
	}
}

// Starts of long-running tasks that no list has yet may have become ready meanwhile. They
// must not be withdrawn all at once, although the owner counts them as away.
func TestStartsOfLongRunningTasksAreNotAllWithdrawn(t *testing.T) {
	tc := newZonedCluster(t, "a")
	tc.evacuate()
	lasting := step(3, 1000)
	lasting.LongRunning, lasting.MaxUnavailable = true, 1
	tc.Add(testJob(1, lasting), tc.now)
	tc.Tick(tc.now) // the orders are on their way
	tc.is.Equal(len(tc.workers.Get("agent-0").tasks), 3)
	tc.addWorker("agent-1").report.Worker.Zone = "b"
	tc.evacuate("a")
	tc.Tick(tc.now.Add(sweepInterval))
	stopping := 0
	for _, t := range tc.workers.Get("agent-0").tasks {
		if t.stopping {
			stopping++
		}
	}
	tc.is.True(stopping <= 1)
}
