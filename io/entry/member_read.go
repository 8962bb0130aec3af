package entry

import (
	"context"
	"time"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// memberRead is the state of the reads of the set of entries that decide whether a
// caller's request id is a repeat. Each step of the registration is followed by a
// read, which doesn't delay the registration.
type memberRead struct {
	inFlight bool
	// due is true while a step of the registration has not been followed by a read.
	// startedAt is when the latest such step started, and newLease is true if one of
	// these steps made a new registration.
	due       bool
	startedAt time.Time
	newLease  bool
}

// schedule requests a read after a step of the registration that started at
// startedAt.
func (r *memberRead) schedule(startedAt time.Time, newLease bool) {
	r.due = true
	r.startedAt = startedAt
	r.newLease = r.newLease || newLease
}

// memberReadResult is the result of a read that followed the step of the registration
// that started at startedAt. If the read failed because another entry changed the
// record of the set in the store at the same time, the next tick repeats the read.
// After any other failure the next step of the registration repeats it.
type memberReadResult struct {
	startedAt time.Time
	err       error
}

func (c *control) tickMemberRead(ctx context.Context) {
	r := &c.memberRead
	if r.inFlight || !r.due || c.stopping {
		return
	}
	startedAt, newLease := r.startedAt, r.newLease
	*r = memberRead{inFlight: true}
	c.start(ctx, func(ctx context.Context) message {
		return memberReadResult{startedAt, c.claims.RefreshMembers(ctx, startedAt, newLease)}
	})
}

func (m memberReadResult) handle(c *control, now time.Time) {
	c.memberRead.inFlight = false
	c.recordStoreResult(m.err, now)
	if errors.Is(m.err, status.ErrStoreConflict) && !c.memberRead.due {
		c.memberRead.schedule(m.startedAt, false)
	}
}
