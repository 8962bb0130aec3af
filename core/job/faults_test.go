package job

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A report that was sent before the worker left and arrives after the report of the
// departure must not make the worker usable again: what would be placed there would
// wait until the worker's lease has certainly ended.
func TestDelayedReportDoesNotBringBackLeftWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	delayed := tc.testWorkers["agent-0"].report
	left := delayed
	left.Left = true
	tc.Receive(&left, tc.now)
	tc.Receive(&delayed, tc.now)
	tc.Add(testJob(1, step(1, 100)), tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.workers.Get("agent-0").tasks), 0)

	// An agent restarted and no longer knows of a departure, but the worker answers.
	answered := delayed
	answered.Process, answered.Clock = 2, delayed.Clock+time.Second
	tc.Receive(&answered, tc.now)
	tc.Tick(tc.now)
	tc.is.Equal(len(tc.workers.Get("agent-0").tasks), 1)
}

// A job with many occurrences that are long due must not open all of them at once:
// their tasks would exceed the memory of the owner and of each successor.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(64, 100), step(64, 100))
	j.Schedule = Schedule{First: time.Unix(0, 0), Period: time.Millisecond, Times: 1000}
	tc.Add(j, tc.now)
	tc.Tick(tc.now)
	row := tc.jobs.Get(j.ID)
	open := 0
	for range row.tasks {
		open++
	}
	tc.is.True(open > 0 && open <= maxOpenTasks)
	small := testJob(2, step(1, 100))
	small.Schedule = Schedule{First: time.Unix(0, 0), Period: time.Millisecond, Times: 600}
	tc.Add(small, tc.now)
	tc.Tick(tc.now)
	tc.is.True(len(tc.jobs.Get(small.ID).occurrences) <= maxOpenOccurrences)
	for range 20_000 {
		if tc.endedJobs[small.ID] {
			break
		}
		for _, w := range tc.testWorkers {
			for len(w.report.Running) > 0 {
				w.endRun(w.report.Running[0].Task, EndDone)
			}
		}
		tc.deliverReports()
	}
	tc.is.True(tc.endedJobs[small.ID]) // all occurrences were executed
}

// Absurd loads in the reports of one worker must not make the learned parameters
// impossible to encode: the owner would end by a panic when it stores them.
func TestAbsurdLoadsLeaveLearnedParametersFinite(t *testing.T) {
	for _, loads := range [][]int{{math.MaxInt}, {math.MinInt}, {math.MaxInt, 0}, {math.MinInt, math.MaxInt}, {1, math.MaxInt, -7}} {
		is := is.New(t)
		r := newRegression()
		for n := range 5000 {
			u := usage{}
			for i, image := range []string{"a", "b", "c"} {
				u[image] = (&Run{Load: loads[(n+i)%len(loads)]}).ProcessorUse()
			}
			r.observe(Utilization(float64(n%3)), u, 2)
		}
		_, err := json.Marshal(LearnedParameters{Interference: map[string]map[string]float64{"s": r.effectsByImage()}})
		is.NoErr(err)
	}
}

// A stored ratio that no run can have given must not turn estimates negative.
func TestImpossibleRatiosAreNotRestored(t *testing.T) {
	for _, ratio := range []float64{-1, 0, 1e300} {
		c := New(1, time.Unix(0, 0))
		c.LoadLearned(LearnedParameters{RunTimeRatios: map[string]float64{testQueue: ratio}})
		j := testJob(1, step(1, 100))
		j.Steps[0].Estimate = time.Hour
		row := c.add(j)
		estimate := c.runTimeRatios.estimate(row, &row.occurrences[0].steps[0])
		is.New(t).True(estimate > 0)
	}
}
