package entry

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// appendRetry is the delay before a journal write of unknown outcome is tried
// again.
const appendRetry = 200 * time.Millisecond

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

func (c *control) tickCells(ctx context.Context, now time.Time) {
	for _, run := range c.cells.All {
		if !run.owned {
			continue
		}
		c.shareQuotas(run)
		c.tickJournal(ctx, run, now)
		for _, cmd := range run.cell.Commands(now, run.sending) {
			c.sendCommand(ctx, run, cmd)
		}
	}
}

// shareQuotas passes quota between the cells that this entry owns.
func (c *control) shareQuotas(run *cellRun) {
	for _, other := range c.cells.All {
		if other != run && other.owned {
			run.cell.Hear(other.cell.Transfers(), other.cell.Wants())
		}
	}
}

// tickJournal makes the decisions of this tick durable in one write.
func (c *control) tickJournal(ctx context.Context, run *cellRun, now time.Time) {
	if run.busy || c.stopping {
		return
	}
	if run.planned != nil {
		c.append(ctx, run)
		return
	}
	if run.journal.SnapshotDue() {
		c.snapshot(ctx, run)
		return
	}
	rs := run.cell.Plan(now)
	if len(rs) == 0 {
		return
	}
	run.planned = rs
	run.batch = batch{Epoch: run.cell.Epoch(), Owner: c.self.ID, Nonce: uuid.NewString(), Records: rs}
	c.append(ctx, run)
}

func (c *control) append(ctx context.Context, run *cellRun) {
	run.busy = true
	c.start(ctx, func(ctx context.Context) message {
		err := run.journal.Append(ctx, run.batch)
		if errors.Is(err, status.ErrStoreUnavailable) {
			sleep(ctx, appendRetry)
		}
		return appended{run, err}
	})
}

func (c *control) snapshot(ctx context.Context, run *cellRun) {
	run.busy = true
	state, epoch := run.cell.Save(), run.cell.Epoch()
	c.start(ctx, func(ctx context.Context) message {
		return snapshotted{run, run.journal.WriteSnapshot(ctx, epoch, state)}
	})
}

func (c *control) appending() bool {
	for _, run := range c.cells.All {
		if run.busy {
			return true
		}
	}
	return false
}

// current reports whether run is still the one that this entry owns.
func (c *control) current(run *cellRun) bool { return c.cells.Get(run.id) == run }

func (m appended) handle(c *control, now time.Time) {
	m.run.busy = false
	c.noteStore(m.err, now)
	if !c.current(m.run) {
		return
	}
	switch {
	case m.err == nil:
		c.committed(m.run, now)
	case errors.Is(m.err, status.ErrStoreConflict):
		c.stepDown(m.run, status.ErrNotOwner.Code())
	}
}

func (m snapshotted) handle(c *control, now time.Time) {
	m.run.busy = false
	c.noteStore(m.err, now)
}

// committed applies what is now durable and answers those who wait for it.
func (c *control) committed(run *cellRun, now time.Time) {
	rs := run.planned
	run.planned = nil
	run.cell.Committed(rs, now)
	c.logLost(run, rs)
	for _, r := range rs {
		c.logRecord(run, r)
		id := r.ID
		if r.Job != nil {
			id = r.Job.ID
		}
		for _, w := range run.waiting[id] {
			w <- nil
		}
		delete(run.waiting, id)
	}
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
	case worker.KindCancelled:
		event.JobCancelled.Emit(c.log, event.Job(r.ID), event.Cell(run.id))
	case worker.KindLent:
		event.QuotaLent.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(run.id), event.Other(r.Transfer.To))
	case worker.KindBorrowed:
		event.QuotaBorrowed.Emit(c.log, event.Team(r.Transfer.Team), event.Cell(run.id), event.Other(r.Transfer.From))
	}
}

func (c *control) sendCommand(ctx context.Context, run *cellRun, cmd worker.Command) {
	run.sending[cmd.Worker] = true
	c.start(ctx, func(ctx context.Context) message {
		r, err := c.workers.Send(ctx, cmd)
		return answered{run, cmd, r, err}
	})
}

func (m answered) handle(c *control, now time.Time) {
	delete(m.run.sending, m.cmd.Worker)
	if !c.current(m.run) {
		return
	}
	if errors.Is(m.err, status.ErrStaleEpoch) {
		c.stepDown(m.run, status.ErrStaleEpoch.Code())
		return
	}
	if m.err == nil {
		m.run.cell.Receive(m.cmd, m.report, now)
	}
}
