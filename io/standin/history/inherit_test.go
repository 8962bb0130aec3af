package history

import (
	"testing"
	"time"

	core "rosemarygap/core/worker"
)

// An owner whose registration lapses in an outage knows when the lease of a
// worker that died meanwhile has ended: the task restarts after the grant,
// not after the outage hold.
func TestOwnerRemembersLeasesThroughOutage(t *testing.T) {
	for seed := range uint64(20) {
		w := New(seed, workers, t.Fatalf, checkRunning, checkRecord)
		w.timing.Hold = time.Hour
		w.Run(5 * time.Second)
		for _, o := range w.owners {
			w.cuts[pair(o.id, "store")] = o.driver == nil
		}
		w.Submit("job-1", 5*time.Minute, 4)
		w.Run(3 * time.Second)
		v := w.journal.Job("job-1").Worker
		w.down = true
		w.Run(2 * ownerTTL)
		w.CurrentVM(v).dead = true
		w.down = false
		w.Run(30 * time.Second)
		if j := w.journal.Job("job-1"); j.State != core.Running || j.Worker == v {
			t.Fatalf("seed %d: not restarted elsewhere: %+v", seed, j)
		}
	}
}
