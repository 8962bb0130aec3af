package platform

import (
	"context"
	"encoding/json"
	"slices"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Journal is the log of one cell, kept in a fixed ring of keys.
//
// Invariant: a slot is written only on the revision that its writer has read,
// so an append that was delayed past its slot's reuse fails. A Journal belongs
// to one goroutine at a time.
type Journal[R, S any] struct {
	store    Store
	cell     int
	slots    [core.LogSlots]int64
	snapshot int64
	snapSeq  int64
	next     int64
}

// NewJournal returns the journal of a cell; Read comes first.
func NewJournal[R, S any](s Store, cell int) *Journal[R, S] {
	return &Journal[R, S]{store: s, cell: cell}
}

// Next returns the sequence number of the next batch.
func (j *Journal[R, S]) Next() int64 { return j.next }

// Contents is what a journal holds.
type Contents[R, S any] struct {
	Snapshot core.Snapshot[S]
	Batches  []core.Batch[R]
}

// Read returns the snapshot and the batches that follow it.
func (j *Journal[R, S]) Read(ctx context.Context) (Contents[R, S], error) {
	var out Contents[R, S]
	if err := j.readSnapshot(ctx, &out.Snapshot); err != nil {
		return out, err
	}
	l, err := j.store.List(ctx, core.LogPrefix(j.cell))
	if err != nil {
		return out, err
	}
	batches, err := j.decode(l.Entries)
	if err != nil {
		return out, err
	}
	j.next = out.Snapshot.Seq + 1
	for _, b := range batches {
		if b.Seq == j.next {
			out.Batches = append(out.Batches, b)
			j.next++
		}
	}
	return out, nil
}

func (j *Journal[R, S]) readSnapshot(ctx context.Context, s *core.Snapshot[S]) error {
	e, err := j.store.Get(ctx, core.SnapshotKey(j.cell))
	if errors.Is(err, status.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	j.snapshot = e.Revision
	if err := json.Unmarshal(e.Value, s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	j.snapSeq = s.Seq
	return nil
}

func (j *Journal[R, S]) decode(entries []Entry) ([]core.Batch[R], error) {
	batches := make([]core.Batch[R], 0, len(entries))
	for _, e := range entries {
		var b core.Batch[R]
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return nil, errors.Wrap(err, "decode journal entry")
		}
		j.slots[b.Seq%core.LogSlots] = e.Revision
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b core.Batch[R]) int { return int(a.Seq - b.Seq) })
	return batches, nil
}

// Append makes b durable at the next sequence number. It returns
// status.ErrStoreConflict if another owner has written there, and
// status.ErrStoreUnavailable if the outcome is not known yet; the same batch
// may then be appended again.
func (j *Journal[R, S]) Append(ctx context.Context, b core.Batch[R]) error {
	b.Seq = j.next
	v, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode journal entry")
	}
	slot := b.Seq % core.LogSlots
	key := core.LogKey(j.cell, slot)
	rev, err := j.store.Put(ctx, Write{Key: key, Value: v, Expect: j.slots[slot]})
	if errors.Is(err, status.ErrStoreConflict) {
		rev, err = j.settle(ctx, key, b.Nonce)
	}
	if err != nil {
		return err
	}
	j.slots[slot] = rev
	j.next++
	return nil
}

// settle finds out whether a write that conflicts is an earlier one of ours
// whose answer was lost.
func (j *Journal[R, S]) settle(ctx context.Context, key, nonce string) (int64, error) {
	e, err := j.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var found core.Batch[json.RawMessage]
	if err := json.Unmarshal(e.Value, &found); err != nil {
		return 0, errors.Wrap(err, "decode journal entry")
	}
	if found.Nonce != nonce {
		return 0, status.ErrStoreConflict
	}
	return e.Revision, nil
}

// SnapshotDue reports whether the ring needs a snapshot before it is reused.
func (j *Journal[R, S]) SnapshotDue() bool {
	return j.next-j.snapSeq > core.LogSlots/2
}

// Full reports whether the next append would overwrite a batch that no
// snapshot covers yet.
func (j *Journal[R, S]) Full() bool {
	return j.next-j.snapSeq > core.LogSlots
}

// WriteSnapshot makes state durable as the result of all appended batches.
func (j *Journal[R, S]) WriteSnapshot(ctx context.Context, epoch int64, state S) error {
	s := core.Snapshot[S]{Seq: j.next - 1, Epoch: epoch, State: state}
	v, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	key := core.SnapshotKey(j.cell)
	rev, err := j.store.Put(ctx, Write{Key: key, Value: v, Expect: j.snapshot})
	if err != nil {
		return j.resync(ctx, err)
	}
	j.snapshot, j.snapSeq = rev, s.Seq
	return nil
}

// resync learns the snapshot's revision after a write of unknown outcome.
func (j *Journal[R, S]) resync(ctx context.Context, cause error) error {
	if !errors.Is(cause, status.ErrStoreConflict) {
		return cause
	}
	var s core.Snapshot[S]
	if err := j.readSnapshot(ctx, &s); err != nil {
		return err
	}
	return cause
}
