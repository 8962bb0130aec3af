package history

import (
	"testing"
	"time"

	core "rosemarygap/core/worker"
)

// An owner whose lease in the store expires during an outage must keep its bounds
// on the ends of worker leases. Otherwise, it would wait for Timings.Hold, as a new
// owner does, before it restarts a task of a worker that died in the outage,
// instead of only for Timings.Grant.
func TestOwnerRemembersLeasesThroughOutage(t *testing.T) {
	for seed := range uint64(20) {
		sim := New(seed, workerCount, t.Fatalf, checkRunning, checkRecord)
		sim.timings.Hold = time.Hour
		sim.Run(5 * time.Second)
		for _, o := range sim.owners {
			sim.cutLinks[linkKey(o.id, "store")] = o.driver == nil
		}
		sim.Submit("job-1", 5*time.Minute, 4)
		sim.Run(3 * time.Second)
		workerID := sim.durable.Job("job-1").Worker
		sim.storeDown = true
		sim.Run(2 * ownerLeaseTTL)
		sim.CurrentVM(workerID).dead = true
		sim.storeDown = false
		sim.Run(30 * time.Second)
		if j := sim.durable.Job("job-1"); j.State != core.Running || j.Worker == workerID {
			t.Fatalf("seed %d: job was not restarted on another worker: %+v", seed, j)
		}
	}
}
