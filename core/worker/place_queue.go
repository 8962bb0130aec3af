package worker

import (
	"slices"
	"strings"
)

// teamQueue contains the queued jobs of one team in order of submission.
type teamQueue struct {
	urgent, normal []*JobRow
}

func (q *teamQueue) jobs(urgent bool) []*JobRow {
	if urgent {
		return q.urgent
	}
	return q.normal
}

func bySubmission(a, b *JobRow) int {
	if d := a.Submitted.Compare(b.Submitted); d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}

// indexJob updates the queues for the job of an applied record.
func (c *Cell) indexJob(r Record) {
	id := r.ID
	if r.Job != nil {
		id = r.Job.ID
	}
	if j := c.jobs.Get(id); j != nil {
		c.indexRow(j)
	}
}

// indexRow adds j to the queue of its team or removes j from it, depending on the
// state of j. It also clears the refusedSince entry of a job that is not waiting, and
// the eviction and the throttle of a job that is not running.
func (c *Cell) indexRow(j *JobRow) {
	q := c.queues[j.Team]
	if q == nil {
		q = &teamQueue{}
		c.queues[j.Team] = q
	}
	jobs := &q.normal
	if c.urgentClasses[j.Class] {
		jobs = &q.urgent
	}
	i, found := slices.BinarySearchFunc(*jobs, j, bySubmission)
	isWaiting := j.State == Queued && !j.Cancelling
	switch {
	case isWaiting && !found:
		*jobs = slices.Insert(*jobs, i, j)
	case !isWaiting && found:
		*jobs = slices.Delete(*jobs, i, i+1)
	}
	if !isWaiting {
		delete(c.refusedSince, j.ID)
	}
	if j.State != Running {
		delete(c.evicting, j.ID)
		delete(c.throttles, j.ID)
	}
}

// reindex rebuilds the queues after the urgent classes changed.
func (c *Cell) reindex() {
	clear(c.queues)
	for _, j := range c.jobs.All {
		if j.State == Queued && !j.Cancelling {
			c.indexRow(j)
		}
	}
}
