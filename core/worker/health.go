package worker

import (
	"slices"
	"time"
)

// Health is the durable evidence about a worker that fails what it starts.
type Health struct {
	Worker string `json:"worker"`
	// Proven is true once a task finished there.
	Proven bool `json:"proven,omitempty"`
	// Failed names the distinct jobs that failed there since the last
	// success.
	Failed []string `json:"failed,omitempty"`
	// Level counts the probations since the last success.
	Level int `json:"level,omitempty"`
	// Until is the end of the latest probation.
	Until time.Time `json:"until,omitzero"`
}

const (
	// probationStrikes begins a probation: three distinct jobs that failed
	// nowhere else.
	probationStrikes = 6
	// maxEvidence bounds the failed jobs that are kept for a worker.
	maxEvidence = 16
	// probationBase is the first probation; each further one doubles.
	probationBase = 30 * time.Second
	// maxProbation is the longest probation.
	maxProbation = 30 * time.Minute
	// retryBase is the delay after a job's first failure; it doubles.
	retryBase = time.Second
	// maxRetry is the longest delay of a job after a failure.
	maxRetry = 5 * time.Minute
	// parkScore parks a job: a failure on a worker that has finished other
	// work weighs two, one on a worker of which nothing is known one.
	parkScore = 6
	// parkFailures is the least number of failures that park a job.
	parkFailures = 3
)

// backoffFor returns base doubled n times, at most limit.
func backoffFor(base, limit time.Duration, n int) time.Duration {
	for range n {
		if base *= 2; base >= limit {
			return limit
		}
	}
	return base
}

// failed takes in the failure of the current attempt of j.
func (c *Cell) failed(j *JobRow, r Record) {
	j.NotBefore = r.At.Add(backoffFor(retryBase, maxRetry, j.Failures))
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Worker) {
		j.FailedOn = append(j.FailedOn, j.Worker)
	}
	h := &c.worker(j.Worker).health
	if !slices.Contains(h.Failed, j.ID) && len(h.Failed) < maxEvidence {
		h.Failed = append(h.Failed, j.ID)
	}
	if c.strikes(j.Worker, h) >= probationStrikes && r.At.After(h.Until) {
		h.Until = r.At.Add(backoffFor(probationBase, maxProbation, h.Level))
		h.Level++
	}
}

// succeeded takes in that j finished on its worker.
func (c *Cell) succeeded(j *JobRow) {
	c.worker(j.Worker).health = Health{Proven: true}
}

// strikes adds up what speaks against the worker: a job that failed there
// weighs two if it finished elsewhere or failed nowhere else, one if all other
// workers that it failed on are in doubt themselves, and else nothing.
func (c *Cell) strikes(id string, h *Health) int {
	n := 0
	for _, job := range h.Failed {
		if j := c.jobs.Get(job); j != nil {
			n += c.blame(j, id)
		}
	}
	return n
}

func (c *Cell) blame(j *JobRow, id string) int {
	if j.State == Finished || len(j.FailedOn) == 1 {
		return 2
	}
	for _, other := range j.FailedOn {
		if other != id && c.worker(other).health.Level == 0 {
			return 0
		}
	}
	return 1
}

// onProbation reports whether w gets no task for now. It is lifted early if
// the jobs that failed there fail elsewhere as well.
func (c *Cell) onProbation(w *workerRow, now time.Time) bool {
	return now.Before(w.health.Until) && c.strikes(w.id, &w.health) >= probationStrikes
}

// Probation returns the level of the probation that the durable record r
// began; ok is false if it began none.
func (c *Cell) Probation(r Record) (level int, ok bool) {
	w := c.workers.Get(r.Worker)
	if r.Kind != KindFailed || w == nil {
		return 0, false
	}
	h := &w.health
	began := r.At.Add(backoffFor(probationBase, maxProbation, h.Level-1))
	return h.Level, h.Level > 0 && h.Until.Equal(began)
}

// failsEverywhere reports whether j failed on so many workers without fault
// that the job is the cause.
func (c *Cell) failsEverywhere(j *JobRow) bool {
	score := 0
	for _, id := range j.FailedOn {
		h := &c.worker(id).health
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
	return j.Failures >= parkFailures && score >= min(parkScore, 2*c.capable(j))
}

// capable counts the workers without a probation behind them that j fits on.
func (c *Cell) capable(j *JobRow) int {
	n := 0
	for _, w := range c.workers.All {
		if w.report != nil && w.health.Level == 0 && j.Need.Fits(w.capacity) {
			n++
		}
	}
	return max(n, 1)
}

// closeWorkers shuts out, for this tick, the workers that are drained or on
// probation.
func (c *Cell) closeWorkers(now time.Time) {
	closed := make(map[string]bool)
	for _, id := range c.drained {
		closed[id] = true
	}
	for _, w := range c.workers.All {
		if c.onProbation(w, now) {
			closed[w.id] = true
		}
	}
	c.draining = closed
}

// avoided returns the workers that j must not start on: those where it failed,
// while there is another one.
func (c *Cell) avoided(j *JobRow) []string {
	if len(j.FailedOn) == 0 || !c.untried(j, c.draining) {
		return nil
	}
	return j.FailedOn
}

// untried reports whether j fits on an open worker where it has not failed.
func (c *Cell) untried(j *JobRow, closed map[string]bool) bool {
	for _, w := range c.workers.All {
		if w.report != nil && !w.lost && !closed[w.id] && j.Need.Fits(w.capacity) &&
			!slices.Contains(j.FailedOn, w.id) {
			return true
		}
	}
	return false
}
