package worker

import (
	"slices"
	"time"

	"rosemarygap/core/wire"
)

// Plan returns the records that this tick should make durable: what was
// submitted and cancelled, what workers reported, and new placements. It
// changes no job; Committed does that once the records are durable.
func (c *Cell) Plan(now time.Time) []Record {
	rs := c.planTimings(c.incoming, now)
	c.incoming = nil
	touched := make(map[string]bool)
	for _, r := range rs {
		touched[r.ID] = true
	}
	rs = c.planEnded(rs, touched, now)
	rs = c.planIdle(rs, touched, now)
	rs = c.planBorrowed(rs, now)
	c.closeWorkers(now)
	return c.planStarts(rs, touched, now)
}

// planTimings records a change of the wait of a successor: a longer one
// before the first lease that needs it, a shorter one after the last.
func (c *Cell) planTimings(rs []Record, now time.Time) []Record {
	w := c.target.wait()
	if w > c.wait || w < c.wait && now.After(c.lowerAt) {
		rs = append(rs, Record{Kind: KindTimings, At: now, Wait: wire.Duration(w)})
	}
	return rs
}

// planEnded records the attempts that have certainly ended on their worker.
func (c *Cell) planEnded(rs []Record, touched map[string]bool, now time.Time) []Record {
	for _, w := range c.workers.All {
		w.lost = c.certainlyEnded(w, now)
		for _, id := range sortedKeys(w.tasks) {
			j := c.jobs.Get(id)
			r, ended := c.ended(j, w, now)
			if ended && !touched[id] {
				touched[id] = true
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

// certainlyEnded reports whether no lease of w can still be in force.
func (c *Cell) certainlyEnded(w *workerRow, now time.Time) bool {
	return !w.bound.IsZero() && now.After(w.bound)
}

func (c *Cell) ended(j *JobRow, w *workerRow, now time.Time) (Record, bool) {
	r := Record{At: now, ID: j.ID, Attempt: j.Attempt, Worker: w.id}
	if w.report != nil && w.report.Stamp.Incarnation != j.Incarnation {
		// A VM runs one incarnation at a time; another VM with the same
		// name tells nothing about the earlier one.
		if w.vm != j.VM && !now.After(w.priorBound) {
			return r, false
		}
		r.Kind, r.Reason = KindInterrupted, ReasonRestarted
		return cancelled(r, j), true
	}
	t := w.report.task(j.ID, j.Attempt)
	if t != nil && t.State != TaskRunning {
		return cancelled(endedAs(r, t), j), true
	}
	if w.lost {
		r.Kind, r.Reason = KindInterrupted, ReasonLeaseLapsed
		if t != nil {
			r.Checkpoint = t.Checkpoint
		}
		return cancelled(r, j), true
	}
	return r, false
}

func endedAs(r Record, t *TaskReport) Record {
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

// cancelled makes r end the job if it is being cancelled and has not finished.
func cancelled(r Record, j *JobRow) Record {
	if j.Cancelling && r.Kind != KindFinished {
		r.Kind, r.Reason = KindCancelled, ""
	}
	return r
}

// task returns the report of an attempt, or nil. A nil report has none.
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
