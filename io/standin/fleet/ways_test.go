package fleet

import (
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform/platformtest"
)

// The tests below follow the ways of docs/OPERATIONS.md from a job's id to the
// cause, on the logs of real processes, by the story subcommand alone.

func newRun(t *testing.T, network, schedulers, agents int) *run {
	return &run{deployment: newDeployment(t, network, schedulers, agents), rng: rand.New(rand.NewPCG(uint64(network), 0)),
		final: map[string]bool{}, served: map[string]int64{}}
}

// submit hands a job in and returns the status of the answer.
func (r *run) submit(c *http.Client, p *proc, j job.Job) int {
	body, err := platformtest.EncodeJob(j)
	if err != nil {
		r.t.Fatal(err)
	}
	r.ledger.RecordSubmission(j)
	code, _ := r.request(c, p, http.MethodPost, "/jobs/"+j.ID, body)
	r.ledger.RecordResponse(j.ID, code == http.StatusOK, code == 0)
	return code
}

// await asks for a job's state until it is the wanted one.
func (r *run) await(c *http.Client, id string, want job.State) {
	r.t.Helper()
	var body []byte
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, body = r.request(c, r.schedulers[0], http.MethodGet, "/jobs/"+id, nil); strings.Contains(string(body), string(want)) {
			return
		}
	}
	r.t.Fatalf("%s is %s, want %s", id, body, want)
}

// story returns the lines that the story subcommand tells of an id.
func (r *run) story(id string) []string {
	r.t.Helper()
	time.Sleep(200 * time.Millisecond) // lines are written in the background
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

// follow fails unless the story has lines with the given words in this order.
func follow(t *testing.T, story []string, steps ...string) {
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
			t.Fatalf("the story lacks, in order: %s", step)
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

func oneStep(id string, tasks int, payload string) job.Job {
	return job.Job{ID: id, Payload: payload, Steps: []job.Step{{Tasks: tasks,
		Need: job.Resources{Processors: 500, Memory: 100}, Estimate: 500 * time.Millisecond}}}
}

// Refused: the store refuses all calls.
func TestWayOfARefusal(t *testing.T) {
	r := newRun(t, 60003, 2, 1)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.store.SetFaults(StoreFaults{Down: true})
	j := oneStep("00000000000000a1", 1, "ms=50")
	if code := r.submit(c, r.schedulers[1], j); code != http.StatusServiceUnavailable {
		t.Fatalf("answer %d while the store refuses", code)
	}
	r.store.SetFaults(StoreFaults{})
	follow(t, r.story(j.ID), "scheduler-1 submission-refused event=7002 reason=status 503 refused without effect")
}

// Late: the tasks of one worker stand still.
func TestWayOfALateJob(t *testing.T) {
	r := newRun(t, 60004, 2, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.agents[0].worker.SetStalled(true)
	j := oneStep("00000000000000a2", 6, "ms=300")
	j.Steps[0].MaxPerWorker = 3
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("answer %d", code)
	}
	r.await(c, j.ID, job.Done)
	follow(t, r.story(j.ID), "submission-accepted", "decision=start worker=i-0", "order-carried-out outcome=started worker=i-0",
		"decision=stop reason=stalled worker=i-0", "decision=start worker=i-1", "decision=final reason=done elapsed=")
}

// Failed for good: a task fails on each attempt.
func TestWayOfAFailedJob(t *testing.T) {
	r := newRun(t, 60005, 2, 2)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	j := oneStep("00000000000000a3", 1, "ms=50 fail")
	if code := r.submit(c, r.schedulers[0], j); code != http.StatusOK {
		t.Fatalf("answer %d", code)
	}
	r.await(c, j.ID, job.Failed)
	end := "decision=end reason=failed task=" + j.ID
	follow(t, r.story(j.ID), "submission-accepted", end, end, end, "decision=final reason=failed task="+j.ID)
}
