package fleet

import (
	"net/http"
	"testing"
	"time"

	"rosemarygap/core/job"
)

// TestEvacuationStopsOneAfterTheOther checks that the evacuation of a zone ends the ready
// long-running tasks of a step one at a time, and all of them: while nothing else is
// disturbed, no stop may come before the task stopped before it is ready elsewhere. The
// soak has few such stops by processes in touch.
func TestEvacuationStopsOneAfterTheOther(t *testing.T) {
	r := newTestRun(t, 60010, 3, 6, withZones(3, soakEvacuationDelay))
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	j := oneStepJob("00000000000000c0", lastingTasks, "ms=300 lasting")
	j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker, j.Steps[0].Need.Processors = true, 2, 200
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("submission: status %d, want 200", code)
	}
	time.Sleep(contactTime + time.Second)
	r.evacuate(zoneName(0))
	left := func() bool { return r.agents[0].worker.runs(j.ID)+r.agents[3].worker.runs(j.ID) == 0 }
	before := r.agents[0].worker.runs(j.ID) + r.agents[3].worker.runs(j.ID)
	for end := time.Now().Add(20 * time.Second); !left() && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
	}
	if !left() || before < 2 {
		t.Errorf("%d tasks were in the zone, want at least 2; all have left: %t", before, left())
	}
	r.cancelSurely(c, j.ID)
	r.awaitState(c, j.ID, job.Cancelled)
	r.finalJobs[j.ID] = true
	r.checkResults()
}
