package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"
	"rosemarygap/io/process"

	"github.com/pkg/errors"
)

// keepAlivesPerTTL is the number of keep-alive requests in one TTL of the lease.
const keepAlivesPerTTL = 3

// registration is the state of this entry's registration in the platform's store. A
// step of the registration either writes a new registration or keeps the lease of the
// existing one alive.
type registration struct {
	lease    string
	inFlight bool
	due      time.Time
	lastDone time.Time
}

// minStepInterval is the minimum time from the end of one step to the start of a step
// that expedite requests.
const minStepInterval = 250 * time.Millisecond

// expedite makes the next step due at now, unless the last step ended less than
// minStepInterval ago or this entry has no lease. The step verifies the ownership of
// the cells.
func (r *registration) expedite(now time.Time) {
	if now.Sub(r.lastDone) >= minStepInterval && now.Before(r.due) && r.lease != "" {
		r.due = now
	}
}

// registrationResult is the result of a step of the registration.
type registrationResult struct {
	lease     string
	startedAt time.Time
	err       error
}

func (c *control) tickRegistration(ctx context.Context, now time.Time) {
	r := &c.registration
	if r.inFlight || now.Before(r.due) || c.stopping {
		return
	}
	r.inFlight = true
	for _, local := range c.cells.All {
		if local.owned {
			local.driver.Cell.VerifyBegin()
		}
	}
	lease, self, ttl := r.lease, c.self, c.opts.LeaseTTL
	c.start(ctx, func(ctx context.Context) message {
		m := registrationResult{lease: lease, startedAt: now}
		if lease == "" {
			m.lease, m.err = register(ctx, c.store, self, ttl)
		} else {
			m.err = c.store.KeepAlive(ctx, lease)
		}
		return m
	})
}

// register obtains a lease, binds this entry's key to it and returns the lease.
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

func (m registrationResult) handle(c *control, now time.Time) {
	r := &c.registration
	r.inFlight = false
	r.lastDone = now
	r.due = now.Add(c.opts.LeaseTTL / keepAlivesPerTTL)
	c.recordStoreResult(m.err, now)
	switch {
	case m.err == nil:
		c.memberRead.schedule(m.startedAt, r.lease == "")
		if r.lease == m.lease {
			c.peering.roster.ConfirmMembership(m.startedAt)
		} else {
			c.peering.roster.RecordRegistration(m.startedAt, now)
		}
		r.lease = m.lease
		c.completeVerification(m)
	case errors.Is(m.err, status.ErrLeaseExpired):
		// The cells are claimed again under the next lease. Until then, or
		// until another owner becomes known, this entry continues to extend
		// the leases of their workers.
		r.lease = ""
		r.due = now
	default:
		r.due = now.Add(min(registrationRetryDelay, c.opts.LeaseTTL/keepAlivesPerTTL))
	}
}

// registrationRetryDelay is the maximum delay after a step that failed, unless it failed
// because the lease has expired.
const registrationRetryDelay = 500 * time.Millisecond

// completeVerification completes the verification of the cells whose ownership is
// bound to the lease: the lease was still valid when the step started.
func (c *control) completeVerification(m registrationResult) {
	for _, local := range c.cells.All {
		if local.owned && local.lease == m.lease {
			local.driver.Cell.VerifyEnd(m.startedAt)
		}
	}
}

// watchResult is the result of one watch request.
type watchResult struct {
	changes platform.Changes
	err     error
}

// watchRetryDelay is the delay after a failed watch request.
const watchRetryDelay = 500 * time.Millisecond

func (c *control) tickWatch(ctx context.Context) {
	if c.watching {
		return
	}
	c.watching = true
	after := c.watchRevision
	c.start(ctx, func(ctx context.Context) message {
		changes, err := c.store.Watch(ctx, coreplatform.ControlPrefix, after)
		if err != nil {
			process.Pause(ctx, watchRetryDelay, nil)
		}
		return watchResult{changes, err}
	})
}

func (m watchResult) handle(c *control, now time.Time) {
	c.watching = false
	c.recordStoreResult(m.err, now)
	if m.err != nil {
		return
	}
	c.watchRevision = max(c.watchRevision, m.changes.Revision)
	for _, kv := range m.changes.KeyValues {
		c.applyKeyValue(kv, now)
	}
}

func (c *control) applyKeyValue(kv platform.KeyValue, now time.Time) {
	if kv.Key == coreplatform.ConfigKey {
		c.applyConfigKey(kv)
		return
	}
	if cell, ok := coreplatform.ParseOwnerKey(kv.Key); ok {
		c.applyOwnerKey(cell, kv)
		return
	}
	if id, ok := strings.CutPrefix(kv.Key, coreplatform.EntryPrefix); ok && id != "" {
		c.applyMemberKey(id, kv, now)
	}
}

func (c *control) applyOwnerKey(cell int, kv platform.KeyValue) {
	c.dirty = true
	if kv.Deleted {
		if o := c.owners.Get(cell); o != nil {
			c.lastOwners.Put(cell, *o)
		}
		c.owners.Delete(cell)
		return
	}
	var o coreplatform.Owner
	if json.Unmarshal(kv.Value, &o) != nil {
		return
	}
	c.owners.Put(cell, o)
	local := c.cells.Get(cell)
	if local != nil && !local.owned && !local.acquiring && o.Entry != c.self.ID {
		c.cells.Delete(cell)
		return
	}
	if local != nil && local.owned && o.Epoch > local.driver.Cell.Epoch() && o.Entry != c.self.ID {
		c.releaseCell(local, status.ErrNotOwner.Code())
	}
}

// applyMemberKey applies a change of the registration of an entry. It makes a step of the
// registration due, because the read of the members that follows the step takes the
// change into account.
func (c *control) applyMemberKey(id string, kv platform.KeyValue, now time.Time) {
	c.dirty = true
	c.registration.due = time.Time{}
	if kv.Deleted {
		c.members.Delete(id)
		c.handleRosterChange(c.peering.roster.Remove(id, kv.Revision, now))
		event.PeerRemoved.Emit(c.log, event.Entry(id))
		return
	}
	m, err := peer.DecodeMember(id, kv.Value)
	if err != nil {
		event.MessageRefused.Emit(c.log, event.Dependency("store"), event.Reason(status.Code(kv.Key+": "+err.Error())))
		return
	}
	if c.members.Get(id) == nil {
		event.PeerAdded.Emit(c.log, event.Entry(id), event.Address(m.Address))
	}
	c.members.Put(id, m)
	if m == c.self {
		c.peering.roster.MarkLoaded(now)
	}
	row := peer.RosterRow{Member: m, Revision: kv.Revision}
	c.handleRosterChange(c.peering.roster.Merge(row, now, now))
}
