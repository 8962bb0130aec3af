package endpoint

import (
	"sync/atomic"
	"time"

	"rosemarygap/core/clock"
)

// Gate is this entry's permission to use its shares of the endpoints' slots.
// The control goroutine prolongs it while it runs and knows that the other
// entries still count with this one, so a process that was frozen finds it
// closed.
type SendLease struct{ until clock.Deadline }

// Prolong keeps the gate open until t.
func (g *SendLease) Extend(t time.Time) { g.until.Set(t) }

// Open reports whether this entry may send requests at now.
func (g *SendLease) IsValid(now time.Time) bool { return !g.until.Expired(now) }

// Load counts this entry's requests in progress at one endpoint, and tells
// how long its announcement counts. It outlives the views that share it, so
// that a refresh needs no new view. Its methods may be called from any
// goroutine.
type Load struct {
	inFlight atomic.Int64
	// settling counts slots whose requests were given up on and may still run.
	settling atomic.Int64
	limit    atomic.Int64
	expires  clock.Deadline
	gate     *SendLease
}

// NewLoad returns a Load that admits limit requests at a time.
func NewLoad(limit int) *Load {
	l := &Load{}
	l.limit.Store(int64(limit))
	return l
}

// Acquire takes one slot and reports whether one was free. The count rises
// before the limit is read, so whoever lowers the limit and then reads the
// count sees every slot that was taken under the old limit.
func (l *Load) Acquire() bool {
	if l.inFlight.Add(1)+l.settling.Load() <= l.limit.Load() {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// Release returns a slot taken by Acquire.
func (l *Load) Release() { l.inFlight.Add(-1) }

// Settle keeps one slot from being taken, before its Release, until Settled:
// the request was given up on and the endpoint may not have noticed.
func (l *Load) HoldAbandoned() { l.settling.Add(1) }

// Settled ends one Settle.
func (l *Load) ReleaseAbandoned() { l.settling.Add(-1) }

// Busy returns the number of slots that may be in use at the endpoint.
func (l *Load) Busy() int64 { return l.inFlight.Load() + l.settling.Load() }

// Expires returns when the announcement lapses if nobody refreshes it.
func (l *Load) Expires() time.Time { return l.expires.At() }

// Usable reports whether the endpoint may get a request at now. Whoever waits
// between Pick and sending asks again before the first byte.
func (l *Load) Usable(now time.Time) bool {
	return !l.expires.Expired(now) && (l.gate == nil || l.gate.IsValid(now))
}

func (l *Load) setExpires(t time.Time) { l.expires.Set(t) }

// SetLimit changes how many requests are admitted at a time; those in
// progress go on.
func (l *Load) SetLimit(n int) { l.limit.Store(int64(n)) }

// Limit returns how many requests are admitted at a time.
func (l *Load) Limit() int64 { return l.limit.Load() }

// InFlight returns the number of slots taken.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }
