package fleet

import (
	"time"

	"rosemarygap/core/job"
)

// readyReportTime is for how long a run must be ready before the owner must know it. Reports
// are 500 ms apart. An owner that evacuates a zone withdraws the starts that no report has
// shown, and a run that became ready just before is stopped then, too.
const readyReportTime = time.Second

// lastingTask is what the ledger knows of a task that has run and is long-running.
type lastingTask struct {
	// ready is true while a run of the task is ready, which it is since readySince.
	ready      bool
	readySince time.Time
	// awaySince is when the last run ended, and stopped is true if a scheduler ordered
	// that.
	awaySince time.Time
	stopped   bool
}

// RecordReady records that a run of a long-running task is ready.
func (l *Ledger) RecordReady(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lasting[task] = &lastingTask{ready: true, readySince: time.Now()}
}

// recordAway records that the run of a task has ended. The caller holds mu.
func (l *Ledger) recordAway(task string, outcome job.Outcome) {
	if t := l.lasting[task]; t != nil && outcome != "" {
		t.ready, t.awaySince, t.stopped = false, time.Now(), outcome == job.EndStopped
	}
}

// CheckStop checks a stop, with the given fencing token, that is about to end a run. It
// judges only runs that the owner must know as ready, and agents and owners in touch: what
// was decided before a disturbance may be carried out after another task has been lost.
func (l *Ledger) CheckStop(worker, agent, name string, token int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := job.ParseTask(name)
	r, run := l.jobs[t.Job], l.lasting[name]
	if err != nil || r == nil || r.cancelled || run == nil || !run.ready || now.Sub(run.readySince) < readyReportTime ||
		!l.inTouch(now, agent, l.orders.owners[token].Holder) {
		return
	}
	l.judged["stops"]++
	s := &r.job.Steps[t.Step]
	away := 0
	for i := range s.Tasks {
		if other := (job.Task{Job: t.Job, Step: t.Step, Index: i}); other != t && l.isAway(other.String(), now) {
			away++
		}
	}
	if limit := max(s.MaxUnavailable, 1); away >= limit {
		l.addViolation("worker %s stops %s while %d others of its step are away, of at most %d", worker, name, away, limit)
	}
}

// isAway reports whether each owner must know that a task is not ready: it has never been,
// was stopped by order, or ended so long ago that an agent in touch has reported it. The
// caller holds mu.
func (l *Ledger) isAway(name string, now time.Time) bool {
	t := l.lasting[name]
	return t == nil || !t.ready && (t.stopped || now.Sub(t.awaySince) > contactTime)
}
