package job

import (
	"testing"
	"time"
)

// A report that knows a later ownership ends this one: its owner is told, and
// nothing of the report is taken in. Two owners never take turns.
func TestLaterEpochDeposes(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(testJob(1, step(1, 100)))
	r := w.hosts["agent-0"].report
	r.Epoch = w.Epoch() + 1
	r.Running = nil
	w.is.True(w.Receive(&r, w.now))
	_, _, task := w.find(Task{Job: testJob(1).ID}.String())
	w.is.Equal(task.state, taskAssigned)
}

// The numbers of runs of a later owner are above all of an earlier one, so a
// worker refuses what is left of the earlier one's orders.
func TestRunNumbersRiseWithOwners(t *testing.T) {
	first, second := New(1, time.Unix(0, 0)), New(2, time.Unix(0, 0))
	if first.runNumber(runsPerEpoch-1) >= second.runNumber(1) {
		t.Error("a later owner's run has a lower number")
	}
}

// Lasting tasks that are at work stay where they are, whatever else is better:
// on a slow, suspect or draining worker, and over their target.
func TestLastingTasksAtWorkStay(t *testing.T) {
	w := newWorld(t, 3)
	feed := step(2, 1000)
	feed.LongRunning, feed.TailTarget, feed.Image, feed.MaxPerWorker, feed.MaxUnavailable = true, 100*time.Millisecond, "feed", 1, 1
	w.submit(testJob(1, feed))
	for n := range 500 { // 10 s
		for agent, h := range w.hosts {
			row := w.workers.Get(agent)
			if len(h.report.Running) == 0 {
				continue
			}
			row.pace = pace{speed: 0.1, looks: 100}
			row.health.failures, row.health.stalls = 5, 2
			for i := range h.report.Running {
				h.report.Running[i].Percent, h.report.Running[i].Load = fullPercent, 500
			}
			if n == 250 {
				h.report.Worker.Draining = true
				h.report.Worker.Sequence++
			}
		}
		w.round()
	}
	for _, h := range w.hosts {
		for _, o := range h.orders {
			w.is.True(o.Kind == OrderStart)
		}
	}
	w.is.Equal(w.count(), 2)
}

// Leases reach beyond the longest outage of the store, so that tasks at work
// outlive it.
func TestLeasesOutliveAnOutage(t *testing.T) {
	w := newWorld(t, 1)
	w.round()
	r := w.hosts["agent-0"].report
	w.is.True(w.Reply(&r).LeaseUntil-r.Clock >= 10*time.Second)
}

// After all VMs lost power a new owner serves again: it waits for nobody whose
// worker came back empty, starts what was lost, and not what was done.
func TestRecoveryFromDurableState(t *testing.T) {
	w := newWorld(t, 2)
	j := testJob(1, step(4, 100), step(2, 100, 0))
	w.submit(j)
	done := ""
	for _, h := range w.hosts {
		if done == "" {
			done = h.report.Running[0].Task
			h.end(done, EndDone)
		}
	}
	w.round()
	stored := w.jobs.Get(j.ID).progress()
	next := &world{is: w.is, now: w.now.Add(3 * time.Second), hosts: map[string]*host{}}
	next.Cell = New(2, next.now)
	next.SetConfiguration(w.cfg)
	for agent := range w.hosts {
		next.LoadAgent(agent)
	}
	w.is.NoErr(next.Load(j, stored, next.now))
	next.FinishLoaded(next.now)
	for agent := range w.hosts {
		next.join(agent)
	}
	for range 3 {
		next.round()
	}
	w.is.Equal(next.count(), 3) // within 60 ms, without the wait for leases
	for range 5 {
		for _, h := range next.hosts {
			for len(h.report.Running) > 0 {
				w.is.True(h.report.Running[0].Task != done)
				h.end(h.report.Running[0].Task, EndDone)
			}
		}
		next.round()
	}
	w.is.True(next.over[j.ID])
}
