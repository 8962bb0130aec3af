package worker

import (
	"slices"
	"time"

	"rosemarygap/core/wire"
)

// Plan returns the records that this tick should make durable: proposed submissions
// and cancellations, changed timings, ends of attempts, changes to jobs that are not
// running, quota transfers and new placements. It does not change any job;
// ApplyCommitted does once the records are durable.
func (c *Cell) Plan(now time.Time) []Record {
	rs := c.planTimings(c.proposed, now)
	c.proposed = nil
	decided := make(map[string]bool)
	for _, r := range rs {
		decided[r.ID] = true
	}
	rs = c.planEnded(rs, decided, now)
	rs = c.planIdleJobs(rs, decided, now)
	rs = c.planBorrowed(rs, now)
	c.updateClosedWorkers(now)
	return c.planStarts(rs, decided, now)
}

// planTimings plans a record of a changed takeover wait. A longer wait is recorded
// before any lease that needs it is granted. A shorter one is recorded only after
// all leases that need the longer wait have ended.
func (c *Cell) planTimings(rs []Record, now time.Time) []Record {
	w := c.targetTimings.takeoverWait()
	if w > c.takeoverWait || w < c.takeoverWait && now.After(c.lowerWaitAt) {
		rs = append(rs, Record{Kind: KindTimings, At: now, Wait: wire.Duration(w)})
	}
	return rs
}

// planEnded plans records of the attempts that have certainly ended on their worker.
func (c *Cell) planEnded(rs []Record, decided map[string]bool, now time.Time) []Record {
	for _, w := range c.workers.All {
		w.lost = c.leasesExpired(w, now)
		for _, id := range sortedKeys(w.tasks) {
			j := c.jobs.Get(id)
			r, ended := c.endRecord(j, w, now)
			if ended && !decided[id] {
				decided[id] = true
				c.ending[id] = true
				rs = append(rs, r)
			}
		}
	}
	return rs
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// leasesExpired reports whether all leases of w have certainly ended.
func (c *Cell) leasesExpired(w *workerRow, now time.Time) bool {
	return !w.leaseBound.IsZero() && now.After(w.leaseBound)
}

func (c *Cell) endRecord(j *JobRow, w *workerRow, now time.Time) (Record, bool) {
	r := Record{At: now, ID: j.ID, Attempt: j.Attempt, Worker: w.id}
	if w.report != nil && w.report.Stamp.Incarnation != j.Incarnation {
		if t := w.formerReport.endOf(j); t != nil {
			return withCancellation(withTaskState(r, t), j), true
		}
		// A VM runs one incarnation of a worker at a time. The incarnation that
		// ran the attempt has therefore ended if it was on the VM that the newest
		// report came from. On another VM, it may run until priorLeaseBound.
		if w.vmAddress != j.VM && !now.After(w.priorLeaseBound) {
			return r, false
		}
		r.Kind, r.Reason = KindInterrupted, ReasonRestarted
		return withCancellation(r, j), true
	}
	t := w.report.task(j.ID, j.Attempt)
	if t != nil && t.State != TaskRunning {
		return withCancellation(withTaskState(r, t), j), true
	}
	if w.lost {
		r.Kind, r.Reason = KindInterrupted, ReasonLeaseLapsed
		if t != nil {
			r.Checkpoint = t.Checkpoint
		}
		return withCancellation(r, j), true
	}
	return r, false
}

func withTaskState(r Record, t *TaskReport) Record {
	r.Checkpoint = t.Checkpoint
	switch t.State {
	case TaskDone:
		r.Kind = KindFinished
	case TaskFailed:
		r.Kind, r.Reason = KindFailed, ReasonTaskFailed
	case TaskStopped:
		r.Kind, r.Reason = KindInterrupted, ReasonEvicted
	default:
		r.Kind, r.Reason = KindInterrupted, ReasonLeaseLapsed
	}
	return r
}

// withCancellation changes r to end the job if its cancellation was requested and it
// has not finished.
func withCancellation(r Record, j *JobRow) Record {
	if j.Cancelling && r.Kind != KindFinished {
		r.Kind, r.Reason = KindCancelled, ""
	}
	return r
}

// endOf returns the report that the current attempt of j has ended on the incarnation that ran
// it, or nil. The receiver may be nil.
func (r *Report) endOf(j *JobRow) *TaskReport {
	t := r.task(j.ID, j.Attempt)
	if t == nil || t.State == TaskRunning || r.Stamp.Incarnation != j.Incarnation {
		return nil
	}
	return t
}

// task returns the report of an attempt, or nil if there is none. The receiver may
// be nil.
func (r *Report) task(job string, attempt int) *TaskReport {
	if r == nil {
		return nil
	}
	for i := range r.Tasks {
		if r.Tasks[i].Job == job && r.Tasks[i].Attempt == attempt {
			return &r.Tasks[i]
		}
	}
	return nil
}
