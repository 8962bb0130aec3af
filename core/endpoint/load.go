package endpoint

import (
	"sync/atomic"
	"time"

	"rosemarygap/core/clock"
)

// SendLease is this entry's permission to use its shares of the endpoints'
// slots. The control goroutine extends the lease regularly, as long as it knows
// that the other entries still reserve shares for this one. A process that was
// frozen therefore finds its lease expired when it resumes.
type SendLease struct{ expires clock.Deadline }

// Extend keeps the lease valid until t.
func (g *SendLease) Extend(t time.Time) { g.expires.Set(t) }

// IsValid reports whether this entry may send requests at now.
func (g *SendLease) IsValid(now time.Time) bool { return !g.expires.Expired(now) }

// Load counts this entry's requests in progress at one endpoint and holds the
// expiration time of the endpoint's announcement. Successive views share the
// Load of an incarnation, so that a refresh of the announcement needs no new
// view. The exported methods may be called from any goroutine.
type Load struct {
	inFlight atomic.Int64
	// abandoned counts slots whose requests this entry no longer waits for but
	// which may still run.
	abandoned atomic.Int64
	limit     atomic.Int64
	expires   clock.Deadline
	lease     *SendLease
}

// NewLoad returns a Load that admits up to limit concurrent requests.
func NewLoad(limit int) *Load {
	l := &Load{}
	l.limit.Store(int64(limit))
	return l
}

// Acquire takes one slot and reports whether one was free. It increments the
// count before it reads the limit, so that a goroutine that lowers the limit and
// then reads the count sees every slot that was taken under the old limit.
func (l *Load) Acquire() bool {
	if l.inFlight.Add(1)+l.abandoned.Load() <= l.limit.Load() {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// Release returns a slot taken by Acquire.
func (l *Load) Release() { l.inFlight.Add(-1) }

// HoldAbandoned keeps a slot occupied after its Release, until
// ReleaseAbandoned. It must be called before the Release, for a request that
// this entry no longer waits for but which the endpoint may still run.
func (l *Load) HoldAbandoned() { l.abandoned.Add(1) }

// ReleaseAbandoned ends one HoldAbandoned.
func (l *Load) ReleaseAbandoned() { l.abandoned.Add(-1) }

// Busy returns the number of slots that may be in use at the endpoint.
func (l *Load) Busy() int64 { return l.inFlight.Load() + l.abandoned.Load() }

// Expires returns when the announcement expires if it is not refreshed.
func (l *Load) Expires() time.Time { return l.expires.At() }

// Usable reports whether the endpoint may receive a request at now. A sender
// that waits after Policy.Pick must call Usable again before it sends the first
// byte.
func (l *Load) Usable(now time.Time) bool {
	return !l.expires.Expired(now) && (l.lease == nil || l.lease.IsValid(now))
}

func (l *Load) setExpires(t time.Time) { l.expires.Set(t) }

// SetLimit changes the number of concurrent requests that are admitted. Requests
// in progress continue.
func (l *Load) SetLimit(n int) { l.limit.Store(int64(n)) }

// Limit returns the number of concurrent requests that are admitted.
func (l *Load) Limit() int64 { return l.limit.Load() }

// InFlight returns the number of slots taken.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }
