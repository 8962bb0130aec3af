package worker

import (
	"errors"
	"time"

	"rosemarygap/core/platform"
	"rosemarygap/core/status"
)

// Batch is one journal entry of a cell.
type Batch = platform.RecordBatch[Record]

// Reply receives the answer to a proposal, once.
type Reply func(error)

// Ring tells a Driver how much room the journal has.
type JournalSpace struct {
	// Due is true once a snapshot should be written.
	SnapshotDue bool
	// Full is true if the next append would overwrite what no snapshot has.
	Full bool
}

// Work is what a Driver wants done after a tick. At most one of Append and
// Snapshot is set, and then nothing more until its result was handed back.
type TickResult struct {
	Append   *Batch
	Snapshot *Snapshot
	Commands []Command
}

// Driver runs one ownership of a cell: one journal write at a time, and the
// lease messages in between.
//
// Invariant: a decision is applied, answered and acted on only after the
// write that holds it succeeded. A write of unknown outcome is repeated
// unchanged until it succeeds or another owner is found in its place.
type Driver struct {
	Cell *Cell

	owner string
	nonce func() string
	busy  bool
	// postponed is true after a snapshot failed, until the next append.
	postponed bool
	planned   []Record
	batch     *Batch
	waiting   map[string][]Reply
	sending   map[string]bool
}

// NewDriver returns a driver of c for the named owner. Nonce returns a new
// value that no other batch has.
func NewDriver(c *Cell, owner string, nonce func() string) *Driver {
	return &Driver{
		Cell:    c,
		owner:   owner,
		nonce:   nonce,
		waiting: make(map[string][]Reply),
		sending: make(map[string]bool),
	}
}

// Opening returns the batch that opens an epoch on the loaded state, and
// applies it: it counts once it is durable, or the driver is dropped.
func (d *Driver) OpeningBatch(epoch int64, now time.Time) Batch {
	r := d.Cell.OpeningRecord(now)
	r.Epoch = epoch
	d.Cell.prior = d.Cell.newest
	d.Cell.Apply(r)
	return Batch{Epoch: epoch, Owner: d.owner, Nonce: d.nonce(), Records: []Record{r}}
}

// Busy reports whether a journal write is under way.
func (d *Driver) IsWriting() bool { return d.busy }

// Tick returns the work that is due at now.
func (d *Driver) Tick(now time.Time, r JournalSpace) TickResult {
	var w TickResult
	if !d.busy {
		d.write(&w, now, r)
	}
	w.Commands = d.Cell.Commands(now, d.sending)
	for _, cmd := range w.Commands {
		d.sending[cmd.Worker] = true
	}
	return w
}

// write chooses the journal write of this tick.
func (d *Driver) write(w *TickResult, now time.Time, r JournalSpace) {
	switch {
	case d.batch != nil:
		w.Append = d.batch
	case r.Full || r.SnapshotDue && !d.postponed:
		s := d.Cell.Snapshot()
		w.Snapshot = &s
	default:
		d.nextBatch(now)
		w.Append = d.batch
	}
	d.busy = w.Append != nil || w.Snapshot != nil
}

// nextBatch takes what fits into one value from the planned records.
func (d *Driver) nextBatch(now time.Time) {
	if len(d.planned) == 0 {
		d.Cell.RemoveStaleWorkers(now)
		d.planned = d.Cell.Plan(now)
	}
	if len(d.planned) == 0 {
		return
	}
	n := fitting(d.planned)
	d.batch = &Batch{Epoch: d.Cell.Epoch(), Owner: d.owner, Nonce: d.nonce(), Records: d.planned[:n]}
	d.planned = d.planned[n:]
}

// fitting returns how many records one journal entry holds.
func fitting(rs []Record) int {
	size := 0
	for i := range rs {
		size += jsonSize(rs[i]) + 1
		if size > platform.MaxRecordsBytes && i > 0 {
			return i
		}
	}
	return len(rs)
}

// Appended takes in the result of an append. It returns the records that are
// now durable, and whether another owner has taken the cell.
func (d *Driver) HandleAppendResult(err error) (durable []Record, deposed bool) {
	d.busy = false
	switch {
	case err == nil:
		durable = d.batch.Records
		d.batch = nil
		d.postponed = false
		d.Cell.ApplyCommitted(durable)
		d.answer(durable)
	case errors.Is(err, status.ErrStoreConflict):
		return nil, true
	default:
		d.fail(status.RetryIn(status.ErrStoreUnavailable, retryBase))
	}
	return durable, false
}

// Snapshotted takes in the result of a snapshot's write. A failed one is
// tried again after the next append, and at once when the journal is full.
func (d *Driver) HandleSnapshotResult(err error) {
	d.busy = false
	d.postponed = err != nil
}

func (d *Driver) answer(rs []Record) {
	for _, r := range rs {
		id := r.ID
		switch r.Kind {
		case KindSubmitted:
			id = r.Job.ID
		case KindCancelling:
		default:
			continue
		}
		for _, reply := range d.waiting[id+string(r.Kind)] {
			reply(nil)
		}
		delete(d.waiting, id+string(r.Kind))
	}
}

// fail answers all who wait with err. What they proposed may still become
// durable; a repeated proposal is answered then.
func (d *Driver) fail(err error) {
	for id, replies := range d.waiting {
		for _, reply := range replies {
			reply(err)
		}
		delete(d.waiting, id)
	}
}

// Close ends the ownership: all who wait are answered with err.
func (d *Driver) Close(err error) { d.fail(err) }

// Submit proposes a job; reply gets nil once it is durable.
func (d *Driver) Submit(j Job, now time.Time, reply Reply) {
	durable, err := d.Cell.Submit(j, now)
	d.await(j.ID+string(KindSubmitted), durable, err, reply)
}

// Cancel proposes a cancellation; reply gets nil once it is durable.
func (d *Driver) Cancel(id string, now time.Time, reply Reply) {
	durable, err := d.Cell.Cancel(id, now)
	d.await(id+string(KindCancelling), durable, err, reply)
}

func (d *Driver) await(key string, durable bool, err error, reply Reply) {
	if err != nil || durable {
		reply(err)
		return
	}
	d.waiting[key] = append(d.waiting[key], reply)
}

// Answered takes in a worker's answer, and reports whether the worker knows
// of a later owner.
func (d *Driver) HandleLeaseResult(cmd Command, r *Report, err error, now time.Time) (deposed bool) {
	delete(d.sending, cmd.Worker)
	if err == nil {
		d.Cell.Receive(cmd, r, now)
	} else {
		d.Cell.NoteUnanswered(cmd.Worker)
	}
	return errors.Is(err, status.ErrStaleEpoch)
}
