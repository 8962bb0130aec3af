package worker

import (
	"slices"
	"time"
)

// Health is the durable record of successes and failures on a worker. It is used
// to stop placing tasks on a worker that fails them.
type Health struct {
	Worker string `json:"worker"`
	// Proven is true once a task has finished on the worker.
	Proven bool `json:"proven,omitempty"`
	// Failed lists the distinct jobs that failed on the worker since the last
	// success.
	Failed []string `json:"failed,omitempty"`
	// Level is the number of probations since the last success.
	Level int `json:"level,omitempty"`
	// Until is the end of the latest probation.
	Until time.Time `json:"until,omitzero"`
}

const (
	// probationScore is the fault score at which a probation begins: that of
	// three distinct jobs that failed on no other worker.
	probationScore = 6
	// maxFailedJobs limits the failed jobs that are recorded for a worker.
	maxFailedJobs = 16
	// minProbation is the duration of the first probation; it doubles with
	// each further one.
	minProbation = 30 * time.Second
	// maxProbation is the longest duration of a probation.
	maxProbation = 30 * time.Minute
	// minRetryDelay is the delay after the first failure of a job; it doubles
	// with each further one. It is also the retry delay that is returned for a
	// proposal that could not be written to the journal.
	minRetryDelay = time.Second
	// maxRetryDelay is the longest delay of a job after a failure.
	maxRetryDelay = 5 * time.Minute
	// parkScore is the score at which a job is parked. Each worker on which the
	// job failed adds 2 if a task has ever finished on the worker, and otherwise
	// 1 if no other job has failed on the worker. A worker with a probation
	// since its last success adds nothing.
	parkScore = 6
	// minParkFailures is the minimum number of failures before a job is parked.
	minParkFailures = 3
)

// backoffDelay returns base doubled n times, but at most limit.
func backoffDelay(base, limit time.Duration, n int) time.Duration {
	for range n {
		if base *= 2; base >= limit {
			return limit
		}
	}
	return base
}

// recordFailure records that the current attempt of j failed. It may begin a
// probation of the worker.
func (c *Cell) recordFailure(j *JobRow, r Record) {
	j.NotBefore = r.At.Add(backoffDelay(minRetryDelay, maxRetryDelay, j.Failures))
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Worker) {
		j.FailedOn = append(j.FailedOn, j.Worker)
	}
	h := &c.ensureWorker(j.Worker).health
	if !slices.Contains(h.Failed, j.ID) && len(h.Failed) < maxFailedJobs {
		h.Failed = append(h.Failed, j.ID)
	}
	if c.faultScore(j.Worker, h) >= probationScore && r.At.After(h.Until) {
		h.Until = r.At.Add(backoffDelay(minProbation, maxProbation, h.Level))
		h.Level++
	}
}

// recordSuccess records that j finished on its worker.
func (c *Cell) recordSuccess(j *JobRow) {
	c.ensureWorker(j.Worker).health = Health{Proven: true}
}

// faultScore returns a score of how likely a worker is the cause of the failures
// on it. Each job that failed on the worker adds 2 if it finished elsewhere or failed
// nowhere else, 1 if every other worker on which it failed has had a probation
// since the last success on that worker, and 0 otherwise.
func (c *Cell) faultScore(id string, h *Health) int {
	n := 0
	for _, job := range h.Failed {
		if j := c.jobs.Get(job); j != nil {
			n += c.faultWeight(j, id)
		}
	}
	return n
}

func (c *Cell) faultWeight(j *JobRow, id string) int {
	if j.State == Finished || len(j.FailedOn) == 1 {
		return 2
	}
	for _, other := range j.FailedOn {
		if other != id && c.ensureWorker(other).health.Level == 0 {
			return 0
		}
	}
	return 1
}

// onProbation reports whether w is on probation and receives no tasks. A
// probation ends early if the jobs that failed on w fail elsewhere as well.
func (c *Cell) onProbation(w *workerRow, now time.Time) bool {
	return now.Before(w.health.Until) && c.faultScore(w.id, &w.health) >= probationScore
}

// Probation returns the level of the probation that began with the durable
// record r; ok is false if r did not begin a probation.
func (c *Cell) Probation(r Record) (level int, ok bool) {
	w := c.workers.Get(r.Worker)
	if r.Kind != KindFailed || w == nil {
		return 0, false
	}
	h := &w.health
	until := r.At.Add(backoffDelay(minProbation, maxProbation, h.Level-1))
	return h.Level, h.Level > 0 && h.Until.Equal(until)
}

// failsEverywhere reports whether j failed on so many healthy workers that the
// job itself must be the cause.
func (c *Cell) failsEverywhere(j *JobRow) bool {
	score := 0
	for _, id := range j.FailedOn {
		h := &c.ensureWorker(id).health
		others := len(h.Failed)
		if slices.Contains(h.Failed, j.ID) {
			others--
		}
		switch {
		case h.Level > 0:
		case h.Proven:
			score += 2
		case others == 0:
			score++
		}
	}
	return j.Failures >= minParkFailures && score >= min(parkScore, 2*c.countCapableWorkers(j))
}

// countCapableWorkers returns the number of workers that j fits on and that have
// had no probation since their last success, but at least 1.
func (c *Cell) countCapableWorkers(j *JobRow) int {
	n := 0
	for _, w := range c.workers.All {
		if w.report != nil && w.health.Level == 0 && j.Need.Fits(w.capacity) {
			n++
		}
	}
	return max(n, 1)
}

// updateClosedWorkers excludes the workers that are draining or on probation from
// placement in this tick.
func (c *Cell) updateClosedWorkers(now time.Time) {
	closed := make(map[string]bool)
	for _, id := range c.drainingIDs {
		closed[id] = true
	}
	for _, w := range c.workers.All {
		if c.onProbation(w, now) {
			closed[w.id] = true
		}
	}
	c.closedWorkers = closed
}

// avoidedWorkers returns the workers that j must not start on: those on which it
// failed, as long as there is another worker that it fits on.
func (c *Cell) avoidedWorkers(j *JobRow) []string {
	if len(j.FailedOn) == 0 || !c.hasUntriedWorker(j, c.closedWorkers) {
		return nil
	}
	return j.FailedOn
}

// hasUntriedWorker reports whether there is an available worker that j fits on
// and on which it has not failed.
func (c *Cell) hasUntriedWorker(j *JobRow, closed map[string]bool) bool {
	for _, w := range c.workers.All {
		if w.report != nil && !w.lost && !closed[w.id] && j.Need.Fits(w.capacity) &&
			!slices.Contains(j.FailedOn, w.id) {
			return true
		}
	}
	return false
}
