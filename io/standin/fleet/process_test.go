package fleet

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/platform/platformtest"
)

// TestSimultaneousSubmissionsAreAccepted checks that a job that is submitted to all
// schedulers at the same time is accepted by each of them, and that each of them
// knows the job afterwards.
func TestSimultaneousSubmissionsAreAccepted(t *testing.T) {
	r := newTestRun(t, 60001, 3, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	for n := range 60 {
		j := r.randomJob(60001, n)
		body, err := platformtest.EncodeJob(j)
		if err != nil {
			t.Fatal(err)
		}
		r.ledger.RecordSubmission(j)
		var wg sync.WaitGroup
		for _, p := range r.schedulers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				code, _ := r.request(c, p, http.MethodPost, "/jobs/"+j.ID, body)
				if code != http.StatusOK {
					t.Errorf("%s responded with status %d to the submission of %s", p.name, code, j.ID)
				}
				r.ledger.RecordResponse(j.ID, code == http.StatusOK, false)
				if code, _ := r.request(c, p, http.MethodGet, "/jobs/"+j.ID, nil); code != http.StatusOK {
					t.Errorf("%s responded with status %d to a query for %s", p.name, code, j.ID)
				}
			}()
		}
		wg.Wait()
	}
	r.healAndWait()
	r.checkResults()
}

// awaitReady waits until each scheduler has a configuration, for at most 10 s per
// scheduler.
func (r *testRun) awaitReady(c *http.Client) {
	for _, p := range r.schedulers {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if code, _ := r.request(c, p, http.MethodGet, "/jobs/", nil); code == http.StatusOK {
				break
			}
		}
	}
}

// TestPlannedStopCutsOffNoRequest checks that callers that reuse their connections
// get a response to each request that a stopping scheduler has read.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	r := newTestRun(t, 60002, 3, 2)
	clients := []*http.Client{{}, {}, {}, {}}
	for _, c := range clients {
		defer c.CloseIdleConnections()
		r.awaitReady(c)
	}
	p := r.schedulers[1]
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for i, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				j := r.randomJob(60002, 1000*i+n)
				j.Payload, j.Steps = "ms=10", j.Steps[:1]
				body, err := platformtest.EncodeJob(j)
				if err != nil {
					t.Error(err)
					return
				}
				r.ledger.RecordSubmission(j)
				code, _ := r.request(c, p, http.MethodPost, "/jobs/"+j.ID, body)
				r.ledger.RecordResponse(j.ID, code == http.StatusOK, code == 0)
				select {
				case <-stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if code != http.StatusOK {
					t.Errorf("status %d while %s stops", code, p.name)
					return
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	time.Sleep(2400 * time.Millisecond) // the listener closes 2.6 s after the signal
	close(stopped)
	wg.Wait()
	r.healAndWait()
	r.checkResults()
}
