package fleet

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/platform/platformtest"
)

// A job that is handed in at all schedulers at the same moment is accepted by
// each of them, and each knows it from then on.
func TestSimultaneousSubmissionsAreAccepted(t *testing.T) {
	r := newRun(t, 60001, 3, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	for n := range 60 {
		j := r.job(60001, n)
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
					t.Errorf("%s answered %d to %s", p.name, code, j.ID)
				}
				r.ledger.RecordResponse(j.ID, code == http.StatusOK, false)
				if code, _ := r.request(c, p, http.MethodGet, "/jobs/"+j.ID, nil); code != http.StatusOK {
					t.Errorf("%s answered %d to a question for %s", p.name, code, j.ID)
				}
			}()
		}
		wg.Wait()
	}
	r.settle()
	r.verdict()
}

// awaitReady waits until each scheduler has a configuration.
func (r *run) awaitReady(c *http.Client) {
	for _, p := range r.schedulers {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if code, _ := r.request(c, p, http.MethodGet, "/jobs/", nil); code == http.StatusOK {
				break
			}
		}
	}
}

// A planned stop cuts off no request: callers that keep their connections get
// an answer to each request that the stopping scheduler has read.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	r := newRun(t, 60002, 3, 2)
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
				j := r.job(60002, 1000*i+n)
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
					t.Errorf("answer %d while %s stops", code, p.name)
					return
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	p.kill(syscall.SIGTERM)
	time.Sleep(2400 * time.Millisecond) // the listener closes 2.6 s after the signal
	close(stopped)
	wg.Wait()
	r.settle()
	r.verdict()
}
