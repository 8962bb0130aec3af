package fleet

import (
	"fmt"
	"sync"

	"rosemarygap/core/job"
)

// Ledger is the account of what must hold, kept from what workers and callers
// see. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	jobs map[string]*entry
	// active counts the runs of a task on workers that are up.
	active map[string]int
	done   map[string]bool
	// forgotten are ends that a crash took before they were acknowledged;
	// these tasks may run again.
	forgotten map[string]bool
	broken    []string
}

// entry is a job as callers know it.
type entry struct {
	job                 job.Job
	accepted, cancelled bool
	// offered is true once any attempt may have been accepted.
	offered bool
}

// NewLedger returns an empty account.
func NewLedger() *Ledger {
	return &Ledger{jobs: map[string]*entry{}, active: map[string]int{}, done: map[string]bool{}, forgotten: map[string]bool{}}
}

// break notes a broken promise. The caller holds mu.
func (l *Ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Broken returns what was broken so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Offer notes that a caller sends a job.
func (l *Ledger) RecordSubmission(j job.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs[j.ID] == nil {
		l.jobs[j.ID] = &entry{job: j}
	}
}

// Told notes how an attempt to send the job ended.
func (l *Ledger) RecordResponse(id string, accepted, unknown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.jobs[id]
	e.accepted = e.accepted || accepted
	e.offered = e.offered || accepted || unknown
}

// Cancelled notes that a cancellation was acknowledged.
func (l *Ledger) RecordCancellation(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].cancelled = true
}

// Shown checks a state that a caller was told.
func (l *Ledger) CheckState(id string, s job.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.jobs[id]
	switch {
	case s == job.Done && !l.allDone(e):
		l.breaks("job %s is shown as done before its tasks are", id)
	case s == job.Cancelled && !e.cancelled:
		l.breaks("job %s is shown as cancelled by nobody", id)
	case s == job.Failed:
		l.breaks("job %s is shown as failed though it can be done", id)
	}
}

func (l *Ledger) allDone(e *entry) bool {
	for i := range e.job.Steps {
		for n := range e.job.Steps[i].Tasks {
			if !l.done[job.Task{Job: e.job.ID, Step: i, Index: n}.String()] {
				return false
			}
		}
	}
	return true
}

// Open returns the accepted jobs whose end callers do not know.
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

// Start checks a start and returns the room that the task takes.
func (l *Ledger) RecordStart(worker, name string) job.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := job.ParseTask(name)
	e := l.jobs[t.Job]
	if err != nil || e == nil || t.Step >= len(e.job.Steps) || t.Index >= e.job.Steps[t.Step].Tasks {
		l.breaks("%s starts %q, which no caller sent", worker, name)
		return job.Resources{}
	}
	if l.active[name] > 0 {
		l.breaks("%s starts %s while it runs elsewhere", worker, name)
	}
	if l.done[name] && !l.forgotten[name] {
		l.breaks("%s starts %s after it was done", worker, name)
	}
	for _, a := range e.job.Steps[t.Step].After {
		for n := range e.job.Steps[a].Tasks {
			if !l.done[job.Task{Job: t.Job, Step: a, Index: n}.String()] {
				l.breaks("%s starts %s before step %d is done", worker, name, a)
			}
		}
	}
	l.active[name]++
	return e.job.Steps[t.Step].Need
}

// End notes the end of a run; lost ends are those that a crash forgets.
func (l *Ledger) RecordEnd(name string, how job.Outcome, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how != "" {
		l.active[name]--
	}
	if how == job.EndDone {
		l.done[name] = true
	}
	if lost {
		l.forgotten[name] = true
	}
}

// CheckRefusals fails jobs that ran though every attempt was refused.
func (l *Ledger) CheckRefusals(started map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.jobs {
		if started[id] && !e.offered {
			l.breaks("job %s ran though it was refused", id)
		}
	}
}
