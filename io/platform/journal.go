package platform

import (
	"context"
	"encoding/json"
	"math"
	"strconv"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Splitter is the type of the state that the snapshots of a journal contain. Split
// divides the state into parts of at most about limit bytes each.
type Splitter[S any] interface {
	Split(limit int) []S
}

// Journal is the write-ahead log of one cell, stored in a ring of a fixed number
// of keys.
//
// Invariant: a write to a slot expects the revision of the slot that its writer
// has read, so an append that arrives after its slot was reused fails. A Journal
// must be used by one goroutine at a time.
type Journal[R any, S Splitter[S]] struct {
	store Store
	cell  int
	slots []slot
	// snapshotRevision is the revision of the current snapshot's key,
	// snapshotSeq the sequence number of the last batch that the snapshot
	// covers, and snapshotPartKeys the keys of its additional parts.
	snapshotRevision int64
	snapshotSeq      int64
	snapshotPartKeys []string
	// obsoleteKeys are keys of snapshot parts that are deleted once the next
	// snapshot is written.
	obsoleteKeys []string
	nextSeq      int64
}

// slot is the last known state of one key of the ring. The revision is valid only
// if known is true.
type slot struct {
	known    bool
	revision int64
}

// NewJournal returns the journal of a cell in a ring with the given number of
// slots, which must be the same for all owners of a cell. The caller must call
// Read or Open before any other method.
func NewJournal[R any, S Splitter[S]](s Store, cell, slots int) *Journal[R, S] {
	return &Journal[R, S]{store: s, cell: cell, slots: make([]slot, slots)}
}

func (j *Journal[R, S]) slotOf(seq int64) int64 { return seq % int64(len(j.slots)) }

// NextSeq returns the sequence number of the next batch.
func (j *Journal[R, S]) NextSeq() int64 { return j.nextSeq }

// JournalContents is the content of a journal.
type JournalContents[R, S any] struct {
	// SnapshotParts are the parts of the snapshot.
	SnapshotParts []S
	// Batches are the batches that follow the snapshot.
	Batches []core.RecordBatch[R]
}

// maxReadAttempts is the maximum number of attempts to read the journal while
// another owner writes to it.
const maxReadAttempts = 5

// Read returns the snapshot and the batches that follow it. It returns
// status.ErrStoreConflict if another owner changes the journal in each attempt.
func (j *Journal[R, S]) Read(ctx context.Context) (JournalContents[R, S], error) {
	for range maxReadAttempts {
		out, err := j.readOnce(ctx)
		if !errors.Is(err, status.ErrStoreConflict) {
			return out, err
		}
	}
	return JournalContents[R, S]{}, status.ErrStoreConflict
}

func (j *Journal[R, S]) readOnce(ctx context.Context) (JournalContents[R, S], error) {
	var out JournalContents[R, S]
	first, err := j.readSnapshotHead(ctx)
	if err != nil {
		return out, err
	}
	out.SnapshotParts = []S{first.State}
	for _, key := range first.PartKeys {
		var part S
		if err := getJSON(ctx, j.store, key, &part); err != nil {
			return out, missingToConflict(err)
		}
		out.SnapshotParts = append(out.SnapshotParts, part)
	}
	out.Batches, err = j.readBatches(ctx)
	return out, err
}

// missingToConflict returns status.ErrStoreConflict if err means that a snapshot
// part does not exist, because a later snapshot has then replaced the one that was
// read. It returns any other error unchanged.
func missingToConflict(err error) error {
	if errors.Is(err, status.ErrNotFound) {
		return status.ErrStoreConflict
	}
	return err
}

func getJSON(ctx context.Context, s Store, key string, v any) error {
	kv, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(kv.Value, v), "decode value")
}

// maxSeq is the highest sequence number that a journal reaches. Above it, the number of
// the next batch could overflow.
const maxSeq = math.MaxInt64 / 2

// readSnapshotHead reads the first part of the snapshot and updates the journal's
// fields about the snapshot.
func (j *Journal[R, S]) readSnapshotHead(ctx context.Context) (core.Snapshot[S], error) {
	var s core.Snapshot[S]
	kv, err := j.store.Get(ctx, core.SnapshotKey(j.cell))
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return s, err
	}
	if err == nil {
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			return s, errors.Wrap(err, "decode snapshot")
		}
		if s.Seq < 0 || s.Seq > maxSeq {
			return s, status.At(status.ErrOutOfRange, "snapshot.seq", strconv.FormatInt(s.Seq, 10))
		}
	}
	j.snapshotRevision, j.snapshotSeq, j.snapshotPartKeys = kv.Revision, s.Seq, s.PartKeys
	return s, nil
}

// readBatches reads the batches that follow the snapshot, one key at a time.
func (j *Journal[R, S]) readBatches(ctx context.Context) ([]core.RecordBatch[R], error) {
	var out []core.RecordBatch[R]
	for j.nextSeq = j.snapshotSeq + 1; ; j.nextSeq++ {
		b, err := j.readSlot(ctx, j.slotOf(j.nextSeq))
		switch {
		case err != nil:
			return nil, err
		case b.Seq > j.nextSeq:
			return nil, status.ErrStoreConflict
		case b.Seq < j.nextSeq:
			return out, nil
		}
		out = append(out, b)
	}
}

// readSlot returns the batch in slot i, or a batch with sequence number 0 if the
// slot is empty.
func (j *Journal[R, S]) readSlot(ctx context.Context, i int64) (core.RecordBatch[R], error) {
	var b core.RecordBatch[R]
	kv, err := j.store.Get(ctx, core.JournalSlotKey(j.cell, i))
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return b, err
	}
	if err == nil {
		if err := json.Unmarshal(kv.Value, &b); err != nil {
			return b, errors.Wrap(err, "decode journal entry")
		}
	}
	j.slots[i] = slot{true, kv.Revision}
	return b, nil
}

// Append writes b to the journal with the next sequence number. It returns
// status.ErrStoreConflict if another owner has written a batch with this number,
// and status.ErrStoreUnavailable if the outcome is unknown or the ring is full.
// After status.ErrStoreUnavailable the caller may append the same batch again.
func (j *Journal[R, S]) Append(ctx context.Context, b core.RecordBatch[R]) error {
	if j.Full() {
		return status.ErrStoreUnavailable
	}
	b.Seq = j.nextSeq
	v, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode journal entry")
	}
	i := j.slotOf(b.Seq)
	if !j.slots[i].known {
		if mine, err := j.checkSlot(ctx, i, b); err != nil || mine {
			return err
		}
	}
	rev, err := j.store.Put(ctx, Write{Key: core.JournalSlotKey(j.cell, i), Value: v, Expect: j.slots[i].revision})
	if errors.Is(err, status.ErrStoreConflict) {
		return j.resolveConflict(ctx, i, b)
	}
	if err != nil {
		return err
	}
	j.advance(slot{true, rev})
	return nil
}

// advance records the state of the slot of the next batch, which is durable now,
// and increments the sequence number.
func (j *Journal[R, S]) advance(s slot) {
	j.slots[j.slotOf(j.nextSeq)] = s
	j.nextSeq++
}

// checkSlot reads slot i, to which b is about to be written. It reports whether
// the slot already contains b from an earlier attempt, and returns
// status.ErrStoreConflict if the slot contains another owner's batch with the same
// or a higher sequence number.
func (j *Journal[R, S]) checkSlot(ctx context.Context, i int64, b core.RecordBatch[R]) (mine bool, err error) {
	found, err := j.readSlot(ctx, i)
	switch {
	case err != nil:
		return false, err
	case found.Seq < b.Seq:
		return false, nil
	case found.Nonce != b.Nonce:
		return false, status.ErrStoreConflict
	}
	j.advance(j.slots[i])
	return true, nil
}

// resolveConflict is called when the write of b conflicts. It returns nil if the
// slot contains b, written by an earlier attempt whose response was lost.
func (j *Journal[R, S]) resolveConflict(ctx context.Context, i int64, b core.RecordBatch[R]) error {
	mine, err := j.checkSlot(ctx, i, b)
	if err == nil && !mine {
		return status.ErrStoreConflict
	}
	return err
}

// Open reads the journal and appends a batch, which makes all later appends of
// earlier owners fail. The function build returns the batch for the contents that
// were read.
func (j *Journal[R, S]) Open(ctx context.Context, build func(JournalContents[R, S]) core.RecordBatch[R]) (JournalContents[R, S], core.RecordBatch[R], error) {
	for range maxReadAttempts {
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

// SnapshotDue reports whether at least half of the ring is in use, so that the
// owner should write a snapshot before slots are reused.
func (j *Journal[R, S]) SnapshotDue() bool {
	return j.nextSeq-j.snapshotSeq > int64(len(j.slots)/2)
}

// Full reports whether the next append would overwrite a batch that no
// snapshot covers yet.
func (j *Journal[R, S]) Full() bool {
	return j.nextSeq-j.snapshotSeq > int64(len(j.slots))
}
