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

// Periods of the competition for cells without an owner.
const (
	// othersWait is how long an entry leaves a cell to the preferred one.
	othersWait = 2 * time.Second
	// yieldLimit is how long a cell is left to its latest owner if that one
	// answered within yieldHeard.
	yieldLimit = 4 * time.Second
	yieldHeard = 2 * time.Second
	// acquireRetry is the delay after a failed try.
	acquireRetry = time.Second
)

type journal = platform.Journal[worker.Record, worker.Snapshot]

// cellRun is a cell that this entry owns or is about to own.
type cellRun struct {
	id      int
	driver  *worker.Driver
	journal *journal
	// policy is what the owner learnt about interference in the cell.
	policy *interference.Policy
	// owned is true once the epoch was opened in the journal.
	owned bool
	// lease is the registration that the ownership is bound to.
	lease string
	// free is when the cell was first seen without an owner.
	free      time.Time
	retry     time.Time
	acquiring bool
}

// acquired is the result of a try to own a cell.
type acquired struct {
	run *cellRun
	// next is the ownership, if the try succeeded.
	next *cellRun
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
		run := c.cells.Get(id)
		if run == nil {
			run = c.cells.Put(id, cellRun{id: id, free: now})
		}
		if run.acquiring || now.Before(run.retry) || !c.mayAcquire(run, now) {
			continue
		}
		run.acquiring = true
		c.acquire(ctx, run)
	}
}

// mayAcquire lets the preferred entry try first. An owner whose registration
// lapsed tries at once; until some try succeeds it goes on as before, which
// the journal and the workers' epochs make safe.
func (c *control) mayAcquire(run *cellRun, now time.Time) bool {
	if run.owned {
		return run.lease != c.registration.lease
	}
	if c.yields(run, now) {
		return false
	}
	ids := make([]string, 0, c.members.Len())
	for id := range c.members.All {
		ids = append(ids, id)
	}
	if rendezvous.Preferred("cell/"+strconv.Itoa(run.id), ids) == c.self.ID {
		return true
	}
	return now.Sub(run.free) > othersWait
}

// yields reports whether run should be left to its latest owner, which lost
// its registration but is heard of: it knows how long each lease lasts, and a
// new owner would have to wait out the outage hold for lost workers.
func (c *control) yields(run *cellRun, now time.Time) bool {
	o := c.lapsed.Get(run.id)
	if o == nil || o.Entry == c.self.ID || now.Sub(run.free) > yieldLimit {
		return false
	}
	m := c.peering.mirrors[o.Entry]
	return m != nil && clock.Elapsed(m.answered, now) < yieldHeard
}

func (c *control) acquire(ctx context.Context, run *cellRun) {
	owner := coreplatform.Owner{Entry: c.self.ID, Instance: c.instance, Address: c.self.Address.String()}
	next := &cellRun{id: run.id, lease: c.registration.lease}
	next.journal = platform.NewJournal[worker.Record, worker.Snapshot](c.store, run.id, coreplatform.JournalSlots)
	timings := c.timings()
	build := func() *worker.Driver {
		return worker.NewDriver(worker.NewCell(run.id, timings), owner.Entry, uuid.NewString)
	}
	c.start(ctx, func(ctx context.Context) message {
		epoch, err := platform.ClaimOwnership(ctx, c.store, run.id, owner, next.lease)
		if err == nil {
			next.driver, err = platform.OpenCell(ctx, next.journal, epoch, build, time.Now)
		}
		return acquired{run, next, err}
	})
}

func (m acquired) handle(c *control, now time.Time) {
	c.noteStore(m.err, now)
	m.run.acquiring = false
	if !c.current(m.run) {
		return
	}
	if m.err != nil {
		m.run.retry = now.Add(acquireRetry)
		return
	}
	if m.run.owned {
		m.next.driver.Cell.InheritLeaseBounds(m.run.driver.Cell)
		c.stepDown(m.run, status.ErrLeaseExpired.Code())
	}
	c.cells.Delete(m.run.id)
	run := c.cells.Put(m.run.id, *m.next)
	run.owned = true
	c.configureCell(run.driver.Cell, now)
	c.introduceWorkers(run)
	event.CellAcquired.Emit(c.log, event.Cell(run.id), event.Epoch(run.driver.Cell.Epoch()),
		event.Sequence(run.journal.NextSeq()))
}

// introduceWorkers tells a new cell of the workers that are known.
func (c *control) introduceWorkers(run *cellRun) {
	for id, w := range c.notices.All {
		if peer.CellOfWorker(id, c.config.Document.Cells) == run.id {
			run.driver.Cell.RegisterWorker(id, w.notice.Zone, w.notice.Rack, w.notice.Address, w.made)
		}
	}
}

// stepDown gives a cell up; its workers run on until a new owner appears.
func (c *control) stepDown(run *cellRun, reason status.Code) {
	if run.owned {
		event.CellReleased.Emit(c.log, event.Cell(run.id),
			event.Epoch(run.driver.Cell.Epoch()), event.Reason(reason))
		run.driver.Close(status.RetryIn(status.ErrNotOwner, acquireRetry))
	}
	c.cells.Delete(run.id)
}

// closeCells answers all who wait for a cell, once the registration is gone.
func (c *control) closeCells() {
	for _, run := range c.cells.All {
		if run.owned {
			run.driver.Close(status.RetryIn(status.ErrNotOwner, acquireRetry))
		}
	}
}
