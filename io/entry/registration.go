package entry

import (
	"context"
	"encoding/json"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"
	"rosemarygap/io/process"

	"github.com/pkg/errors"
)

// keepAlivesPerTTL is how often the lease is kept alive within its time.
const keepAlivesPerTTL = 3

// registration is this entry's lease in the platform's store.
type registration struct {
	lease string
	busy  bool
	due   time.Time
	done  time.Time
}

// proofGap is the least time between two proofs of ownership.
const proofGap = 250 * time.Millisecond

// dueBy makes the next step due at now, but not too soon after the last one.
func (r *registration) dueBy(now time.Time) {
	if now.Sub(r.done) >= proofGap && now.Before(r.due) && r.lease != "" {
		r.due = now
	}
}

// registered is the result of a step of the registration.
type registered struct {
	lease string
	began time.Time
	err   error
}

func (c *control) tickRegistration(ctx context.Context, now time.Time) {
	r := &c.registration
	if r.busy || now.Before(r.due) || c.stopping {
		return
	}
	r.busy = true
	for _, run := range c.cells.All {
		if run.owned {
			run.driver.Cell.VerifyBegin()
		}
	}
	lease, self, ttl := r.lease, c.self, c.opts.LeaseTTL
	c.start(ctx, func(ctx context.Context) message {
		m := registered{lease: lease, began: now}
		if lease == "" {
			m.lease, m.err = register(ctx, c.store, self, ttl)
		} else {
			m.err = c.store.KeepAlive(ctx, lease)
		}
		return m
	})
}

// register grants a lease and binds this entry's key to it.
func register(ctx context.Context, s platform.Store, self peer.Member, ttl time.Duration) (string, error) {
	lease, err := s.Grant(ctx, ttl)
	if err != nil {
		return "", err
	}
	v, err := json.Marshal(self)
	if err != nil {
		return "", errors.Wrap(err, "encode member")
	}
	key := coreplatform.EntryKey(self.ID)
	old, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return "", err
	}
	_, err = s.Put(ctx, platform.Write{Key: key, Value: v, Expect: old.Revision, Lease: lease})
	return lease, err
}

func (m registered) handle(c *control, now time.Time) {
	r := &c.registration
	r.busy = false
	r.done = now
	r.due = now.Add(c.opts.LeaseTTL / keepAlivesPerTTL)
	c.noteStore(m.err, now)
	switch {
	case m.err == nil:
		c.reading.registered(m.began, r.lease == "")
		if r.lease == m.lease {
			c.peering.roster.ConfirmMembership(m.began)
		} else {
			c.peering.roster.RecordRegistration(m.began, now)
		}
		r.lease = m.lease
		c.verified(m)
	case errors.Is(m.err, status.ErrLeaseExpired):
		// The cells are claimed again under the next lease. Until then, or
		// until another owner is heard of, their workers are renewed.
		r.lease = ""
		r.due = now
	default:
		r.due = now.Add(min(registerRetry, c.opts.LeaseTTL/keepAlivesPerTTL))
	}
}

// registerRetry is the delay after a step without an answer.
const registerRetry = 500 * time.Millisecond

// verified tells the cells whose ownership is bound to the lease that it was
// still held when the step began.
func (c *control) verified(m registered) {
	for _, run := range c.cells.All {
		if run.owned && run.lease == m.lease {
			run.driver.Cell.VerifyEnd(m.began)
		}
	}
}

// watched is the result of one watch.
type watchResult struct {
	changes platform.Changes
	err     error
}

// watchRetry is the delay after a watch failed.
const watchRetry = 500 * time.Millisecond

func (c *control) tickWatch(ctx context.Context) {
	if c.watching {
		return
	}
	c.watching = true
	after := c.watched
	c.start(ctx, func(ctx context.Context) message {
		ch, err := c.store.Watch(ctx, coreplatform.ControlPrefix, after)
		if err != nil {
			process.Pause(ctx, watchRetry, nil)
		}
		return watchResult{ch, err}
	})
}

func (m watchResult) handle(c *control, now time.Time) {
	c.watching = false
	c.noteStore(m.err, now)
	if m.err != nil {
		return
	}
	c.watched = max(c.watched, m.changes.Revision)
	for _, e := range m.changes.Entries {
		c.applyEntry(e, now)
	}
}

func (c *control) applyEntry(e platform.Entry, now time.Time) {
	if e.Key == coreplatform.ConfigKey {
		c.applyConfigEntry(e)
		return
	}
	if cell, ok := coreplatform.ParseOwnerKey(e.Key); ok {
		c.applyOwnerEntry(cell, e)
		return
	}
	c.applyMemberEntry(e, now)
}

func (c *control) applyOwnerEntry(cell int, e platform.Entry) {
	c.dirty = true
	if e.Deleted {
		if o := c.owners.Get(cell); o != nil {
			c.lapsed.Put(cell, *o)
		}
		c.owners.Delete(cell)
		return
	}
	var o coreplatform.Owner
	if json.Unmarshal(e.Value, &o) != nil {
		return
	}
	c.owners.Put(cell, o)
	run := c.cells.Get(cell)
	if run != nil && !run.owned && !run.acquiring && o.Entry != c.self.ID {
		c.cells.Delete(cell)
		return
	}
	if run != nil && run.owned && o.Epoch > run.driver.Cell.Epoch() && o.Entry != c.self.ID {
		c.stepDown(run, status.ErrNotOwner.Code())
	}
}

func (c *control) applyMemberEntry(e platform.Entry, now time.Time) {
	id := e.Key[len(coreplatform.EntryPrefix):]
	c.dirty = true
	c.registration.due = time.Time{}
	if e.Deleted {
		c.members.Delete(id)
		c.rosterChanged(c.peering.roster.Remove(id, e.Revision, now))
		event.PeerRemoved.Emit(c.log, event.Entry(id))
		return
	}
	var m peer.Member
	if json.Unmarshal(e.Value, &m) != nil {
		return
	}
	if c.members.Get(id) == nil {
		event.PeerAdded.Emit(c.log, event.Entry(id), event.Address(m.Address))
	}
	c.members.Put(id, m)
	if m == c.self {
		c.peering.roster.MarkLoaded(now)
	}
	row := peer.RosterRow{Member: m, Revision: e.Revision}
	c.rosterChanged(c.peering.roster.Merge(row, now, now))
}
