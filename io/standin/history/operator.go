package history

import (
	"time"

	"rosemarygap/core/wire"
	core "rosemarygap/core/worker"
	"rosemarygap/io/standin/worker"
)

// Submit submits a job that runs for runTime and needs size quarters of the
// capacity of a worker.
func (sim *Simulation) Submit(id string, runTime time.Duration, size int) {
	sim.SubmitJob(NewJob(id, worker.TaskSpec{RunTime: wire.Duration(runTime)}, size))
}

// SubmitJob submits a job to every process that believes that it owns the cell.
func (sim *Simulation) SubmitJob(job core.Job) {
	for _, o := range sim.owners {
		sim.deliver(&o.process, sim.drawDelay(), func() {
			if o.driver == nil {
				return
			}
			o.driver.Submit(job, o.now(), func(err error) {
				if err == nil && sim.durable.Job(job.ID) == nil {
					sim.fatalf("job %s was accepted, but is not durable", job.ID)
				}
			})
		})
	}
}

// Cancel cancels a job at every process that believes that it owns the cell.
func (sim *Simulation) Cancel(id string) {
	for _, o := range sim.owners {
		sim.deliver(&o.process, sim.drawDelay(), func() {
			if o.driver == nil {
				return
			}
			o.driver.Cancel(id, o.now(), func(err error) {
				if j := sim.durable.Job(id); err == nil && !j.Cancelling && !j.State.Final() {
					sim.fatalf("cancellation of job %s was accepted, but is not durable", id)
				}
			})
		})
	}
}

// EndFaults ends all faults and starts one more owner.
func (sim *Simulation) EndFaults() {
	sim.storeDown, sim.storeDelay, sim.faultRate = false, 0, 0
	clear(sim.cutLinks)
	for _, o := range sim.owners {
		if o.frozen {
			sim.Resume(&o.process, true)
		}
	}
	for _, v := range sim.vms {
		if v.frozen {
			sim.Resume(&v.process, true)
		}
	}
	sim.StartOwner("entry-last")
}
