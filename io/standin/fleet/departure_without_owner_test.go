package fleet

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A worker leaves while all schedulers restart, so that the ends that it has listed are not
// durable. The next owner must wait for its agent, which is slow to report.
func TestNextOwnerWaitsForAgentOfDepartedWorker(t *testing.T) {
	r := newTestRun(t, 60012, 3, 3)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	a := r.agents[0]
	for _, other := range r.agents[1:] {
		other.worker.SetDraining(true)
	}
	time.Sleep(contactTime + time.Second)
	if code := r.submit(c, r.schedulers[0], oneStepJob(fmt.Sprintf("%016x", 0xd00), 4, "ms=2500")); code != http.StatusOK {
		t.Fatalf("submission: status %d, want 200", code)
	}
	time.Sleep(500 * time.Millisecond)
	for _, other := range r.agents[1:] {
		other.worker.SetDraining(false)
	}
	restarted := r.ledger.Plan(r.schedulers[0].name, r.schedulers[1].name, r.schedulers[2].name)
	for _, p := range r.schedulers {
		p.signal(syscall.SIGTERM)
	}
	r.faults.Go(func() { a.worker.Depart(r.ctx, Departure{AfterLastEnd: 50 * time.Millisecond, Away: 8 * time.Second}) })
	for r.ledger.Judged()["departures"] == 0 || r.schedulers[0].running() || r.schedulers[1].running() || r.schedulers[2].running() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	r.disturb(3*time.Second, func() { a.signal(syscall.SIGSTOP) }, func() { a.signal(syscall.SIGCONT) }, a.name)
	for _, p := range r.schedulers {
		r.startAs(p, r.ledger.Plan)
	}
	restarted()
	r.faults.Wait()
	r.healAndWait()
	r.checkResults()
}
