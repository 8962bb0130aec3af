package platform

import (
	"context"
	"encoding/json"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// State is what a journal takes snapshots of. Split divides it into parts of
// about limit bytes at most.
type Splitter[S any] interface {
	Split(limit int) []S
}

// Journal is the log of one cell, kept in a fixed ring of keys.
//
// Invariant: a slot is written only on the revision that its writer has read,
// so an append that was delayed past its slot's reuse fails. A Journal belongs
// to one goroutine at a time.
type Journal[R any, S Splitter[S]] struct {
	store Store
	cell  int
	slots []slot
	// snapshot is the revision of the snapshot's key, snapSeq its sequence
	// number, and parts its further keys.
	snapshot int64
	snapSeq  int64
	parts    []string
	// garbage are keys of parts that no snapshot needs once the next one
	// is in force.
	garbage []string
	next    int64
}

// slot is what is known of one key of the ring.
type slot struct {
	known    bool
	revision int64
}

// NewJournal returns the journal of a cell in a ring of as many keys; Read
// comes first. All owners of a cell use the same number.
func NewJournal[R any, S Splitter[S]](s Store, cell, slots int) *Journal[R, S] {
	return &Journal[R, S]{store: s, cell: cell, slots: make([]slot, slots)}
}

func (j *Journal[R, S]) slotOf(seq int64) int64 { return seq % int64(len(j.slots)) }

// Next returns the sequence number of the next batch.
func (j *Journal[R, S]) NextSeq() int64 { return j.next }

// Contents is what a journal holds.
type JournalContents[R, S any] struct {
	// State holds the parts of the snapshot.
	SnapshotParts []S
	Batches       []core.RecordBatch[R]
}

// readTries bounds how often another owner's writes may interfere.
const readTries = 5

// Read returns the snapshot and the batches that follow it.
func (j *Journal[R, S]) Read(ctx context.Context) (JournalContents[R, S], error) {
	for range readTries {
		out, err := j.readOnce(ctx)
		if !errors.Is(err, status.ErrStoreConflict) {
			return out, err
		}
	}
	return JournalContents[R, S]{}, status.ErrStoreConflict
}

func (j *Journal[R, S]) readOnce(ctx context.Context) (JournalContents[R, S], error) {
	var out JournalContents[R, S]
	first, err := j.readHead(ctx)
	if err != nil {
		return out, err
	}
	out.SnapshotParts = []S{first.State}
	for _, key := range first.PartKeys {
		var part S
		if err := getJSON(ctx, j.store, key, &part); err != nil {
			return out, replaced(err)
		}
		out.SnapshotParts = append(out.SnapshotParts, part)
	}
	out.Batches, err = j.readLog(ctx)
	return out, err
}

// replaced maps a part that is gone to a conflict: a later snapshot is in
// force.
func replaced(err error) error {
	if errors.Is(err, status.ErrNotFound) {
		return status.ErrStoreConflict
	}
	return err
}

func getJSON(ctx context.Context, s Store, key string, v any) error {
	e, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(e.Value, v), "decode value")
}

func (j *Journal[R, S]) readHead(ctx context.Context) (core.Snapshot[S], error) {
	var s core.Snapshot[S]
	e, err := j.store.Get(ctx, core.SnapshotKey(j.cell))
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return s, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return s, errors.Wrap(err, "decode snapshot")
		}
	}
	j.snapshot, j.snapSeq, j.parts = e.Revision, s.Seq, s.PartKeys
	return s, nil
}

// readLog reads the batches that follow the snapshot, one key after another.
func (j *Journal[R, S]) readLog(ctx context.Context) ([]core.RecordBatch[R], error) {
	var out []core.RecordBatch[R]
	for j.next = j.snapSeq + 1; ; j.next++ {
		b, err := j.readSlot(ctx, j.slotOf(j.next))
		switch {
		case err != nil:
			return nil, err
		case b.Seq > j.next:
			return nil, status.ErrStoreConflict
		case b.Seq < j.next:
			return out, nil
		}
		out = append(out, b)
	}
}

// readSlot returns the batch in slot i, or one with sequence number 0.
func (j *Journal[R, S]) readSlot(ctx context.Context, i int64) (core.RecordBatch[R], error) {
	var b core.RecordBatch[R]
	e, err := j.store.Get(ctx, core.JournalSlotKey(j.cell, i))
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return b, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return b, errors.Wrap(err, "decode journal entry")
		}
	}
	j.slots[i] = slot{true, e.Revision}
	return b, nil
}

// Append makes b durable at the next sequence number. It returns
// status.ErrStoreConflict if another owner has written there, and
// status.ErrStoreUnavailable if the outcome is not known yet; the same batch
// may then be appended again.
func (j *Journal[R, S]) Append(ctx context.Context, b core.RecordBatch[R]) error {
	if j.Full() {
		return status.ErrStoreUnavailable
	}
	b.Seq = j.next
	v, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode journal entry")
	}
	i := j.slotOf(b.Seq)
	if !j.slots[i].known {
		if mine, err := j.look(ctx, i, b); err != nil || mine {
			return err
		}
	}
	rev, err := j.store.Put(ctx, Write{Key: core.JournalSlotKey(j.cell, i), Value: v, Expect: j.slots[i].revision})
	if errors.Is(err, status.ErrStoreConflict) {
		return j.settle(ctx, i, b)
	}
	if err != nil {
		return err
	}
	j.appended(slot{true, rev})
	return nil
}

func (j *Journal[R, S]) appended(s slot) {
	j.slots[j.slotOf(j.next)] = s
	j.next++
}

// look reads the slot that b is about to take. It reports whether b itself
// is there already, from an earlier try.
func (j *Journal[R, S]) look(ctx context.Context, i int64, b core.RecordBatch[R]) (mine bool, err error) {
	found, err := j.readSlot(ctx, i)
	switch {
	case err != nil:
		return false, err
	case found.Seq < b.Seq:
		return false, nil
	case found.Nonce != b.Nonce:
		return false, status.ErrStoreConflict
	}
	j.appended(j.slots[i])
	return true, nil
}

// settle finds out whether a write that conflicts is an earlier one of ours
// whose answer was lost.
func (j *Journal[R, S]) settle(ctx context.Context, i int64, b core.RecordBatch[R]) error {
	mine, err := j.look(ctx, i, b)
	if err == nil && !mine {
		return status.ErrStoreConflict
	}
	return err
}

// Open reads the journal and appends the batch that shuts out all earlier
// owners; build makes it from what was read.
func (j *Journal[R, S]) Open(ctx context.Context, build func(JournalContents[R, S]) core.RecordBatch[R]) (JournalContents[R, S], core.RecordBatch[R], error) {
	for range readTries {
		contents, err := j.Read(ctx)
		if err != nil {
			return contents, core.RecordBatch[R]{}, err
		}
		b := build(contents)
		err = j.Append(ctx, b)
		if !errors.Is(err, status.ErrStoreConflict) {
			return contents, b, err
		}
	}
	return JournalContents[R, S]{}, core.RecordBatch[R]{}, status.ErrStoreConflict
}

// SnapshotDue reports whether the ring needs a snapshot before it is reused.
func (j *Journal[R, S]) SnapshotDue() bool {
	return j.next-j.snapSeq > int64(len(j.slots)/2)
}

// Full reports whether the next append would overwrite a batch that no
// snapshot covers yet.
func (j *Journal[R, S]) Full() bool {
	return j.next-j.snapSeq > int64(len(j.slots))
}
