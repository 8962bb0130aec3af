package deployment

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
	"rosemarygap/io/standin/platform"
	standinworker "rosemarygap/io/standin/worker"

	"github.com/matryer/is"
)

// batchDeployment is a deployment with one cell and running jobs.
type batchDeployment struct {
	*Deployment
	is       *is.I
	workers  []*Standin
	jobCount int
}

// newBatchDeployment starts two entries and three workers, and waits until six
// jobs run.
func newBatchDeployment(t *testing.T, grant, runTime time.Duration) *batchDeployment {
	d := &batchDeployment{Deployment: New(t, 2), is: is.New(t), jobCount: 6}
	doc := ReadConfig(t, "../../../examples/kettle-valley.json")
	doc.Cells = 1
	doc.Timings.LeaseGrant = wire.Duration(grant)
	d.Apply(doc, "first")
	for i := range 3 {
		d.workers = append(d.workers, d.StartWorker(fmt.Sprintf("worker-%d", i), "kelowna", "--slots", "4"))
	}
	for i := range d.jobCount {
		d.submit(fmt.Sprintf("build-%d", i), runTime, 15*time.Second)
	}
	d.Eventually("all jobs running", 10*time.Second, func() bool { return d.countJobs(worker.Running) == d.jobCount })
	return d
}

func (d *batchDeployment) submit(id string, runTime, limit time.Duration) {
	j := worker.Job{ID: id, Team: "press", Class: "catalogue-build",
		Need:    worker.Resources{Processors: 1000, Memory: 512, Slots: 1},
		Payload: fmt.Sprintf(`{"run-time":"%s"}`, runTime)}
	d.Eventually("submitted job "+id, limit, func() bool {
		for _, e := range d.Entries {
			if d.Call(http.MethodPost, e.Operator, "/api/jobs", j, nil) == nil {
				return true
			}
		}
		return false
	})
}

// rows returns the jobs according to the first entry that responds.
func (d *batchDeployment) rows() []worker.JobRow {
	for _, e := range d.Entries {
		var rows []worker.JobRow
		if d.Call(http.MethodGet, e.Operator, "/api/jobs", nil, &rows) == nil {
			return rows
		}
	}
	return nil
}

func (d *batchDeployment) countJobs(state worker.State) int {
	n := 0
	for _, r := range d.rows() {
		if r.State == state {
			n++
		}
	}
	return n
}

// cellOwner returns the owner of the cell and another entry, according to the
// status that the entry observer reports.
func (d *batchDeployment) cellOwner(observer *Entry) (owner, other *Entry) {
	var statuses []entry.Status
	if d.Call(http.MethodGet, observer.Operator, "/api/status", nil, &statuses) != nil {
		return nil, nil
	}
	for _, e := range d.Entries {
		owns := false
		for _, status := range statuses {
			owns = owns || status.ID == e.ID && len(status.Cells) == 1
		}
		if owns {
			owner = e
		} else {
			other = e
		}
	}
	return owner, other
}

// waitForOwner waits until e reports that it owns the cell.
func (d *batchDeployment) waitForOwner(e *Entry, limit time.Duration) {
	d.Eventually("cell owned by "+e.ID, limit, func() bool {
		owner, _ := d.cellOwner(e)
		return owner == e
	})
}

// checkCompletion waits until all jobs have finished. It checks that no job needed
// more than the given number of attempts, and that each job completed exactly once
// on the remaining workers.
func (d *batchDeployment) checkCompletion(limit time.Duration, attempts int) {
	d.Eventually("all jobs finished", limit, func() bool { return d.countJobs(worker.Finished) == d.jobCount })
	completed := make(map[string]int)
	for _, w := range d.workers {
		var ran []standinworker.Run
		_ = d.Call(http.MethodGet, w.Address, "/ran", nil, &ran)
		for _, r := range ran {
			if r.State == worker.TaskDone {
				completed[r.Job]++
			}
		}
	}
	for _, r := range d.rows() {
		d.is.True(r.Attempt <= attempts) // more attempts than the fault explains
		d.is.Equal(completed[r.ID], 1)   // must complete exactly once
	}
}

// A failure or graceful stop of the owner, or a failure of the store, must not
// restart any task. The death of a worker restarts each of its tasks once.
func TestBatchSurvives(t *testing.T) {
	const grant = 15 * time.Second
	tests := []struct {
		fault    string
		grant    time.Duration
		attempts int
		inject   func(d *batchDeployment, owner, other *Entry)
	}{
		{"owner killed", grant, 1, func(d *batchDeployment, owner, other *Entry) {
			owner.Kill()
			d.waitForOwner(other, 10*time.Second)
		}},
		{"owner frozen for 15s", grant, 1, func(d *batchDeployment, owner, other *Entry) {
			owner.Freeze()
			began := time.Now()
			d.waitForOwner(other, 10*time.Second)
			time.Sleep(15*time.Second - time.Since(began))
			owner.Resume()
		}},
		{"graceful stop of the owner", grant, 1, func(d *batchDeployment, owner, other *Entry) {
			owner.BeginStop()
			d.waitForOwner(other, 10*time.Second)
			d.is.NoErr(owner.Stop())
		}},
		{"store down for 8s", grant, 1, func(d *batchDeployment, _, _ *Entry) {
			d.SetFaults(d.Store.Address, "/faults", platform.Faults{Down: true})
			time.Sleep(8 * time.Second)
			d.SetFaults(d.Store.Address, "/faults", platform.Faults{})
		}},
		{"store responses lost after the write", grant, 1, func(d *batchDeployment, _, _ *Entry) {
			d.SetFaults(d.Store.Address, "/faults", platform.Faults{DropResponses: 12})
			d.submit("build-6", time.Second, 10*time.Second)
			d.jobCount++
		}},
		{"worker killed", 3 * time.Second, 2, func(d *batchDeployment, _, _ *Entry) {
			d.workers[0].Kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			t.Parallel()
			d := newBatchDeployment(t, tt.grant, 6*time.Second)
			var owner, other *Entry
			d.Eventually("cell has an owner", 5*time.Second, func() bool {
				owner, other = d.cellOwner(d.Entries[0])
				return owner != nil && other != nil
			})
			tt.inject(d, owner, other)
			d.checkCompletion(20*time.Second, tt.attempts)
		})
	}
}
