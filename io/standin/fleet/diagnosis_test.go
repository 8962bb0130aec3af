package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform/platformtest"
)

// The TestWay tests check the procedures of docs/OPERATIONS.md that lead from a
// job's id to the cause of a problem. They read the logs of real processes with
// the story subcommand and use no other source.

func newTestRun(t testing.TB, seed uint64, schedulers, agents int, options ...deploymentOption) *testRun {
	return &testRun{deployment: newDeployment(t, schedulers, agents, options...), rng: rand.New(rand.NewPCG(seed, 0)),
		finalJobs: map[string]bool{}, servedVersions: map[string]int64{}}
}

// submit submits a job and returns the status code of the response.
func (r *testRun) submit(c *http.Client, p *process, j job.Job) int {
	body, err := platformtest.EncodeJob(j)
	if err != nil {
		r.t.Fatal(err)
	}
	r.ledger.RecordSubmission(j)
	code, _ := r.request(c, p, http.MethodPost, "/jobs/"+j.ID, body)
	r.ledger.RecordResponse(j.ID, code == http.StatusOK, isUnknown(code))
	return code
}

// isUnknown reports whether a submission with this status code may have been accepted.
func isUnknown(code int) bool {
	return code == 0 || code == http.StatusGatewayTimeout || code == http.StatusBadGateway
}

// awaitState polls a job until the response contains the wanted state, and fails
// the test after 20 s.
func (r *testRun) awaitState(c *http.Client, id string, want job.State) {
	r.t.Helper()
	var body []byte
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, body = r.request(c, r.schedulers[0], http.MethodGet, "/jobs/"+id, nil); strings.Contains(string(body), string(want)) {
			return
		}
	}
	r.t.Fatalf("job %s: got state %s, want %s", id, body, want)
}

// story returns the lines that the story subcommand prints for an id.
func (r *testRun) story(id string) []string {
	r.t.Helper()
	time.Sleep(200 * time.Millisecond) // log lines are written in the background
	args := []string{"story", id}
	for _, p := range append(r.schedulers, r.agents...) {
		args = append(args, p.log)
	}
	out, err := exec.Command(r.bin, args...).CombinedOutput()
	if err != nil {
		r.t.Fatalf("story: %v: %s", err, out)
	}
	r.t.Logf("story of %s:\n%s", id, out)
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// requireInOrder fails the test unless the story has, for each step and in the
// order of the steps, a line that contains all words of the step.
func requireInOrder(t *testing.T, story []string, steps ...string) {
	t.Helper()
	for _, step := range steps {
		found := -1
		for i, line := range story {
			if containsAll(line, strings.Fields(step)) {
				found = i
				break
			}
		}
		if found < 0 {
			t.Fatalf("the story has no line for this step after the previous steps: %s", step)
		}
		story = story[found+1:]
	}
}

func containsAll(line string, words []string) bool {
	for _, w := range words {
		if !strings.Contains(line, w) {
			return false
		}
	}
	return true
}

func oneStepJob(id string, tasks int, payload string) job.Job {
	return job.Job{ID: id, Payload: payload, Steps: []job.Step{{Tasks: tasks,
		Need: job.Resources{Processors: 500, Memory: 100}, Estimate: 500 * time.Millisecond}}}
}

// TestWayOfARefusal diagnoses a submission that is refused because the store fails
// all calls.
func TestWayOfARefusal(t *testing.T) {
	r := newTestRun(t, 60003, 2, 1)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.store.SetFaults(StoreFaults{Down: true})
	j := oneStepJob("00000000000000a1", 1, "ms=50")
	if code := r.submit(c, r.schedulers[1], j); code != http.StatusServiceUnavailable {
		t.Fatalf("submission: status %d while the store is down, want 503", code)
	}
	r.store.SetFaults(StoreFaults{})
	requireInOrder(t, r.story(j.ID), "scheduler-1 submission-refused event=7002 reason=status 503 refused without effect")
}

// TestWayOfARefusalByForecast diagnoses a submission that is refused because the job
// would end too late, at both entries. The refused jobs must be unknown afterwards.
func TestWayOfARefusalByForecast(t *testing.T) {
	t.Setenv("ROSEMARYGAP_ADMISSION", "forecast")
	r := newTestRun(t, 60008, 2, 1)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	refused := map[*process]string{}
	for n, end := 0, time.Now().Add(20*time.Second); len(refused) < 2 && time.Now().Before(end); n++ {
		p := r.schedulers[n%2]
		j := oneStepJob(fmt.Sprintf("%016x", 0xb00+n), 40, "ms=500")
		switch code := r.submit(c, p, j); code {
		case http.StatusOK:
		case http.StatusTooManyRequests:
			refused[p] = j.ID
		default:
			t.Fatalf("submission: status %d, want 200 or 429", code)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(refused) < 2 {
		t.Fatalf("%d entries refused a job, want 2", len(refused))
	}
	for p, id := range refused {
		requireInOrder(t, r.story(id), p.name+" submission-refused event=7002 reason=no-room: forecast=wait")
		for _, q := range r.schedulers {
			if code, _ := r.request(c, q, http.MethodGet, "/jobs/"+id, nil); code != http.StatusGone {
				t.Errorf("%s: status %d for the refused job, want 410", q.name, code)
			}
		}
	}
}

// TestWayOfALateJob diagnoses a job that is late because the tasks on one worker make
// no progress.
func TestWayOfALateJob(t *testing.T) {
	r := newTestRun(t, 60004, 2, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.agents[0].worker.SetStalled(true)
	j := oneStepJob("00000000000000a2", 6, "ms=300")
	j.Steps[0].MaxPerWorker = 3
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("submission: status %d, want 200", code)
	}
	r.awaitState(c, j.ID, job.Done)
	requireInOrder(t, r.story(j.ID), "submission-accepted", "decision=start worker=i-0", "order-carried-out outcome=started worker=i-0",
		"decision=stop reason=stalled worker=i-0", "decision=start worker=i-1", "decision=final reason=done elapsed=")
}

// TestWayOfAFailedJob diagnoses a job that fails because a task fails in each
// attempt.
func TestWayOfAFailedJob(t *testing.T) {
	r := newTestRun(t, 60005, 2, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	j := oneStepJob("00000000000000a3", 1, "ms=50 fail")
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("submission: status %d, want 200", code)
	}
	r.awaitState(c, j.ID, job.Failed)
	end := "decision=end reason=failed task=" + j.ID
	requireInOrder(t, r.story(j.ID), "submission-accepted", end, end, end, "decision=final reason=failed task="+j.ID)
}

// TestWayOfAWithdrawnStart diagnoses a start that waits for a worker which answers no
// orders, and is withdrawn when its job is cancelled.
func TestWayOfAWithdrawnStart(t *testing.T) {
	r := newTestRun(t, 60007, 2, 1)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	r.agents[0].worker.SetSilent(true)
	j := oneStepJob("00000000000000a4", 30, "ms=10000")
	j.Steps[0].Need.Processors = 100
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("submission: status %d, want 200", code)
	}
	time.Sleep(200 * time.Millisecond)
	if code, _ := r.request(c, r.schedulers[1], http.MethodDelete, "/jobs/"+j.ID, nil); code != http.StatusOK {
		t.Fatalf("cancellation: status %d, want 200", code)
	}
	time.Sleep(time.Second)
	r.agents[0].worker.SetSilent(false)
	r.awaitState(c, j.ID, job.Cancelled)
	// The owner may learn of the cancellation before the entry has answered it, so these
	// two steps are in either order.
	for _, step := range []string{"cancellation-answered outcome=cancelled", "decision=stop reason=cancelled"} {
		requireInOrder(t, r.story(j.ID), "decision=start reason=placed", step,
			"order-carried-out decision=start outcome=withdrawn waited=", "order-carried-out decision=stop outcome=stopped")
	}
}
