package job

import "testing"

// A job counts as waiting until a worker has begun a run of it, not only until a run is
// ordered: an agent may refuse the start, or its worker answer nothing for seconds.
func TestJobWaitsUntilRunIsListed(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(1, 1000))
	tc.Add(j, tc.now)
	tc.is.Equal(len(tc.request(true, true).Orders), 1)
	row := tc.jobs.Get(j.ID)
	tc.is.True(!row.durableProgress().Started)

	w := tc.testWorkers["agent-0"]
	r := w.report
	r.Applied, r.Absent = 1, []AbsentRun{{Task: Task{Job: j.ID}.String(), Run: 1, Reason: "room"}}
	tc.Receive(&r, tc.now)
	tc.is.True(!row.durableProgress().Started)
	w.report.Applied = 1
	tc.now = tc.now.Add(refusalPause)
	tc.deliverReports() // carries out the next start
	tc.deliverReports() // lists the run
	tc.is.True(row.durableProgress().Started)
}
