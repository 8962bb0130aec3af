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

// batchSite is a deployment with one cell whose jobs run.
type batchSite struct {
	*Deployment
	is      *is.I
	workers []*Standin
	jobs    int
}

// newBatchSite starts two entries, three workers and six jobs that run.
func newBatchSite(t *testing.T, grant, runTime time.Duration) *batchSite {
	s := &batchSite{Deployment: New(t, 2), is: is.New(t), jobs: 6}
	doc := ReadConfig(t, "../../../examples/kettle-valley.json")
	doc.Cells = 1
	doc.Timings.LeaseGrant = wire.Duration(grant)
	s.Apply(doc, "first")
	for i := range 3 {
		s.workers = append(s.workers, s.StartWorker(fmt.Sprintf("worker-%d", i), "kelowna", "--slots", "4"))
	}
	for i := range s.jobs {
		s.submit(fmt.Sprintf("build-%d", i), runTime, 15*time.Second)
	}
	s.Eventually("all run", 10*time.Second, func() bool { return s.count(worker.Running) == s.jobs })
	return s
}

func (s *batchSite) submit(id string, runTime, limit time.Duration) {
	j := worker.Job{ID: id, Team: "press", Class: "catalogue-build",
		Need:    worker.Resources{Processors: 1000, Memory: 512, Slots: 1},
		Payload: fmt.Sprintf(`{"run-time":"%s"}`, runTime)}
	s.Eventually("submitted "+id, limit, func() bool {
		for _, e := range s.Entries {
			if s.Call(http.MethodPost, e.Operator, "/api/jobs", j, nil) == nil {
				return true
			}
		}
		return false
	})
}

// rows returns the jobs as any entry that answers has them.
func (s *batchSite) rows() []worker.JobRow {
	for _, e := range s.Entries {
		var rows []worker.JobRow
		if s.Call(http.MethodGet, e.Operator, "/api/jobs", nil, &rows) == nil {
			return rows
		}
	}
	return nil
}

func (s *batchSite) count(state worker.State) int {
	n := 0
	for _, r := range s.rows() {
		if r.State == state {
			n++
		}
	}
	return n
}

// owner returns the entry that owns the cell, and one other, as the entry
// that is asked sees it.
func (s *batchSite) owner(asked *Entry) (owner, other *Entry) {
	var st []entry.Status
	if s.Call(http.MethodGet, asked.Operator, "/api/status", nil, &st) != nil {
		return nil, nil
	}
	for _, e := range s.Entries {
		owns := false
		for _, one := range st {
			owns = owns || one.ID == e.ID && len(one.Cells) == 1
		}
		if owns {
			owner = e
		} else {
			other = e
		}
	}
	return owner, other
}

// movesTo waits until the cell is owned by e.
func (s *batchSite) movesTo(e *Entry, limit time.Duration) {
	s.Eventually("cell owned by "+e.ID, limit, func() bool {
		owner, _ := s.owner(e)
		return owner == e
	})
}

// finish waits for all jobs and checks the number of attempts, and that each
// was completed exactly once on the workers that are left.
func (s *batchSite) finish(limit time.Duration, attempts int) {
	s.Eventually("all finished", limit, func() bool { return s.count(worker.Finished) == s.jobs })
	done := make(map[string]int)
	for _, w := range s.workers {
		var ran []standinworker.Run
		_ = s.Call(http.MethodGet, w.Address, "/ran", nil, &ran)
		for _, r := range ran {
			if r.State == worker.TaskDone {
				done[r.Job]++
			}
		}
	}
	for _, r := range s.rows() {
		s.is.True(r.Attempt <= attempts) // more attempts than the cause explains
		s.is.Equal(done[r.ID], 1)        // completed once
	}
}

// Each main cause of a change of owner, or of its silence, lets all tasks run
// on; the death of a worker starts each of its tasks once more.
func TestBatchSurvives(t *testing.T) {
	const grant = 15 * time.Second
	tests := []struct {
		cause    string
		grant    time.Duration
		attempts int
		strike   func(s *batchSite, owner, other *Entry)
	}{
		{"owner killed", grant, 1, func(s *batchSite, owner, other *Entry) {
			owner.Kill()
			s.movesTo(other, 10*time.Second)
		}},
		{"owner frozen for 15s", grant, 1, func(s *batchSite, owner, other *Entry) {
			owner.Freeze()
			began := time.Now()
			s.movesTo(other, 10*time.Second)
			time.Sleep(15*time.Second - time.Since(began))
			owner.Resume()
		}},
		{"planned stop of the owner", grant, 1, func(s *batchSite, owner, other *Entry) {
			owner.BeginStop()
			s.movesTo(other, 10*time.Second)
			s.is.NoErr(owner.Stop())
		}},
		{"store down for 8s", grant, 1, func(s *batchSite, _, _ *Entry) {
			s.SetFaults(s.Store.Address, "/faults", platform.Faults{Down: true})
			time.Sleep(8 * time.Second)
			s.SetFaults(s.Store.Address, "/faults", platform.Faults{})
		}},
		{"answers lost after the write", grant, 1, func(s *batchSite, _, _ *Entry) {
			s.SetFaults(s.Store.Address, "/faults", platform.Faults{DropResponses: 12})
			s.submit("build-6", time.Second, 10*time.Second)
			s.jobs++
		}},
		{"worker killed", 3 * time.Second, 2, func(s *batchSite, _, _ *Entry) {
			s.workers[0].Kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.cause, func(t *testing.T) {
			t.Parallel()
			s := newBatchSite(t, tt.grant, 6*time.Second)
			var owner, other *Entry
			s.Eventually("an owner", 5*time.Second, func() bool {
				owner, other = s.owner(s.Entries[0])
				return owner != nil && other != nil
			})
			tt.strike(s, owner, other)
			s.finish(20*time.Second, tt.attempts)
		})
	}
}
