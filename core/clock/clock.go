// Package clock judges time limits by the monotonic and the wall clock.
//
// Invariant: of the two clocks, the one that says that more time has passed
// decides. The monotonic clock of a paused VM may stand still, and its wall
// clock may be set back; each alone would let a limit last too long. The
// package owns no state but the limits that callers hold.
package clock

import (
	"sync/atomic"
	"time"
)

// Passed reports whether the limit has been reached on either clock.
func Expired(limit, now time.Time) bool {
	return !now.Before(limit) || !now.Round(0).Before(limit.Round(0))
}

// Elapsed returns the time from since to now on the clock that says more.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Limit is a point in time that one goroutine sets and any may test. The
// zero Limit has passed.
type Deadline struct{ at atomic.Pointer[time.Time] }

// Set moves the limit to t.
func (l *Deadline) Set(t time.Time) { l.at.Store(&t) }

// At returns the limit, or the zero time if it was never set.
func (l *Deadline) At() time.Time {
	if t := l.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Passed reports whether the limit has been reached on either clock.
func (l *Deadline) Expired(now time.Time) bool {
	t := l.at.Load()
	return t == nil || Expired(*t, now)
}
