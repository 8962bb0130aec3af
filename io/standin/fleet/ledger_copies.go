package fleet

import (
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
)

// maxStartAfterEnd is the time after the acknowledgement of a successful end, or after the
// job was shown as done, within which the last start of the task must have reached a
// worker. A copy may be under way when the other run ends.
const maxStartAfterEnd = time.Second

// copyRecords is what the ledger knows of the copies of tasks.
type copyRecords struct {
	// allowed is true if the tasks of steps that permit it may have two runs at a time.
	allowed bool
	// doneAt is when the successful end of a task was first acknowledged.
	doneAt map[string]time.Time
	// workers are the workers of the runs with copies.
	workers map[runName]string
}

// runName identifies a run of a task.
type runName struct {
	task string
	run  int64
}

func newCopyRecords() copyRecords {
	return copyRecords{doneAt: map[string]time.Time{}, workers: map[runName]string{}}
}

// AllowCopies lets the tasks of steps that permit it have two runs at a time.
func (l *Ledger) AllowCopies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies.allowed = true
}

// maxRuns returns how many runs a task of the step may have at a time. The caller holds mu.
func (l *Ledger) maxRuns(s *job.Step) int {
	if l.copies.allowed && s.Speculative {
		return 2
	}
	return 1
}

// checkRuns checks a start against the other runs of its task. The caller holds mu.
func (l *Ledger) checkRuns(worker string, s platform.StartRequest, r *jobRecord, step *job.Step, arrived time.Time) {
	limit := l.maxRuns(step)
	if n := l.active[s.Task]; n >= limit {
		l.addViolation("worker %s starts %s while %d runs of it are active, of at most %d", worker, s.Task, n, limit)
	}
	at, acknowledged := l.copies.doneAt[s.Task]
	switch {
	case acknowledged && arrived.Sub(at) > maxStartAfterEnd:
		l.addViolation("worker %s starts %s %v after its end was acknowledged", worker, s.Task, arrived.Sub(at))
	case r.told == job.Done && arrived.Sub(r.toldAt) > maxStartAfterEnd:
		l.addViolation("worker %s starts %s %v after its job was shown as done", worker, s.Task, arrived.Sub(r.toldAt))
	case limit == 1 && l.done[s.Task] && !l.lostEnds[s.Task]:
		l.addViolation("worker %s starts %s after it was done", worker, s.Task)
	}
	if limit == 1 {
		return
	}
	if l.active[s.Task] > 0 {
		l.judged["copies"]++
	}
	run := runName{s.Task, s.Run}
	if other, ok := l.copies.workers[run]; ok && other != worker {
		l.addViolation("workers %s and %s both start run %d of %s", other, worker, s.Run, s.Task)
	}
	l.copies.workers[run] = worker
}

// isDone reports whether a successful end of a task was acknowledged. What happens to its
// other run then changes nothing. The caller holds mu.
func (l *Ledger) isDone(task string) bool {
	_, ok := l.copies.doneAt[task]
	return ok
}
