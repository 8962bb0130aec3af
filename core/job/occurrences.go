package job

import "time"

// Limits of the open occurrences of one job. A job may have 100,000 occurrences that
// are due at once; their tasks and their stored progress must not exceed the memory of
// the owner and the size of a value in the store. At least one occurrence is open.
const (
	maxOpenOccurrences = 256
	maxOpenTasks       = 1 << 14
)

// mayOpenAnother reports whether the limits let the job open one more occurrence.
func (j *jobRow) mayOpenAnother() bool {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	n := len(j.occurrences)
	return n == 0 || n < maxOpenOccurrences && (n+1)*tasks <= maxOpenTasks
}

// openDueOccurrences opens the occurrences that are due.
func (c *Cell) openDueOccurrences(now time.Time) {
	for _, j := range c.jobs.All {
		if j.Schedule.Times == 0 || j.state.IsFinal() {
			continue
		}
		for j.nextOccurrence < j.Schedule.Times && j.mayOpenAnother() && !now.Before(j.Schedule.Due(j.nextOccurrence)) {
			j.openOccurrence(j.nextOccurrence)
			j.nextOccurrence++
			j.dirty = true
		}
	}
}

// maxClockLead is by how much the clock of an earlier owner may have been ahead.
const maxClockLead = 5 * time.Second

// openReportedOccurrence opens the occurrence of a task of j that a worker lists, and those
// before it, if an earlier owner can have opened it without recording it.
func (c *Cell) openReportedOccurrence(j *jobRow, task string, now time.Time) bool {
	n, err := ParseTask(task)
	if err != nil || j.acceptedThisEpoch || j.state.IsFinal() || n.Occurrence < j.nextOccurrence || n.Occurrence >= j.Schedule.Times ||
		n.Occurrence-j.nextOccurrence >= maxOpenOccurrences || now.Add(maxClockLead).Before(j.Schedule.Due(n.Occurrence)) {
		return false
	}
	for j.nextOccurrence <= n.Occurrence {
		j.openOccurrence(j.nextOccurrence)
		j.nextOccurrence++
	}
	j.dirty = true
	return true
}

// findReported returns the rows of a task that a worker lists. It opens the task's occurrence if
// an earlier owner can have opened it.
func (c *Cell) findReported(name string, now time.Time) (j *jobRow, s *stepRow, t *taskRow) {
	if j, s, t = c.findTask(name); j != nil && t == nil && c.openReportedOccurrence(j, name, now) {
		return c.findTask(name)
	}
	return j, s, t
}
