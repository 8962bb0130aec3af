package job

import "time"

// Stats holds the values that the metrics show for a cell.
type Stats struct {
	// Waiting counts the tasks that are ready to start, by the priority of
	// their queue.
	Waiting map[int]int
	// ReportAges is the age of the newest report of each worker.
	ReportAges map[string]time.Duration
	// EvacuatedZoneTasks counts the tasks that are assigned to workers in each
	// evacuated zone.
	EvacuatedZoneTasks map[string]int
	// AccountShares is what runs and is reserved for each account, in percent of the
	// room; it is nil without fair shares.
	AccountShares map[Account]float64
	// ColdWorkers counts the workers that are cold. ColdFactor is the learned factor by
	// which tasks take longer there.
	ColdWorkers int
	ColdFactor  float64
	// RackWaits counts the tasks that wait for room in the rack of their data though
	// another worker has room, and ReservedWorkers the workers on which steps reserve
	// room.
	RackWaits, ReservedWorkers int
	// IsolatedWorkers counts the workers that are isolated, and SuspectSteps the steps whose
	// tasks wait for one.
	IsolatedWorkers, SuspectSteps int
}

// Stats returns the values for the metrics.
func (c *Cell) Stats(now time.Time) Stats {
	out := Stats{Waiting: map[int]int{}, AccountShares: c.accountShares(), ReportAges: make(map[string]time.Duration, c.workers.Len()),
		EvacuatedZoneTasks: map[string]int{}}
	for zone := range c.evacuations.zones {
		out.EvacuatedZoneTasks[zone], _ = c.tasksIn(zone)
	}
	for _, q := range c.queues {
		out.Waiting[q.Priority] = 0
	}
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.IsFinal() || q == nil {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if o.steps[i].waiting > 0 && o.isStepReady(i) {
					out.Waiting[q.Priority] += o.steps[i].waiting
				}
			}
		}
	}
	out.RackWaits, out.ReservedWorkers = c.rackWaits, len(c.claims)
	out.IsolatedWorkers, out.SuspectSteps = len(c.isolation.workers), c.isolation.waiting
	out.ColdFactor = c.coldSpeed.factor()
	for _, w := range c.workers.All {
		if w.isCold(now) {
			out.ColdWorkers++
		}
		out.ReportAges[w.ID] = now.Sub(w.lastReport)
	}
	return out
}
