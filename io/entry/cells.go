package entry

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
)

// appendResult is the result of an append to the journal of a cell.
type appendResult struct {
	local *localCell
	err   error
}

// snapshotResult is the result of writing a snapshot of a cell.
type snapshotResult struct {
	local *localCell
	err   error
}

// leaseResult is a worker's response to a Lease message, or the error of sending it.
type leaseResult struct {
	local  *localCell
	cmd    worker.Command
	report *worker.Report
	err    error
}

// announcementRetention is how long a worker's announcement is kept for cells that
// this entry may acquire later.
const announcementRetention = time.Minute

// removeStaleAnnouncements removes announcements that are older than
// announcementRetention.
func (c *control) removeStaleAnnouncements(now time.Time) {
	var stale []string
	for id, w := range c.announcedWorkers.All {
		if now.Sub(w.announcedAt) > announcementRetention {
			stale = append(stale, id)
		}
	}
	for _, id := range stale {
		c.announcedWorkers.Delete(id)
	}
}

func (c *control) tickCells(ctx context.Context, now time.Time) {
	c.removeStaleAnnouncements(now)
	for _, local := range c.cells.All {
		if local.owned {
			c.tickCell(ctx, local, now)
		}
	}
}

// exchangeLocalQuotas passes the quota transfers and requests of the other cells
// that this entry owns to the cell local.
func (c *control) exchangeLocalQuotas(local *localCell) {
	for _, other := range c.cells.All {
		if other != local && other.owned {
			local.driver.Cell.ReceiveQuotaUpdates(other.driver.Cell.QuotaTransfers(), other.driver.Cell.QuotaRequests())
		}
	}
}

func (c *control) tickCell(ctx context.Context, local *localCell, now time.Time) {
	c.exchangeLocalQuotas(local)
	if local.driver.Cell.NeedsVerification() {
		c.registration.expedite(now)
	}
	if local.driver.IsWriting() {
		// The write in progress uses the journal, which only one goroutine may use at a time.
		c.sendCommands(ctx, local, local.driver.Tick(now, worker.JournalSpace{}).Commands)
		return
	}
	result := local.driver.Tick(now, worker.JournalSpace{SnapshotDue: local.journal.SnapshotDue(), Full: local.journal.Full()})
	switch {
	case result.Append != nil:
		c.start(ctx, func(ctx context.Context) message {
			return appendResult{local, local.journal.Append(ctx, *result.Append)}
		})
	case result.Snapshot != nil:
		epoch := local.driver.Cell.Epoch()
		c.start(ctx, func(ctx context.Context) message {
			return snapshotResult{local, local.journal.WriteSnapshot(ctx, epoch, *result.Snapshot)}
		})
	}
	c.sendCommands(ctx, local, result.Commands)
}

func (c *control) sendCommands(ctx context.Context, local *localCell, cmds []worker.Command) {
	for _, cmd := range cmds {
		c.start(ctx, func(ctx context.Context) message {
			r, err := c.workers.Send(ctx, cmd)
			return leaseResult{local, cmd, r, err}
		})
	}
}

// hasPendingAppend reports whether a journal write is in progress for any cell that
// this entry owns.
func (c *control) hasPendingAppend() bool {
	for _, local := range c.cells.All {
		if local.owned && local.driver.IsWriting() {
			return true
		}
	}
	return false
}

// isCurrent reports whether local is still in the table of cells. It isn't after the
// cell was released or acquired again.
func (c *control) isCurrent(local *localCell) bool { return c.cells.Get(local.id) == local }

func (m appendResult) handle(c *control, now time.Time) {
	c.recordStoreResult(m.err, now)
	if !c.isCurrent(m.local) {
		return
	}
	durable, deposed := m.local.driver.HandleAppendResult(m.err)
	if deposed {
		c.releaseCell(m.local, status.ErrNotOwner.Code())
		return
	}
	c.logLostWorkers(m.local, durable)
	for _, r := range durable {
		c.logRecord(m.local, r)
		if level, ok := m.local.driver.Cell.Probation(r); ok {
			event.WorkerOnProbation.Emit(c.log, event.Worker(r.Worker),
				event.Cell(m.local.id), event.Level(level))
		}
	}
}

func (m snapshotResult) handle(c *control, now time.Time) {
	m.local.driver.HandleSnapshotResult(m.err)
	c.recordStoreResult(m.err, now)
}

// logLostWorkers logs each worker whose lease expired while it had tasks, at most
// once per batch of records.
func (c *control) logLostWorkers(local *localCell, rs []worker.Record) {
	logged := make(map[string]bool)
	for _, r := range rs {
		if r.Reason == worker.ReasonLeaseLapsed && !logged[r.Worker] {
			logged[r.Worker] = true
			event.WorkerLost.Emit(c.log, event.Worker(r.Worker), event.Cell(local.id))
		}
	}
}

func (c *control) logRecord(local *localCell, r worker.Record) {
	switch r.Kind {
	case worker.KindSubmitted:
		event.JobAccepted.Emit(c.log, event.Job(r.Job.ID), event.Cell(local.id))
	case worker.KindStarted:
		event.TaskPlaced.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(local.id))
	case worker.KindFinished:
		event.TaskFinished.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(local.id))
	case worker.KindInterrupted, worker.KindFailed:
		event.TaskInterrupted.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(local.id), event.Reason(r.Reason))
	case worker.KindParked:
		event.JobParked.Emit(c.log, event.Job(r.ID), event.Cell(local.id), event.Reason(r.Reason))
	case worker.KindUnparked:
		event.JobUnparked.Emit(c.log, event.Job(r.ID), event.Cell(local.id))
	case worker.KindCancelled:
		event.JobCancelled.Emit(c.log, event.Job(r.ID), event.Cell(local.id))
	case worker.KindLent:
		event.QuotaLent.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(local.id), event.Other(r.Transfer.To))
	case worker.KindBorrowed:
		event.QuotaBorrowed.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(local.id), event.Other(r.Transfer.From))
	}
}

func (m leaseResult) handle(c *control, now time.Time) {
	deposed := m.local.driver.HandleLeaseResult(m.cmd, m.report, m.err, now)
	if deposed && c.isCurrent(m.local) {
		c.releaseCell(m.local, status.ErrStaleEpoch.Code())
	}
}
