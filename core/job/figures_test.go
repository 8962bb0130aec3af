package job

import (
	"testing"
	"time"
)

// The figures count what waits by priority and tell how old reports are; the
// first start and the end of a job tell the time since its acceptance.
func TestFigures(t *testing.T) {
	w := newWorld(t, 1)
	j := testJob(1, step(8, 3000), Step{Tasks: 2, After: []int{0}, Need: Resources{Processors: 1}})
	j.Accepted = w.now.Add(-400 * time.Millisecond)
	w.Add(j, w.now)
	w.Tick(w.now)
	f := w.Stats(w.now.Add(700 * time.Millisecond))
	w.is.Equal(f.Waiting, map[int]int{2: 3, 0: 0}) // five of 3,000 run; the second step is not ready
	w.is.Equal(f.ReportAges, map[string]time.Duration{"i-agent-0": 700 * time.Millisecond})
	w.Cancel(j.ID, w.now.Add(time.Second))
	var first, last time.Duration
	starts := 0
	for _, e := range w.Events() {
		switch {
		case e.Kind == EventStart && e.SinceAcceptance > 0:
			first, starts = e.SinceAcceptance, starts+1
		case e.Kind == EventFinal:
			last = e.SinceAcceptance
		}
	}
	w.is.Equal(starts, 1)
	w.is.Equal(first, 400*time.Millisecond)
	w.is.Equal(last, 1400*time.Millisecond)
}
