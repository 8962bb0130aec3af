package worker

import "time"

// Clock measures the time since an incarnation began.
//
// Invariant: it never goes back, and between two readings it goes on by the
// monotonic or the wall clock, whichever went further. So it goes on while
// the VM is paused and its monotonic clock stands still, and a wall clock
// that is set back stops nothing.
type Clock struct {
	last  time.Time
	total time.Duration
}

// NewClock returns a clock that begins at now.
func NewClock(now time.Time) *Clock { return &Clock{last: now} }

// Read returns the time since the beginning.
func (c *Clock) Elapsed(now time.Time) time.Duration {
	c.total += max(0, now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)))
	c.last = now
	return c.total
}
