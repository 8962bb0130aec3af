package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rosemarygap/core/job"
)

// Each further load has its own random numbers and its own range of job numbers, so that
// the jobs of sendJobs and the faults of a seed stay as they are.
const (
	failingJobs = 1 << (16 + iota)
	drains
	lastingJobs
	wideJobs
	deadlyJobs
	reductions
	shuffles
)

// sendFailingJobs starts callers for jobs of which each run of a task fails, or the first
// runs, until stop is closed.
func (r *testRun) sendFailingJobs(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, failingJobs))
	r.sendEvery(500*time.Millisecond, stop, func(n int) {
		payload := fmt.Sprintf("ms=%d fail", 20+rng.IntN(300))
		if rng.IntN(2) == 0 {
			payload += fmt.Sprintf("=%d", 1+rng.IntN(maxFailures-1))
		}
		j := oneStepJob(fmt.Sprintf("%08x%08x", seed, failingJobs+n), 1+rng.IntN(2), payload)
		j.Steps[0].Estimate = 200 * time.Millisecond
		r.wg.Go(func() { r.submitAndFollow(j, false, false) })
	})
}

// deadlySeeds is the interval of the seeds with jobs that crash their workers, and with workers
// whose capacity shrinks and grows.
const deadlySeeds = 3

// sendDeadlyJobs sends jobs of which one task crashes its workers until stop is closed.
func (r *testRun) sendDeadlyJobs(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, deadlyJobs))
	r.sendEvery(3*time.Second, stop, func(n int) {
		j := oneStepJob(fmt.Sprintf("%08x%08x", seed, deadlyJobs+n), 1+rng.IntN(4), fmt.Sprintf("ms=%d deadly", 100+rng.IntN(300)))
		r.wg.Go(func() { r.submitAndFollow(j, false, false) })
	})
}

// reduceCapacities reduces the capacity of one worker after the other for a while until stop
// is closed.
func (r *testRun) reduceCapacities(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, reductions))
	for {
		w := r.agents[rng.IntN(len(r.agents))].worker
		if !pause(stop, time.Duration(200+rng.IntN(800))*time.Millisecond) {
			return
		}
		w.SetShare(int64(20 + rng.IntN(60)))
		pause(stop, contactTime+time.Duration(500+rng.IntN(3000))*time.Millisecond)
		w.SetShare(100)
	}
}

// admissionSeeds is the interval of the seeds that run with admission and wide jobs.
const admissionSeeds = 3

// copySeeds is the interval of the seeds whose tasks may have copies.
const copySeeds = 4

// allowCopies lets the tasks of j have copies. Every second job has tasks that take long
// enough for a copy to end sooner after a fault.
func allowCopies(j *job.Job, n int) {
	for i := range j.Steps {
		j.Steps[i].Speculative = true
	}
	if n%2 == 0 {
		j.Payload = "ms=2500"
	}
}

// sendWideJobs sends jobs beyond the capacity of the workers until stop is closed, so that
// some are refused by the forecast. Their callers do not try again.
func (r *testRun) sendWideJobs(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, wideJobs))
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.sendEvery(300*time.Millisecond, stop, func(n int) {
		j := oneStepJob(fmt.Sprintf("%08x%08x", seed, wideJobs+n), 30+rng.IntN(20), "ms=500")
		r.submit(c, r.schedulers[rng.IntN(len(r.schedulers))], j)
	})
}

// lastingTasks is the number of tasks of a long-running job. With the six workers of a
// deployment several are in a zone, so that its evacuation must stop one after the other.
const lastingTasks = 8

// runLastingJobs submits jobs of long-running tasks, and cancels them when stop is closed.
func (r *testRun) runLastingJobs(seed uint64, stop <-chan struct{}) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(seed, lastingJobs))
	var ids []string
	for n := range 2 {
		j := oneStepJob(fmt.Sprintf("%08x%08x", seed, lastingJobs+n), lastingTasks, fmt.Sprintf("ms=%d lasting", 100+rng.IntN(500)))
		s := &j.Steps[0]
		s.LongRunning, s.MaxPerWorker, s.MaxUnavailable, s.Need.Processors = true, 2, 1+rng.IntN(2), 200
		for range 10 {
			if r.submit(c, r.schedulers[rng.IntN(len(r.schedulers))], j) == http.StatusOK || !pause(stop, 300*time.Millisecond) {
				break
			}
		}
		ids = append(ids, j.ID)
	}
	<-stop
	for _, id := range ids {
		r.cancelSurely(c, id)
	}
}

// cancelSurely cancels a job, which may not have been accepted, after the faults.
func (r *testRun) cancelSurely(c *http.Client, id string) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		p := r.schedulers[r.randIntN(len(r.schedulers))]
		// The job's runs may be stopped before the answer arrives.
		r.ledger.RecordCancellation(id, false)
		code, _ := r.request(c, p, http.MethodDelete, "/jobs/"+id, nil)
		if code == http.StatusOK {
			r.ledger.RecordCancellation(id, true)
		}
		if code == http.StatusOK || code == http.StatusGone {
			return
		}
	}
	r.t.Errorf("job %s could not be cancelled", id)
}

// drainWorkers makes one worker after the other draining for a while until stop is closed.
// At the end all workers are ready.
func (r *testRun) drainWorkers(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, drains))
	for {
		w := r.agents[rng.IntN(len(r.agents))].worker
		if !pause(stop, time.Duration(200+rng.IntN(800))*time.Millisecond) {
			return
		}
		w.SetDraining(true)
		pause(stop, maxDrainDelay+time.Duration(500+rng.IntN(2000))*time.Millisecond)
		w.SetDraining(false)
	}
}

// pause waits for the given time and reports whether stop is still open then.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// sendEvery calls send with increasing numbers until stop is closed.
func (r *testRun) sendEvery(period time.Duration, stop <-chan struct{}, send func(n int)) {
	for n := 0; pause(stop, period); n++ {
		send(n)
	}
}
