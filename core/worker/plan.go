package worker

import (
	"slices"
	"time"
)

// Plan returns the records that this tick should make durable: what was
// submitted and cancelled, what workers reported, and new placements. It
// changes no job; Committed does that once the records are durable.
func (c *Cell) Plan(now time.Time) []Record {
	rs := c.incoming
	c.incoming = nil
	touched := make(map[string]bool)
	for _, r := range rs {
		touched[r.ID] = true
	}
	rs = c.planEnded(rs, touched, now)
	rs = c.planCancelled(rs, touched, now)
	rs = c.planBorrowed(rs, now)
	return c.planStarts(rs, touched, now)
}

// Unplan takes back the records of a tick that are certainly not durable.
func (c *Cell) Unplan(rs []Record) {
	for _, r := range rs {
		if r.Kind == KindSubmitted || r.Kind == KindCancelling {
			c.incoming = append(c.incoming, r)
		}
	}
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
		r.Kind, r.Reason = KindInterrupted, ReasonRestarted
		return r, true
	}
	t := w.report.task(j.ID, j.Attempt)
	if t != nil && t.State != TaskRunning {
		return endedAs(r, t), true
	}
	if w.lost {
		r.Kind, r.Reason = KindInterrupted, ReasonLeaseLapsed
		if t != nil {
			r.Checkpoint = t.Checkpoint
		}
		return r, true
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

// planCancelled ends cancelled jobs that hold no room.
func (c *Cell) planCancelled(rs []Record, touched map[string]bool, now time.Time) []Record {
	for id, j := range c.jobs.All {
		if touched[id] || j.State != Queued {
			continue
		}
		if j.Cancelling {
			touched[id] = true
			rs = append(rs, Record{Kind: KindCancelled, At: now, ID: id})
		} else if j.Failures >= maxFailures {
			touched[id] = true
			rs = append(rs, Record{Kind: KindParked, At: now, ID: id, Reason: ReasonTooMany})
		}
	}
	return rs
}
