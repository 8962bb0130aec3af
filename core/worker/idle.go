package worker

import "time"

const (
	// retention is how long the id of a job that ended is remembered, so
	// that a repeated submit does not run it again.
	retention = 24 * time.Hour
	// impossibleAfter is how long a job waits, from its submission and from
	// the start of the ownership, before it counts as impossible.
	impossibleAfter = time.Minute
)

// planIdle decides about the jobs that hold no room: it ends cancelled ones,
// parks those that cannot run, and forgets those that ended long ago.
func (c *Cell) planIdle(rs []Record, touched map[string]bool, now time.Time) []Record {
	largest := c.largest()
	for id, j := range c.jobs.All {
		if touched[id] || j.State == Running {
			continue
		}
		r, changed := c.idle(j, largest, now)
		if changed {
			rs = append(rs, r)
		}
		if changed || now.Before(j.NotBefore) {
			touched[id] = true
		}
	}
	return rs
}

func (c *Cell) idle(j *JobRow, largest []Resources, now time.Time) (Record, bool) {
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
		return r, j.Reason == ReasonImpossibleJob && fitsAny(j.Need, largest)
	case c.failsEverywhere(j):
		r.Kind, r.Reason = KindParked, ReasonTooManyFailures
		return r, true
	}
	r.Kind, r.Reason = KindParked, ReasonImpossibleJob
	for _, l := range largest {
		r.Limit = r.Limit.Max(l)
	}
	waited := min(now.Sub(j.Submitted), now.Sub(c.opened))
	return r, len(largest) > 0 && waited > impossibleAfter && !fitsAny(j.Need, largest)
}

// largest returns the capacities of the workers that have reported, without
// repeats.
func (c *Cell) largest() []Resources {
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
	for _, r := range capacities {
		if need.Fits(r) {
			return true
		}
	}
	return false
}
