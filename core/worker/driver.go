package worker

import (
	"errors"
	"time"

	"rosemarygap/core/platform"
	"rosemarygap/core/status"
)

// Batch is one journal entry of a cell.
type Batch = platform.RecordBatch[Record]

// Reply is called exactly once with the result of a proposal.
type Reply func(error)

// JournalSpace tells a Driver how much space is left in the journal.
type JournalSpace struct {
	// SnapshotDue is true once a snapshot should be written.
	SnapshotDue bool
	// Full is true if the next append would overwrite records that no
	// snapshot covers.
	Full bool
}

// TickResult is the I/O that the caller of Driver.Tick must perform. At most one
// of Append and Snapshot is set, and neither is set again until the result of
// that write was passed back to the Driver.
type TickResult struct {
	Append   *Batch
	Snapshot *Snapshot
	Commands []Command
}

// Driver runs one ownership of a cell. It has at most one journal write in
// progress, and sends Lease messages independently of it.
//
// Invariant: a decision is applied, answered and acted on only after the journal
// write that contains it succeeded. A write with an unknown outcome is repeated
// unchanged until it succeeds or conflicts with a write of another owner.
type Driver struct {
	Cell *Cell

	owner string
	nonce func() string
	// writing is true while a journal write is in progress.
	writing bool
	// snapshotPostponed is true from a failed write of a snapshot until the
	// next successful append.
	snapshotPostponed bool
	// plannedRecords are not in a batch yet. batch is the one whose write is in
	// progress or must be repeated, or nil.
	plannedRecords []Record
	batch          *Batch
	// replies contains the replies to waiting proposals. The key is the id of
	// the job followed by the Kind of the record that the proposal waits for.
	replies map[string][]Reply
	// inFlight contains the workers whose response to a Lease message is
	// outstanding.
	inFlight map[string]bool
}

// NewDriver returns a driver of c for the given owner. The function nonce
// returns a value that is unique to each batch.
func NewDriver(c *Cell, owner string, nonce func() string) *Driver {
	return &Driver{
		Cell:     c,
		owner:    owner,
		nonce:    nonce,
		replies:  make(map[string][]Reply),
		inFlight: make(map[string]bool),
	}
}

// OpeningBatch returns the batch that opens an epoch on the loaded state, and
// applies it. If the batch does not become durable, the caller must discard the
// driver.
func (d *Driver) OpeningBatch(epoch int64, now time.Time) Batch {
	r := d.Cell.OpeningRecord(now)
	r.Epoch = epoch
	d.Cell.precedingEpoch = d.Cell.newestEpoch
	d.Cell.Apply(r)
	return Batch{Epoch: epoch, Owner: d.owner, Nonce: d.nonce(), Records: []Record{r}}
}

// IsWriting reports whether a journal write is in progress.
func (d *Driver) IsWriting() bool { return d.writing }

// Tick returns the I/O that is due at now.
func (d *Driver) Tick(now time.Time, space JournalSpace) TickResult {
	var result TickResult
	if !d.writing {
		d.chooseWrite(&result, now, space)
	}
	result.Commands = d.Cell.Commands(now, d.inFlight)
	for _, cmd := range result.Commands {
		d.inFlight[cmd.Worker] = true
	}
	return result
}

// chooseWrite sets the journal write of this tick, if any, in result.
func (d *Driver) chooseWrite(result *TickResult, now time.Time, space JournalSpace) {
	switch {
	case d.batch != nil:
		result.Append = d.batch
	case space.Full || space.SnapshotDue && !d.snapshotPostponed:
		s := d.Cell.Snapshot()
		result.Snapshot = &s
	default:
		d.nextBatch(now)
		result.Append = d.batch
	}
	d.writing = result.Append != nil || result.Snapshot != nil
}

// nextBatch moves as many planned records as one journal entry holds into a
// new batch. It plans new records if there are none.
func (d *Driver) nextBatch(now time.Time) {
	if len(d.plannedRecords) == 0 {
		d.Cell.RemoveStaleWorkers(now)
		d.plannedRecords = d.Cell.Plan(now)
	}
	if len(d.plannedRecords) == 0 {
		return
	}
	n := recordsThatFit(d.plannedRecords)
	d.batch = &Batch{Epoch: d.Cell.Epoch(), Owner: d.owner, Nonce: d.nonce(), Records: d.plannedRecords[:n]}
	d.plannedRecords = d.plannedRecords[n:]
}

// recordsThatFit returns the length of the longest prefix of rs that fits into
// one journal entry. It returns at least 1 if there are records.
func recordsThatFit(rs []Record) int {
	size := 0
	for i := range rs {
		size += jsonSize(rs[i]) + 1
		if size > platform.MaxRecordsBytes && i > 0 {
			return i
		}
	}
	return len(rs)
}

// HandleAppendResult processes the result of an append. It returns the records
// that are now durable, and whether another owner has taken over the cell.
func (d *Driver) HandleAppendResult(err error) (durable []Record, deposed bool) {
	d.writing = false
	switch {
	case err == nil:
		durable = d.batch.Records
		d.batch = nil
		d.snapshotPostponed = false
		d.Cell.ApplyCommitted(durable)
		d.answerDurable(durable)
	case errors.Is(err, status.ErrStoreConflict):
		return nil, true
	default:
		d.failReplies(status.RetryIn(status.ErrStoreUnavailable, minRetryDelay))
	}
	return durable, false
}

// HandleSnapshotResult processes the result of writing a snapshot. A failed
// write is retried after the next append, or at once when the journal is full.
func (d *Driver) HandleSnapshotResult(err error) {
	d.writing = false
	d.snapshotPostponed = err != nil
}

func (d *Driver) answerDurable(rs []Record) {
	for _, r := range rs {
		id := r.ID
		switch r.Kind {
		case KindSubmitted:
			id = r.Job.ID
		case KindCancelling:
		default:
			continue
		}
		for _, reply := range d.replies[id+string(r.Kind)] {
			reply(nil)
		}
		delete(d.replies, id+string(r.Kind))
	}
}

// failReplies answers all waiting proposals with err. A proposal may still
// become durable afterwards; repeating it then returns success.
func (d *Driver) failReplies(err error) {
	for id, replies := range d.replies {
		for _, reply := range replies {
			reply(err)
		}
		delete(d.replies, id)
	}
}

// Close ends the ownership and answers all waiting proposals with err.
func (d *Driver) Close(err error) { d.failReplies(err) }

// Submit proposes a job; reply is called with nil once the job is durable.
func (d *Driver) Submit(j Job, now time.Time, reply Reply) {
	durable, err := d.Cell.Submit(j, now)
	d.replyWhenDurable(j.ID+string(KindSubmitted), durable, err, reply)
}

// Cancel proposes a cancellation; reply is called with nil once the
// cancellation is durable.
func (d *Driver) Cancel(id string, now time.Time, reply Reply) {
	durable, err := d.Cell.Cancel(id, now)
	d.replyWhenDurable(id+string(KindCancelling), durable, err, reply)
}

func (d *Driver) replyWhenDurable(key string, durable bool, err error, reply Reply) {
	if err != nil || durable {
		reply(err)
		return
	}
	d.replies[key] = append(d.replies[key], reply)
}

// HandleLeaseResult processes the response or the failure of a Lease message. It
// reports whether the worker knows of a later owner.
func (d *Driver) HandleLeaseResult(cmd Command, r *Report, err error, now time.Time) (deposed bool) {
	delete(d.inFlight, cmd.Worker)
	if err == nil {
		d.Cell.Receive(cmd, r, now)
	} else {
		d.Cell.NoteUnanswered(cmd.Worker)
	}
	return errors.Is(err, status.ErrStaleEpoch)
}
