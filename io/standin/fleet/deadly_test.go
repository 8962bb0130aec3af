package fleet

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/job"
)

// TestDeadlyTasksAreGivenUp checks that a task that crashes each worker that starts it is given
// up after a few crashes, although owners are killed while its workers are down, and that the
// jobs beside it are done.
func TestDeadlyTasksAreGivenUp(t *testing.T) {
	r := newTestRun(t, 60031, 3, 6)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	deadly, beside := map[string]bool{}, map[string]bool{}
	for n := range 60 { // 12 s
		j := oneStepJob(fmt.Sprintf("00000000000d%04x", n), 2, "ms=300")
		if n%15 == 2 {
			j.Payload += " deadly"
			deadly[j.ID] = true
		} else {
			beside[j.ID] = true
		}
		for try := 0; r.submit(c, r.schedulers[(n+try)%3], j) != http.StatusOK && try < 50; try++ {
			time.Sleep(100 * time.Millisecond)
		}
		if n%20 == 10 {
			p := r.ownerProcess()
			p.signal(syscall.SIGKILL)
			r.runLater(time.Second, func() { r.start(p) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.faults.Wait()
	for id := range beside {
		r.awaitState(c, id, job.Done)
		r.finalJobs[id] = true
	}
	for id := range deadly {
		r.awaitState(c, id, job.Failed)
		r.finalJobs[id] = true
	}
	r.checkResults()
}
