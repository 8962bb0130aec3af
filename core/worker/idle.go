package worker

import "time"

const (
	// retention is how long the id of an ended job is kept, so that a repeated
	// submission does not run the job again. Workers that are no longer
	// announced are kept as long.
	retention = 24 * time.Hour
	// impossibleJobDelay is how long a job waits, both from its submission and
	// from the start of the ownership, before it is parked as impossible.
	impossibleJobDelay = time.Minute
)

// planIdleJobs plans records for the jobs that are not running: it ends cancelled
// jobs, parks those that cannot run, unparks those that fit on a worker again,
// and removes those that ended long ago.
func (c *Cell) planIdleJobs(rs []Record, decided map[string]bool, now time.Time) []Record {
	capacities := c.distinctCapacities()
	for id, j := range c.jobs.All {
		if decided[id] || j.State == Running {
			continue
		}
		r, changed := c.idleRecord(j, capacities, now)
		if changed {
			rs = append(rs, r)
		}
		if changed || now.Before(j.NotBefore) {
			decided[id] = true
		}
	}
	return rs
}

func (c *Cell) idleRecord(j *JobRow, capacities []Resources, now time.Time) (Record, bool) {
	r := Record{At: now, ID: j.ID}
	switch {
	case j.State.Final():
		r.Kind = KindForgotten
		return r, now.Sub(j.Ended) > retention
	case j.Cancelling:
		r.Kind = KindCancelled
		return r, true
	case j.State == Parked:
		r.Kind = KindUnparked
		return r, j.Reason == ReasonImpossibleJob && fitsAny(j.Need, capacities)
	case c.failsEverywhere(j):
		r.Kind, r.Reason = KindParked, ReasonTooManyFailures
		return r, true
	}
	r.Kind, r.Reason = KindParked, ReasonImpossibleJob
	for _, capacity := range capacities {
		r.Limit = r.Limit.Max(capacity)
	}
	waited := min(now.Sub(j.Submitted), now.Sub(c.openedAt))
	return r, len(capacities) > 0 && waited > impossibleJobDelay && !fitsAny(j.Need, capacities)
}

// distinctCapacities returns the distinct capacities of the workers that have
// reported.
func (c *Cell) distinctCapacities() []Resources {
	var out []Resources
	seen := make(map[Resources]bool)
	for _, w := range c.workers.All {
		if w.report != nil && !seen[w.capacity] {
			seen[w.capacity] = true
			out = append(out, w.capacity)
		}
	}
	return out
}

func fitsAny(need Resources, capacities []Resources) bool {
	for _, capacity := range capacities {
		if need.Fits(capacity) {
			return true
		}
	}
	return false
}
