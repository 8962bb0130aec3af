package job

import "testing"

// A list need not be in the order of the numbers. An end with a lower number than the one
// before it must not be skipped and acknowledged.
func TestEndsInAnyOrderCount(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.submit(testJob(1, step(2, 100)))
	w := tc.testWorkers["agent-0"]
	for _, r := range append([]Run(nil), w.report.Running...) {
		w.endRun(r.Task, EndDone)
	}
	w.report.Ended[0], w.report.Ended[1] = w.report.Ended[1], w.report.Ended[0]
	tc.deliverReports()
	tc.is.True(tc.endedJobs[testJob(1).ID])
}
