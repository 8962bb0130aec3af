package history

import (
	"time"

	"rosemarygap/core/wire"
	core "rosemarygap/core/worker"
	"rosemarygap/io/standin/worker"
)

// Submit proposes a job that runs for a time and takes size quarters of a
// worker.
func (w *Simulation) Submit(id string, runTime time.Duration, size int) {
	w.SubmitJob(NewJob(id, worker.TaskSpec{RunTime: wire.Duration(runTime)}, size))
}

// SubmitJob proposes a job to every owner that believes it owns the cell.
func (w *Simulation) SubmitJob(job core.Job) {
	for _, o := range w.owners {
		w.to(&o.process, w.delay(), func() {
			if o.driver == nil {
				return
			}
			o.driver.Submit(job, o.now(), func(err error) {
				if err == nil && w.journal.Job(job.ID) == nil {
					w.fail("%s: accepted, but not durable", job.ID)
				}
			})
		})
	}
}

// Cancel proposes a cancellation in the same way.
func (w *Simulation) Cancel(id string) {
	for _, o := range w.owners {
		w.to(&o.process, w.delay(), func() {
			if o.driver == nil {
				return
			}
			o.driver.Cancel(id, o.now(), func(err error) {
				if j := w.journal.Job(id); err == nil && !j.Cancelling && !j.State.Final() {
					w.fail("%s: cancelled, but not durably", id)
				}
			})
		})
	}
}

// Heal ends all faults.
func (w *Simulation) EndFaults() {
	w.down, w.slow, w.noise = false, 0, 0
	clear(w.cuts)
	for _, o := range w.owners {
		if o.frozen {
			w.Resume(&o.process, true)
		}
	}
	for _, v := range w.vms {
		if v.frozen {
			w.Resume(&v.process, true)
		}
	}
	w.StartOwner("entry-last")
}
