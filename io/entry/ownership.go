package entry

import (
	"context"
	"strconv"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/event"
	"rosemarygap/core/interference"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/rendezvous"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	"rosemarygap/io/platform"

	"github.com/google/uuid"
)

// Delays of the acquisition of cells without an owner.
const (
	// nonPreferredDelay is how long an entry that isn't the preferred one waits before
	// it tries to acquire a cell.
	nonPreferredDelay = 2 * time.Second
	// lastOwnerDelay is how long the other entries wait for the last owner of a cell
	// to acquire it again, provided that the last owner responded to an exchange
	// request within lastOwnerContactAge.
	lastOwnerDelay      = 4 * time.Second
	lastOwnerContactAge = 2 * time.Second
	// acquireRetryDelay is the delay after a failed attempt to acquire a cell. It is
	// also the retry delay in errors about cells that this entry can't reach or doesn't
	// own, and in errors of an entry that has no configuration or is stopping.
	acquireRetryDelay = time.Second
)

type journal = platform.Journal[worker.Record, worker.Snapshot]

// localCell is a cell that this entry owns or may try to acquire.
type localCell struct {
	id      int
	driver  *worker.Driver
	journal *journal
	// policy contains what the owner has learned about interference in the cell. It
	// is nil until the first decision.
	policy *interference.Policy
	// owned is true after the epoch of this ownership was opened in the journal.
	owned bool
	// lease is the lease in the store to which the ownership is bound.
	lease string
	// unownedSince is when this entry first saw the cell without an owner.
	unownedSince time.Time
	retryAt      time.Time
	acquiring    bool
}

// acquireResult is the result of an attempt to acquire a cell.
type acquireResult struct {
	local *localCell
	// next is the new ownership, which is valid if err is nil.
	next *localCell
	err  error
}

func (c *control) tickOwnership(ctx context.Context, now time.Time) {
	if c.config == nil || c.registration.lease == "" || c.stopping {
		return
	}
	for id := range c.config.Document.Cells {
		if o := c.owners.Get(id); o != nil && o.Entry != c.self.ID {
			continue
		}
		local := c.cells.Get(id)
		if local == nil {
			local = c.cells.Put(id, localCell{id: id, unownedSince: now})
		}
		if local.acquiring || now.Before(local.retryAt) || !c.mayAcquire(local, now) {
			continue
		}
		local.acquiring = true
		c.acquire(ctx, local)
	}
}

// mayAcquire reports whether this entry may try to acquire a cell now. The entry that
// rendezvous hashing prefers for the cell may try first. An owner whose registration
// expired may try immediately. Until an entry has acquired the cell, the previous
// owner continues as before: this is safe because the journal and the workers reject
// messages of earlier epochs.
func (c *control) mayAcquire(local *localCell, now time.Time) bool {
	if local.owned {
		return local.lease != c.registration.lease
	}
	if c.yieldsToLastOwner(local, now) {
		return false
	}
	ids := make([]string, 0, c.members.Len())
	for id := range c.members.All {
		ids = append(ids, id)
	}
	if rendezvous.Preferred("cell/"+strconv.Itoa(local.id), ids) == c.self.ID {
		return true
	}
	return now.Sub(local.unownedSince) > nonPreferredDelay
}

// yieldsToLastOwner reports whether the last owner of a cell should acquire it again.
// This holds for a short time if the last owner lost its registration but responds
// to exchange requests. The last owner knows when each worker's lease ends, whereas a
// new owner must wait for the whole outage hold for each unreachable worker. The
// outage hold is how long workers keep running tasks while the owner can't verify its
// ownership in the store.
func (c *control) yieldsToLastOwner(local *localCell, now time.Time) bool {
	o := c.lastOwners.Get(local.id)
	if o == nil || o.Entry == c.self.ID || now.Sub(local.unownedSince) > lastOwnerDelay {
		return false
	}
	state := c.peering.peers[o.Entry]
	return state != nil && clock.Elapsed(state.lastResponse, now) < lastOwnerContactAge
}

func (c *control) acquire(ctx context.Context, local *localCell) {
	owner := coreplatform.Owner{Entry: c.self.ID, Instance: c.instance, Address: c.self.Address.String()}
	next := &localCell{id: local.id, lease: c.registration.lease}
	next.journal = platform.NewJournal[worker.Record, worker.Snapshot](c.store, local.id, coreplatform.JournalSlots)
	timings := c.timings()
	newDriver := func() *worker.Driver {
		return worker.NewDriver(worker.NewCell(local.id, timings), owner.Entry, uuid.NewString)
	}
	c.start(ctx, func(ctx context.Context) message {
		epoch, err := platform.ClaimOwnership(ctx, c.store, local.id, owner, next.lease)
		if err == nil {
			next.driver, err = platform.OpenCell(ctx, next.journal, epoch, newDriver, time.Now)
		}
		return acquireResult{local, next, err}
	})
}

func (m acquireResult) handle(c *control, now time.Time) {
	c.recordStoreResult(m.err, now)
	m.local.acquiring = false
	if !c.isCurrent(m.local) {
		return
	}
	if m.err != nil {
		m.local.retryAt = now.Add(acquireRetryDelay)
		return
	}
	if m.local.owned {
		m.next.driver.Cell.InheritLeaseBounds(m.local.driver.Cell)
		c.releaseCell(m.local, status.ErrLeaseExpired.Code())
	}
	c.cells.Delete(m.local.id)
	local := c.cells.Put(m.local.id, *m.next)
	local.owned = true
	c.configureCell(local.driver.Cell, now)
	c.registerKnownWorkers(local)
	event.CellAcquired.Emit(c.log, event.Cell(local.id), event.Epoch(local.driver.Cell.Epoch()),
		event.Sequence(local.journal.NextSeq()))
}

// registerKnownWorkers registers the announced workers of a cell that this entry has
// just acquired.
func (c *control) registerKnownWorkers(local *localCell) {
	for id, w := range c.announcedWorkers.All {
		if peer.CellOfWorker(id, c.config.Document.Cells) == local.id {
			local.driver.Cell.RegisterWorker(id, w.announcement.Zone, w.announcement.Rack, w.announcement.Address, w.announcedAt)
		}
	}
}

// releaseCell ends the ownership of a cell. The tasks of the cell keep running as long
// as the leases of their workers last. A new owner extends these leases.
func (c *control) releaseCell(local *localCell, reason status.Code) {
	if local.owned {
		event.CellReleased.Emit(c.log, event.Cell(local.id),
			event.Epoch(local.driver.Cell.Epoch()), event.Reason(reason))
		local.driver.Close(status.RetryIn(status.ErrNotOwner, acquireRetryDelay))
	}
	c.cells.Delete(local.id)
}

// closeCells answers all pending submissions and cancellations in the cells of this
// entry with an error. It is called after the registration was revoked.
func (c *control) closeCells() {
	for _, local := range c.cells.All {
		if local.owned {
			local.driver.Close(status.RetryIn(status.ErrNotOwner, acquireRetryDelay))
		}
	}
}
