package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"rosemarygap/core/job"
)

// TestNoStartLongAfterCancellation checks that the starts of a cancelled job do not
// wait in the agent while the worker answers no orders, and reach the worker once it
// answers again.
func TestNoStartLongAfterCancellation(t *testing.T) {
	r := newTestRun(t, 60006, 2, 1)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	w := r.agents[0].worker
	w.SetFaults(false, 1)
	var ids []string
	for n := range 5 {
		j := oneStepJob(fmt.Sprintf("00000000000000b%d", n), 6, "ms=10000")
		j.Steps[0].Need.Processors = 100
		if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
			t.Fatalf("submission: status %d, want 200", code)
		}
		ids = append(ids, j.ID)
	}
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		code, _ := r.request(c, r.schedulers[1], http.MethodDelete, "/jobs/"+id, nil)
		if code != http.StatusOK {
			t.Fatalf("cancellation: status %d, want 200", code)
		}
		r.ledger.RecordCancellation(id, true)
	}
	time.Sleep(maxCancelDelay + time.Second)
	w.SetFaults(false, 0)
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		r.awaitState(c, id, job.Cancelled)
		r.finalJobs[id] = true
	}
	r.checkResults()
}

// awaitFirstJob waits until a job has been done, so that there is an owner that knows
// the workers.
func (r *testRun) awaitFirstJob(c *http.Client) {
	first := oneStepJob("00000000000000bf", 1, "ms=10")
	if code := r.submit(c, r.schedulers[0], first); code != http.StatusOK {
		r.t.Fatalf("submission: status %d, want 200", code)
	}
	r.awaitState(c, first.ID, job.Done)
	r.finalJobs[first.ID] = true
}
