package fleet

import (
	"fmt"
	"sync"

	"rosemarygap/core/job"
)

// Ledger records what workers and callers observe, and collects violations of the
// guarantees of the scheduler. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	jobs map[string]*jobRecord
	// active is the number of current runs of each task.
	active map[string]int
	done   map[string]bool
	// lostEnds contains the tasks whose end a worker lost in a crash before it
	// was acknowledged. These tasks may run again.
	lostEnds   map[string]bool
	violations []string
}

// jobRecord is what callers know of a job.
type jobRecord struct {
	job                 job.Job
	accepted, cancelled bool
	// mayBeAccepted is true if a submission was accepted or has an unknown
	// outcome.
	mayBeAccepted bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{jobs: map[string]*jobRecord{}, active: map[string]int{}, done: map[string]bool{}, lostEnds: map[string]bool{}}
}

// addViolation records a violation of a guarantee. The caller holds mu.
func (l *Ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations found so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// RecordSubmission records that a caller is about to submit j.
func (l *Ledger) RecordSubmission(j job.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs[j.ID] == nil {
		l.jobs[j.ID] = &jobRecord{job: j}
	}
}

// RecordResponse records whether a submission of the job was accepted, or has an
// unknown outcome.
func (l *Ledger) RecordResponse(id string, accepted, unknown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.jobs[id]
	e.accepted = e.accepted || accepted
	e.mayBeAccepted = e.mayBeAccepted || accepted || unknown
}

// RecordCancellation records that the job may be cancelled: its cancellation was
// acknowledged or has an unknown outcome.
func (l *Ledger) RecordCancellation(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].cancelled = true
}

// CheckState checks the state of a job that was returned to a caller. It expects
// that every job can be completed, so the failed state is a violation.
func (l *Ledger) CheckState(id string, s job.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.jobs[id]
	switch {
	case s == job.Done && !l.allDone(e):
		l.addViolation("job %s is reported as done before all its tasks are done", id)
	case s == job.Cancelled && !e.cancelled:
		l.addViolation("job %s is reported as cancelled, but no caller cancelled it", id)
	case s == job.Failed:
		l.addViolation("job %s is reported as failed, but it can be completed", id)
	}
}

func (l *Ledger) allDone(e *jobRecord) bool {
	for i := range e.job.Steps {
		for n := range e.job.Steps[i].Tasks {
			if !l.done[job.Task{Job: e.job.ID, Step: i, Index: n}.String()] {
				return false
			}
		}
	}
	return true
}

// Unfinished returns the ids of the accepted jobs that are not in final.
func (l *Ledger) Unfinished(final map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, e := range l.jobs {
		if e.accepted && !final[id] {
			out = append(out, id)
		}
	}
	return out
}

// RecordStart records and checks the start of a run of the named task on a worker,
// and returns the resources that the task needs.
func (l *Ledger) RecordStart(worker, name string) job.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := job.ParseTask(name)
	e := l.jobs[t.Job]
	if err != nil || e == nil || t.Step >= len(e.job.Steps) || t.Index >= e.job.Steps[t.Step].Tasks {
		l.addViolation("worker %s starts %q, which no caller submitted", worker, name)
		return job.Resources{}
	}
	if l.active[name] > 0 {
		l.addViolation("worker %s starts %s while another run of it is active", worker, name)
	}
	if l.done[name] && !l.lostEnds[name] {
		l.addViolation("worker %s starts %s after it was done", worker, name)
	}
	for _, a := range e.job.Steps[t.Step].After {
		for n := range e.job.Steps[a].Tasks {
			if !l.done[job.Task{Job: t.Job, Step: a, Index: n}.String()] {
				l.addViolation("worker %s starts %s before step %d is done", worker, name, a)
			}
		}
	}
	l.active[name]++
	return e.job.Steps[t.Step].Need
}

// RecordEnd records the end of a run of the named task; an empty outcome ends no
// run. If lost is true, the worker has lost an end of the task in a crash.
func (l *Ledger) RecordEnd(name string, outcome job.Outcome, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome != "" {
		l.active[name]--
	}
	if outcome == job.EndDone {
		l.done[name] = true
	}
	if lost {
		l.lostEnds[name] = true
	}
}

// CheckRefusals records a violation for each job in started of which every
// submission was refused.
func (l *Ledger) CheckRefusals(started map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.jobs {
		if started[id] && !e.mayBeAccepted {
			l.addViolation("job %s ran, but all its submissions were refused", id)
		}
	}
}
