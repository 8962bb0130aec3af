package fleet

import (
	"math"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/job"
)

// maxFailures is the maximum of failures of each queue of a deployment.
const maxFailures = 3

// failureRecords is what the ledger knows of failed runs, by task.
type failureRecords struct {
	// failed counts the failed runs, and acknowledged those whose end a scheduler has
	// acknowledged.
	failed, acknowledged map[string]int
	// crashed counts the crashes of workers under each deadly task, and startedAfter the
	// starts after maxCrashes of them.
	crashed, startedAfter map[string]int
	// exhaustedAt is when the last permitted failure was acknowledged.
	exhaustedAt map[string]time.Time
}

func newFailureRecords() failureRecords {
	return failureRecords{failed: map[string]int{}, acknowledged: map[string]int{}, crashed: map[string]int{}, startedAfter: map[string]int{}, exhaustedAt: map[string]time.Time{}}
}

// RecordAcknowledgement records that a scheduler has acknowledged the end of a run. A
// failure then counts, whichever scheduler is the owner later, unless the task was done.
func (l *Ledger) RecordAcknowledgement(e job.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Outcome == job.EndDone && !l.isDone(e.Task) {
		l.copies.doneAt[e.Task] = time.Now()
	}
	if e.Outcome != job.EndFailed || l.isDone(e.Task) {
		return
	}
	f := &l.failures
	f.acknowledged[e.Task]++
	if f.acknowledged[e.Task] == maxFailures {
		f.exhaustedAt[e.Task] = time.Now()
		l.judged["failures"]++
	}
}

// checkFailures checks that a start, whose order reached the worker at arrived, does not
// follow the last permitted failure of its task. The caller holds mu.
func (l *Ledger) checkFailures(worker, task string, arrived time.Time) {
	if at, ok := l.failures.exhaustedAt[task]; ok && arrived.After(at) {
		l.addViolation("worker %s starts %s %v after its failure %d was acknowledged", worker, task, arrived.Sub(at), maxFailures)
	}
}

// Limits on the starts of a task that crashes its workers.
const (
	// minCrashes is the number of crashes from which on a task may be given up.
	minCrashes = 2
	// maxCrashes is the number of crashes after which it may be started less than
	// maxStartsAfterCrashes times.
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// isDeadly reports whether a task crashes its worker.
func isDeadly(task, payload string) bool {
	return strings.HasSuffix(payload, " deadly") && strings.HasSuffix(task, ".0.0.0")
}

// RecordCrash records that a worker crashes under the named task.
func (l *Ledger) RecordCrash(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures.crashed[task]++
}

// checkCrashes checks a start of a task that may have crashed its workers before. The caller
// holds mu.
func (l *Ledger) checkCrashes(worker, task string) {
	f := &l.failures
	if f.crashed[task] < maxCrashes {
		return
	}
	l.judged["crashes"]++
	if f.startedAfter[task]++; f.startedAfter[task] == maxStartsAfterCrashes {
		l.addViolation("worker %s starts %s for the third time after %d workers crashed under it", worker, task, maxCrashes)
	}
}

// checkCapacity checks that a start, whose order reached w at arrived, does not bring w over its
// capacity. A capacity that was reduced counts once the scheduler must know it. The caller
// holds w.mu.
func (l *Ledger) checkCapacity(w *Worker, task string, used job.Resources, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := w.currentCapacity()
	if arrived.Sub(w.reducedAt) < contactTime+heartbeatPeriod {
		capacity = w.capacity
	} else if w.share < 100 {
		l.judged["reduced capacity"]++
	}
	if !used.Fits(capacity) {
		l.addViolation("worker %s exceeds its capacity by starting %s", w.id, task)
	}
}

// mayFail reports whether a task of the job has failed as often as its queue permits, and
// no copy of it is active, which may still be done, or has crashed its workers. The caller
// holds mu.
func (l *Ledger) mayFail(r *jobRecord) bool {
	if l.failures.crashed[job.Task{Job: r.job.ID}.String()] >= minCrashes {
		return true
	}
	for i := range r.job.Steps {
		for n := range r.job.Steps[i].Tasks {
			name := job.Task{Job: r.job.ID, Step: i, Index: n}.String()
			if l.failures.failed[name] >= maxFailures && (l.maxRuns(&r.job.Steps[i]) == 1 || l.active[name] == 0) {
				return true
			}
		}
	}
	return false
}

// runFails reports whether the next run of a task fails: with the payload "ms=50 fail"
// each run fails, and with "ms=50 fail=2" the first two.
func (l *Ledger) runFails(task, payload string) bool {
	_, count, ok := strings.Cut(payload, " fail")
	if !ok {
		return false
	}
	limit, err := strconv.Atoi(strings.TrimPrefix(count, "="))
	if err != nil {
		limit = math.MaxInt
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures.failed[task] < limit
}
