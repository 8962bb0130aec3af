package job

import (
	"testing"
	"time"
)

// awaitWait delivers reports until a wait is logged, for 2 s at most, and returns its event.
func (tc *testCluster) awaitWait() Event {
	tc.is.Helper()
	for range 100 {
		tc.deliverReports()
		for _, e := range tc.Events() {
			if e.Kind == EventStepWaited {
				return e
			}
		}
	}
	tc.is.Fail() // no wait is logged
	return Event{}
}

// The log says why the tasks of a step waited, how many and for how long, once they start.
func TestWaitsAreLogged(t *testing.T) {
	const waited = 400 * time.Millisecond
	t.Run("no room", func(t *testing.T) {
		tc := newTestCluster(t, 1)
		tc.submit(testJob(1, step(1, 16000)))
		tc.submit(testJob(2, step(3, 4000)))
		tc.now = tc.now.Add(waited)
		tc.deliverReports()
		tc.Events()
		w := tc.testWorkers["agent-0"]
		w.endRun(w.report.Running[0].Task, EndDone)
		e := tc.awaitWait()
		tc.is.Equal(e.Reason, string(waitRoom))
		tc.is.Equal(e.Task, testJob(2).ID+".0.0")
		tc.is.Equal(e.Count, 3)
		tc.is.True(e.Elapsed >= waited && e.Elapsed < 2*waited)
	})
	t.Run("interference", func(t *testing.T) {
		tc := newTestCluster(t, 1)
		serving := step(1, 3000)
		serving.LongRunning, serving.TailTarget, serving.Image = true, 100*time.Millisecond, "feed"
		tc.submit(testJob(1, serving))
		tc.interference.regressionOf("feed").restore(map[string]float64{"heavy": 0.3})
		tc.interference.loadOf(testJob(1).ID).update(0.7, tc.now)
		heavy := step(1, 2000)
		heavy.BestEffort, heavy.Image = true, "heavy"
		tc.submit(testJob(2, heavy))
		tc.now = tc.now.Add(waited)
		tc.interference.loadOf(testJob(1).ID).peak = 0
		e := tc.awaitWait()
		tc.is.Equal(e.Reason, string(waitInterference))
		tc.is.True(e.Elapsed >= waited)
	})
	t.Run("job cancelled", func(t *testing.T) {
		tc := newTestCluster(t, 1)
		tc.submit(testJob(1, step(1, 16000)))
		tc.submit(testJob(2, step(1, 16000)))
		tc.now = tc.now.Add(waited)
		tc.Cancel(testJob(2).ID, tc.now)
		tc.is.Equal(tc.awaitWait().Task, testJob(2).ID+".0.0")
	})
}

// The log says when it is first known that a job will be late, once, and the room while
// tasks wait at most once a second.
func TestOutlookAndRoomAreLogged(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(1, 16000)))
	tc.submit(testJob(2, step(1, 16000)))
	var outlooks []string
	samples := 0
	for range 500 { // 10 s
		tc.deliverReports()
		for _, e := range tc.Events() {
			switch e.Kind {
			case EventOutlookWorsened:
				outlooks = append(outlooks, e.Task+" "+e.Reason)
			case EventRoomSampled:
				samples++
				tc.is.Equal(e.Count, 1)
				tc.is.Equal(e.Capacity, 16000)
				tc.is.Equal(e.Free, 0)
			}
		}
	}
	tc.is.Equal(outlooks, []string{testJob(2).ID + " late", testJob(2).ID + " too-late"})
	tc.is.True(samples >= 9 && samples <= 11)
}

// The log tells the processors that tasks reserve apart from those that best-effort tasks use:
// these do not count as in use on the platform.
func TestSampledRoomTellsReservedProcessors(t *testing.T) {
	tc := newTestCluster(t, 1)
	serving, filling := step(1, 4000), step(8, 3000)
	filling.BestEffort = true
	tc.submit(testJob(1, serving))
	tc.submit(testJob(2, filling))
	samples := 0
	for range 100 { // 2 s
		tc.deliverReports()
		for _, e := range tc.Events() {
			if e.Kind == EventRoomSampled {
				samples++
				tc.is.Equal(e.Reserved, 4000)
				tc.is.Equal(e.Free, 0)
			}
		}
	}
	tc.is.True(samples > 0)
}
