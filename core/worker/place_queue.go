package worker

import (
	"slices"
	"strings"
)

// teamQueue holds the queued jobs of one team in order of submission.
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

// indexJob brings the queues in line with the job of a record.
func (c *Cell) indexJob(r Record) {
	id := r.ID
	if r.Job != nil {
		id = r.Job.ID
	}
	if j := c.jobs.Get(id); j != nil {
		c.indexRow(j)
	}
}

func (c *Cell) indexRow(j *JobRow) {
	q := c.queues[j.Team]
	if q == nil {
		q = &teamQueue{}
		c.queues[j.Team] = q
	}
	jobs := &q.normal
	if c.classes[j.Class] {
		jobs = &q.urgent
	}
	i, found := slices.BinarySearchFunc(*jobs, j, bySubmission)
	waits := j.State == Queued && !j.Cancelling
	switch {
	case waits && !found:
		*jobs = slices.Insert(*jobs, i, j)
	case !waits && found:
		*jobs = slices.Delete(*jobs, i, i+1)
	}
	if !waits {
		delete(c.refusals, j.ID)
	}
	if j.State != Running {
		delete(c.evicting, j.ID)
		delete(c.throttles, j.ID)
	}
}

// reindex rebuilds the queues after a change of the urgent classes.
func (c *Cell) reindex() {
	clear(c.queues)
	for _, j := range c.jobs.All {
		if j.State == Queued && !j.Cancelling {
			c.indexRow(j)
		}
	}
}
