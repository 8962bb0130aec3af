package fleet

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestLateStartAfterRestartOfAgentAndWorker checks that a start which the worker executes
// late does not run on the worker's next incarnation beside the task's next run, although
// the agent that sent it was replaced before the worker restarted.
func TestLateStartAfterRestartOfAgentAndWorker(t *testing.T) {
	r := newTestRun(t, 60010, 3, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	a := r.agents[0]
	a.worker.SetFaults(false, 2)
	for n := range 6 {
		j := oneStepJob(fmt.Sprintf("00000000000000c%d", n), 8, "ms=4000")
		j.Steps[0].Need.Processors = 100
		if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
			t.Fatalf("submission: status %d, want 200", code)
		}
	}
	time.Sleep(700 * time.Millisecond)
	a.worker.SetFaults(false, 0)
	a.signal(syscall.SIGKILL)
	time.Sleep(100 * time.Millisecond)
	a.worker.Crash()
	r.start(a)
	time.Sleep(2500 * time.Millisecond) // the late starts take effect
	r.healAndWait()
	r.checkResults()
}
