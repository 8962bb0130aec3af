// Package clock evaluates deadlines by both the monotonic and the wall clock.
//
// Invariant: of the two clocks, the one on which more time has passed decides.
// The monotonic clock of a paused VM may stop, and its wall clock may be set
// back, so that a deadline could expire too late on either clock alone. The
// package holds no state of its own.
package clock

import (
	"sync/atomic"
	"time"
)

// Expired reports whether now has reached deadline on either clock.
func Expired(deadline, now time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// Elapsed returns the time from since to now, as the longer of the durations on
// the two clocks.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Deadline is a point in time that one goroutine sets and any goroutine may
// test. The zero Deadline has expired.
type Deadline struct{ at atomic.Pointer[time.Time] }

// Set sets the deadline to t.
func (d *Deadline) Set(t time.Time) { d.at.Store(&t) }

// At returns the deadline, or the zero time if it was never set.
func (d *Deadline) At() time.Time {
	if t := d.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Expired reports whether now has reached the deadline on either clock.
func (d *Deadline) Expired(now time.Time) bool {
	t := d.at.Load()
	return t == nil || Expired(*t, now)
}
