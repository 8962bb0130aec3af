package entry

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
)

// appended is the result of a journal write.
type appended struct {
	run *cellRun
	err error
}

// snapshotted is the result of writing a snapshot.
type snapshotted struct {
	run *cellRun
	err error
}

// answered is a worker's answer to a command.
type answered struct {
	run    *cellRun
	cmd    worker.Command
	report *worker.Report
	err    error
}

// noticeKept is how long a worker's announcement is kept for cells that this
// entry may come to own.
const noticeKept = time.Minute

// forgetNotices drops the announcements of workers that have gone silent.
func (c *control) forgetNotices(now time.Time) {
	var gone []string
	for id, w := range c.notices.All {
		if now.Sub(w.made) > noticeKept {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		c.notices.Delete(id)
	}
}

func (c *control) tickCells(ctx context.Context, now time.Time) {
	c.forgetNotices(now)
	for _, run := range c.cells.All {
		if run.owned {
			c.tickCell(ctx, run, now)
		}
	}
}

// shareQuotas passes quota between the cells that this entry owns.
func (c *control) shareQuotas(run *cellRun) {
	for _, other := range c.cells.All {
		if other != run && other.owned {
			run.driver.Cell.ReceiveQuotaUpdates(other.driver.Cell.QuotaTransfers(), other.driver.Cell.QuotaRequests())
		}
	}
}

func (c *control) tickCell(ctx context.Context, run *cellRun, now time.Time) {
	c.shareQuotas(run)
	if run.driver.Cell.NeedsVerification() {
		c.registration.dueBy(now)
	}
	if run.driver.IsWriting() {
		// The journal belongs to the write under way.
		c.sendCommands(ctx, run, run.driver.Tick(now, worker.JournalSpace{}).Commands)
		return
	}
	w := run.driver.Tick(now, worker.JournalSpace{SnapshotDue: run.journal.SnapshotDue(), Full: run.journal.Full()})
	switch {
	case w.Append != nil:
		c.start(ctx, func(ctx context.Context) message {
			return appended{run, run.journal.Append(ctx, *w.Append)}
		})
	case w.Snapshot != nil:
		epoch := run.driver.Cell.Epoch()
		c.start(ctx, func(ctx context.Context) message {
			return snapshotted{run, run.journal.WriteSnapshot(ctx, epoch, *w.Snapshot)}
		})
	}
	c.sendCommands(ctx, run, w.Commands)
}

func (c *control) sendCommands(ctx context.Context, run *cellRun, cmds []worker.Command) {
	for _, cmd := range cmds {
		c.start(ctx, func(ctx context.Context) message {
			r, err := c.workers.Send(ctx, cmd)
			return answered{run, cmd, r, err}
		})
	}
}

// appending reports whether a journal write is under way.
func (c *control) appending() bool {
	for _, run := range c.cells.All {
		if run.owned && run.driver.IsWriting() {
			return true
		}
	}
	return false
}

// current reports whether run is still the one that this entry owns.
func (c *control) current(run *cellRun) bool { return c.cells.Get(run.id) == run }

func (m appended) handle(c *control, now time.Time) {
	c.noteStore(m.err, now)
	if !c.current(m.run) {
		return
	}
	durable, deposed := m.run.driver.HandleAppendResult(m.err)
	if deposed {
		c.stepDown(m.run, status.ErrNotOwner.Code())
		return
	}
	c.logLost(m.run, durable)
	for _, r := range durable {
		c.logRecord(m.run, r)
		if level, ok := m.run.driver.Cell.Probation(r); ok {
			event.WorkerOnProbation.Emit(c.log, event.Worker(r.Worker),
				event.Cell(m.run.id), event.Level(level))
		}
	}
}

func (m snapshotted) handle(c *control, now time.Time) {
	m.run.driver.HandleSnapshotResult(m.err)
	c.noteStore(m.err, now)
}

// logLost logs each worker whose lease ended under tasks, once for a batch.
func (c *control) logLost(run *cellRun, rs []worker.Record) {
	logged := make(map[string]bool)
	for _, r := range rs {
		if r.Reason == worker.ReasonLeaseLapsed && !logged[r.Worker] {
			logged[r.Worker] = true
			event.WorkerLost.Emit(c.log, event.Worker(r.Worker), event.Cell(run.id))
		}
	}
}

func (c *control) logRecord(run *cellRun, r worker.Record) {
	switch r.Kind {
	case worker.KindSubmitted:
		event.JobAccepted.Emit(c.log, event.Job(r.Job.ID), event.Cell(run.id))
	case worker.KindStarted:
		event.TaskPlaced.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(run.id))
	case worker.KindFinished:
		event.TaskFinished.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(run.id))
	case worker.KindInterrupted, worker.KindFailed:
		event.TaskInterrupted.Emit(c.log, event.Job(r.ID), event.Attempt(r.Attempt),
			event.Worker(r.Worker), event.Cell(run.id), event.Reason(r.Reason))
	case worker.KindParked:
		event.JobParked.Emit(c.log, event.Job(r.ID), event.Cell(run.id), event.Reason(r.Reason))
	case worker.KindUnparked:
		event.JobUnparked.Emit(c.log, event.Job(r.ID), event.Cell(run.id))
	case worker.KindCancelled:
		event.JobCancelled.Emit(c.log, event.Job(r.ID), event.Cell(run.id))
	case worker.KindLent:
		event.QuotaLent.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(run.id), event.Other(r.Transfer.To))
	case worker.KindBorrowed:
		event.QuotaBorrowed.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(run.id), event.Other(r.Transfer.From))
	}
}

func (m answered) handle(c *control, now time.Time) {
	deposed := m.run.driver.HandleLeaseResult(m.cmd, m.report, m.err, now)
	if deposed && c.current(m.run) {
		c.stepDown(m.run, status.ErrStaleEpoch.Code())
	}
}
