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

	"github.com/pkg/errors"
)

// keepAlivesPerTTL is how often the lease is kept alive within its time.
const keepAlivesPerTTL = 3

// readRetry is the delay before the members are read again.
const readRetry = 200 * time.Millisecond

// registration is this entry's lease in the platform's store.
type registration struct {
	lease string
	busy  bool
	due   time.Time
}

// registered is the result of a step of the registration.
type registered struct {
	lease string
	began time.Time
	err   error
	// unread tells why the members could not be read; the registration
	// stands nevertheless.
	unread error
}

func (c *control) tickRegistration(ctx context.Context, now time.Time) {
	r := &c.registration
	if r.busy || now.Before(r.due) || c.stopping {
		return
	}
	r.busy = true
	for _, run := range c.cells.All {
		run.cell.VerifyBegin()
	}
	lease, self, ttl := r.lease, c.self, c.opts.LeaseTTL
	c.start(ctx, func(ctx context.Context) message {
		m := registered{lease: lease, began: now}
		if lease == "" {
			m.lease, m.err = register(ctx, c.store, self, ttl)
		} else {
			m.err = c.store.KeepAlive(ctx, lease)
		}
		if m.err == nil {
			m.unread = c.claims.Verify(ctx, now, lease == "")
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
	r.due = now.Add(c.opts.LeaseTTL / keepAlivesPerTTL)
	c.noteStore(m.err, now)
	if m.unread != nil {
		r.due = now.Add(readRetry)
	}
	switch {
	case m.err == nil:
		r.lease = m.lease
		for _, run := range c.cells.All {
			run.cell.VerifyEnd(m.began)
		}
	case errors.Is(m.err, status.ErrLeaseExpired):
		r.lease = ""
		r.due = now
		c.stepDownAll(status.ErrLeaseExpired.Code())
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
			sleep(ctx, watchRetry)
		}
		return watchResult{ch, err}
	})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (m watchResult) handle(c *control, now time.Time) {
	c.watching = false
	c.noteStore(m.err, now)
	if m.err != nil {
		return
	}
	c.watched = max(c.watched, m.changes.Revision)
	for _, e := range m.changes.Entries {
		c.applyEntry(e)
	}
}

func (c *control) applyEntry(e platform.Entry) {
	if e.Key == coreplatform.ConfigKey {
		c.applyConfigEntry(e)
		return
	}
	if cell, ok := coreplatform.CellOf(e.Key); ok {
		c.applyOwnerEntry(cell, e)
		return
	}
	c.applyMemberEntry(e)
}

func (c *control) applyOwnerEntry(cell int, e platform.Entry) {
	c.dirty = true
	if e.Deleted {
		c.owners.Delete(cell)
		return
	}
	var o coreplatform.Owner
	if json.Unmarshal(e.Value, &o) == nil {
		c.owners.Put(cell, o)
	}
}

func (c *control) applyMemberEntry(e platform.Entry) {
	id := e.Key[len(coreplatform.EntryPrefix):]
	c.dirty = true
	c.registration.due = time.Time{}
	if e.Deleted {
		c.members.Delete(id)
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
}
