package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosemarygap/core/job"
)

// foreignChanges are what a heartbeat of another writer may differ in from that of the worker
// in whose name it is.
var foreignChanges = []func(*job.Worker){
	func(w *job.Worker) { w.Incarnation = 1<<63 - 1 },
	func(w *job.Worker) { w.Incarnation++ },
	func(w *job.Worker) { w.Incarnation = time.Now().Add(time.Hour).UnixMilli() },
	func(w *job.Worker) { w.ID, w.Incarnation = "i-foreign", time.Now().UnixMilli() },
	func(w *job.Worker) { w.Sequence, w.Draining = 1<<63-1, true },
	func(w *job.Worker) { w.Sequence, w.Draining = 1<<40, true },
	func(w *job.Worker) { w.Capacity = job.Resources{} },
	func(w *job.Worker) { w.Capacity.Processors = 1<<63 - 1 },
	func(w *job.Worker) { w.Capacity.Processors *= 8 },
	func(w *job.Worker) { w.Capacity.Memory = -1 },
	func(w *job.Worker) { w.Service = "elsewhere" },
	func(w *job.Worker) { w.Zone = "elsewhere" },
	func(w *job.Worker) { w.Labels = []string{"b", "r9"} },
	func(w *job.Worker) { w.Clock = 1<<63 - 1 },
}

// TestSoakForeignHeartbeats is TestSoak with another writer that sends heartbeats in the name of
// the workers: none of them may be lost to it, and no task may run twice.
func TestSoakForeignHeartbeats(t *testing.T) {
	if *earlierBuild != "" {
		t.Skip("the agents of an earlier build take the heartbeats of another writer for those of their workers")
	}
	runSeeds(t, nil, foreignHeartbeats)
}

// sendForeignHeartbeats sends heartbeats in the name of the workers until stop is closed.
func (r *testRun) sendForeignHeartbeats(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 15))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(250)) * time.Millisecond):
		}
		a := r.agents[rng.IntN(len(r.agents))]
		a.worker.SendForeignHeartbeat(r.t.Context(), foreignChanges[rng.IntN(len(foreignChanges))])
	}
}
