package worker

import "time"

// Clock measures the time since an incarnation began.
//
// Invariant: the clock never goes back, and between two readings it advances by
// the larger of the advances of the monotonic and the wall clock. It therefore
// includes the time in which the VM is paused and the monotonic clock stops, and
// it continues to advance when the wall clock is set back.
type Clock struct {
	last    time.Time
	elapsed time.Duration
}

// NewClock returns a clock that starts at now.
func NewClock(now time.Time) *Clock { return &Clock{last: now} }

// Elapsed returns the time from the start of the clock to now.
func (c *Clock) Elapsed(now time.Time) time.Duration {
	c.elapsed += max(0, now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)))
	c.last = now
	return c.elapsed
}
