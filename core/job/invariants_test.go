package job

import (
	"testing"
	"time"
)

// A report with a later epoch ends this ownership: Receive says so, and ignores
// the rest of the report, so that the earlier owner does not act on it.
func TestLaterEpochSupersedesOwner(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 100)))
	r := tc.testWorkers["agent-0"].report
	r.Epoch = tc.Epoch() + 1
	r.Running = nil
	tc.is.True(tc.Receive(&r, tc.now))
	_, _, task := tc.findTask(Task{Job: testJob(1).ID}.String())
	tc.is.Equal(task.state, taskAssigned)
}

// The run numbers of a later owner are higher than all those of an earlier owner,
// so workers refuse orders of the earlier owner that arrive late.
func TestRunNumbersIncreaseWithEpoch(t *testing.T) {
	first, second := New(1, time.Unix(0, 0)), New(2, time.Unix(0, 0))
	if first.runNumber(runsPerEpoch-1) >= second.runNumber(1) {
		t.Error("run number of a later owner is not higher than that of an earlier owner")
	}
}

// Long-running tasks that are ready are never moved, even from a worker that is
// slow, on probation or draining, or with a tail latency above their target.
func TestReadyLongRunningTasksStay(t *testing.T) {
	tc := newTestCluster(t, 3)
	serving := step(2, 1000)
	serving.LongRunning, serving.TailTarget, serving.Image, serving.MaxPerWorker, serving.MaxUnavailable = true, 100*time.Millisecond, "feed", 1, 1
	tc.submit(testJob(1, serving))
	for n := range 500 { // 10 s
		for agent, w := range tc.testWorkers {
			row := tc.workers.Get(agent)
			if len(w.report.Running) == 0 {
				continue
			}
			row.speed = workerSpeed{average: 0.1, samples: 100}
			row.health.failures, row.health.stalls = 5, 2
			for i := range w.report.Running {
				w.report.Running[i].Percent, w.report.Running[i].Load = fullPercent, 500
			}
			if n == 250 {
				w.report.Worker.Draining = true
				w.report.Worker.Sequence++
			}
		}
		tc.deliverReports()
	}
	for _, w := range tc.testWorkers {
		for _, o := range w.orders {
			tc.is.True(o.Kind == OrderStart)
		}
	}
	tc.is.Equal(tc.countStarts(), 2)
}

// Leases last longer than the longest outage of the store, which is 9.5 s, so
// that running tasks survive the outage.
func TestLeasesOutlastStoreOutage(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.deliverReports()
	r := tc.testWorkers["agent-0"].report
	tc.is.True(tc.Reply(&r, tc.now).LeaseUntil-r.Clock >= 10*time.Second)
}

// After a power loss of all VMs, a new owner does not wait for the leases of
// workers that restarted without runs. It starts the lost tasks again, and not
// the tasks that were done.
func TestRecoveryFromDurableState(t *testing.T) {
	tc := newTestCluster(t, 2)
	j := testJob(1, step(4, 100), step(2, 100, 0))
	tc.submit(j)
	done := ""
	for _, w := range tc.testWorkers {
		if done == "" {
			done = w.report.Running[0].Task
			w.endRun(done, EndDone)
		}
	}
	tc.deliverReports()
	stored := tc.jobs.Get(j.ID).durableProgress()
	next := &testCluster{is: tc.is, now: tc.now.Add(3 * time.Second), testWorkers: map[string]*testWorker{}}
	next.Cell = New(2, next.now)
	next.SetConfiguration(tc.cfg)
	for agent := range tc.testWorkers {
		next.LoadAgent(agent)
	}
	tc.is.NoErr(next.Load(j, stored, next.now))
	next.FinishLoaded(next.now)
	for agent := range tc.testWorkers {
		next.addWorker(agent)
	}
	for range 3 {
		next.deliverReports()
	}
	tc.is.Equal(next.countStarts(), 3) // within 60 ms, without waiting for leases to expire
	for range 5 {
		for _, w := range next.testWorkers {
			for len(w.report.Running) > 0 {
				tc.is.True(w.report.Running[0].Task != done)
				w.endRun(w.report.Running[0].Task, EndDone)
			}
		}
		next.deliverReports()
	}
	tc.is.True(next.endedJobs[j.ID])
}
