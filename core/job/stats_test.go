package job

import (
	"testing"
	"time"
)

// Stats counts waiting tasks by priority and gives the age of reports. The events
// for the first start and the end of a job give the time since its acceptance.
func TestStats(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(8, 3000), Step{Tasks: 2, After: []int{0}, Need: Resources{Processors: 1}})
	j.Accepted = tc.now.Add(-400 * time.Millisecond)
	tc.Add(j, tc.now)
	tc.Tick(tc.now)
	stats := tc.Stats(tc.now.Add(700 * time.Millisecond))
	tc.is.Equal(stats.Waiting, map[int]int{2: 3, 0: 0}) // five tasks of 3,000 run; the second step is not ready
	tc.is.Equal(stats.ReportAges, map[string]time.Duration{"i-agent-0": 700 * time.Millisecond})
	tc.Cancel(j.ID, tc.now.Add(time.Second))
	var first, last time.Duration
	starts := 0
	for _, e := range tc.Events() {
		switch {
		case e.Kind == EventStart && e.SinceAcceptance > 0:
			first, starts = e.SinceAcceptance, starts+1
		case e.Kind == EventFinal:
			last = e.SinceAcceptance
		}
	}
	tc.is.Equal(starts, 1)
	tc.is.Equal(first, 400*time.Millisecond)
	tc.is.Equal(last, 1400*time.Millisecond)
}
