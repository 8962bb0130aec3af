package fleet

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
)

// Ledger records what workers and callers observe, and collects violations of the
// guarantees of the scheduler. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	jobs map[string]*jobRecord
	// active is the number of current runs of each task.
	active map[string]int
	done   map[string]bool
	// lostEnds contains the tasks that were done on a worker that crashed, or whose
	// lease ended, before the end of the run was acknowledged. These tasks may run
	// again.
	lostEnds   map[string]bool
	violations []string
	zones      zoneRecords
	// starts is the number of runs that have started.
	starts   int
	failures failureRecords
	// judged counts the cases to which a check applied, by check, so that a check that
	// no run reaches is noticed.
	judged map[string]int

	// faults are the disturbances that are not planned.
	disturbances, faults disturbances
	// drainingSince is when an agent acknowledged the first heartbeat that says that a
	// worker is draining, by worker.
	drainingSince map[string]time.Time
	orders        ownerRecords
	// lasting are the long-running tasks that have been ready.
	lasting map[string]*lastingTask
	// writtenAt is when the versions of the configuration were written.
	writtenAt map[int64]time.Time
	copies    copyRecords
	ends      endRecords
}

// jobRecord is what callers know of a job.
type jobRecord struct {
	job                 job.Job
	accepted, cancelled bool
	// cancelledAt is when a cancellation was acknowledged, or zero.
	cancelledAt time.Time
	// mayBeAccepted is true if a submission was accepted or has an unknown
	// outcome.
	mayBeAccepted bool
	// refused is true if a submission was refused.
	refused bool
	// told is the final state that a caller was told, or empty.
	told job.State
	// toldAt is when that state was told first.
	toldAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{jobs: map[string]*jobRecord{}, active: map[string]int{}, done: map[string]bool{}, lostEnds: map[string]bool{}, zones: newZoneRecords(),
		failures: newFailureRecords(), judged: map[string]int{},
		disturbances: newDisturbances(), faults: newDisturbances(), ends: newEndRecords(), drainingSince: map[string]time.Time{}, orders: newOwnerRecords(),
		lasting: map[string]*lastingTask{}, writtenAt: map[int64]time.Time{}, copies: newCopyRecords()}
}

// addViolation records a violation of a guarantee. The caller holds mu.
func (l *Ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Report records a violation that a caller has seen.
func (l *Ledger) Report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(format, args...)
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
	r := l.jobs[id]
	r.accepted = r.accepted || accepted
	r.refused = r.refused || !accepted && !unknown
	r.mayBeAccepted = r.mayBeAccepted || accepted || unknown
}

// RecordCancellation records that the job may be cancelled: its cancellation was
// acknowledged or, if acknowledged is false, has an unknown outcome.
func (l *Ledger) RecordCancellation(id string, acknowledged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	r.cancelled = true
	if acknowledged && r.cancelledAt.IsZero() {
		r.cancelledAt = time.Now()
	}
}

// CheckState checks the final state of a job that was returned to a caller, by a query or
// by the answer to a cancellation. The failed state is a violation unless a task has failed
// as often as its queue permits. So is a second final state.
func (l *Ledger) CheckState(id string, s job.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r.told != "" && r.told != s {
		l.addViolation("job %s is reported as %s after it was reported as %s", id, s, r.told)
	}
	if r.told == "" {
		r.toldAt = time.Now()
	}
	r.told = s
	switch {
	case s == job.Done && !l.allDone(r):
		l.addViolation("job %s is reported as done before all its tasks are done", id)
	case s == job.Cancelled && !r.cancelled:
		l.addViolation("job %s is reported as cancelled, but no caller cancelled it", id)
	case s == job.Failed && !l.mayFail(r):
		l.addViolation("job %s is reported as failed, but no task of it failed %d times", id, maxFailures)
	}
}

// CheckPending checks the number of waiting jobs that a scheduler returned to a caller, and
// reports whether it can be true: no more jobs can wait than may have been accepted and
// have not ended for any caller. If last is true, a false number is a violation; before,
// it may be out of date.
func (l *Ledger) CheckPending(scheduler string, n int, last bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, r := range l.jobs {
		if r.mayBeAccepted && r.told == "" {
			most++
		}
	}
	if n > most && last {
		l.addViolation("scheduler %s counts %d waiting jobs, but at most %d can wait", scheduler, n, most)
	}
	return n <= most
}

func (l *Ledger) allDone(r *jobRecord) bool {
	for i := range r.job.Steps {
		for n := range r.job.Steps[i].Tasks {
			if !l.done[job.Task{Job: r.job.ID, Step: i, Index: n}.String()] {
				return false
			}
		}
	}
	return true
}

// Unfinished returns the ids of the accepted jobs that are not in final, which
// contains the jobs that a caller has seen in a final state.
func (l *Ledger) Unfinished(final map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, r := range l.jobs {
		if r.accepted && !final[id] {
			out = append(out, id)
		}
	}
	return out
}

// maxCancelDelay is the time after an acknowledged cancellation within which the last
// start of the job must have reached a worker.
const maxCancelDelay = 3 * time.Second

// RecordStart records and checks the start of a run on a worker, whose order reached
// the worker at arrived. It returns the resources that the task needs.
func (l *Ledger) RecordStart(worker string, s platform.StartRequest, arrived time.Time) job.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := s.Task
	t, err := job.ParseTask(name)
	r := l.jobs[t.Job]
	if err != nil || r == nil || t.Step >= len(r.job.Steps) || t.Index >= r.job.Steps[t.Step].Tasks {
		l.addViolation("worker %s starts %q, which no caller submitted", worker, name)
		return job.Resources{}
	}
	if s.Payload != r.job.Payload || s.Checkpoint != "" {
		l.addViolation("worker %s starts %s with payload %q and checkpoint %q, which no caller submitted", worker, name, s.Payload, s.Checkpoint)
	}
	if late := arrived.Sub(r.cancelledAt); !r.cancelledAt.IsZero() && late > maxCancelDelay {
		l.addViolation("worker %s starts %s %v after the cancellation of its job was acknowledged", worker, name, late)
	}
	l.checkRuns(worker, s, r, &r.job.Steps[t.Step], arrived)
	for _, a := range r.job.Steps[t.Step].After {
		for n := range r.job.Steps[a].Tasks {
			if !l.done[job.Task{Job: t.Job, Step: a, Index: n}.String()] {
				l.addViolation("worker %s starts %s before step %d is done", worker, name, a)
			}
		}
	}
	l.checkFailures(worker, name, arrived)
	l.checkCrashes(worker, name)
	l.active[name]++
	l.starts++
	return r.job.Steps[t.Step].Need
}

// StartCount returns the number of runs that have started.
func (l *Ledger) StartCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// RecordEnd records the end of a run of the named task. If outcome is empty, no run
// ends. If lost is true, the worker crashed or its lease ended after the task was done, but
// before the end of its run was acknowledged.
func (l *Ledger) RecordEnd(name string, outcome job.Outcome, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome != "" {
		l.active[name]--
	}
	l.recordAway(name, outcome)
	if outcome == job.EndDone {
		l.done[name] = true
	}
	if outcome == job.EndFailed && !l.isDone(name) {
		l.failures.failed[name]++
	}
	if lost && !l.isDone(name) {
		l.lostEnds[name] = true
	}
}

// Judged returns how many cases each check was applied to.
func (l *Ledger) Judged() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.judged)
}

// ActiveCancelled returns the tasks of cancelled jobs that are running.
func (l *Ledger) ActiveCancelled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, n := range l.active {
		if t, err := job.ParseTask(name); n > 0 && err == nil && !l.jobs[t.Job].cancelledAt.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// CheckRefusals records a violation for each job in started whose submissions were
// all refused.
func (l *Ledger) CheckRefusals(started map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.jobs {
		if r.refused && !r.mayBeAccepted {
			l.judged["refusals"]++
		}
		if started[id] && !r.mayBeAccepted {
			l.addViolation("job %s ran, but all its submissions were refused", id)
		}
	}
}
