package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Each further load has its own random numbers and its own range of job numbers, so that
// the jobs of sendJobs and the faults of a seed stay as they are.
const (
	failingJobs = 1 << (16 + iota)
	drains
)

// sendFailingJobs sends jobs of which each run of a task fails, or the first runs, until
// stop is closed, and waits for their callers.
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
