package platform

import (
	"context"
	"encoding/json"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// WriteSnapshot makes state durable as the result of all appended batches.
// Parts beyond the first go to keys of their own that are created once, and
// count only when the snapshot's key names them.
func (j *Journal[R, S]) WriteSnapshot(ctx context.Context, epoch int64, state S) error {
	if j.next-1 <= j.snapSeq {
		// A later owner's snapshot is in force.
		return status.ErrStoreConflict
	}
	parts := state.Split(core.MaxRecordsBytes)
	s := core.Snapshot[S]{Seq: j.next - 1, Epoch: epoch, State: parts[0]}
	for i, part := range parts[1:] {
		key := core.SnapshotPartKey(j.cell, epoch, s.Seq, i)
		s.PartKeys = append(s.PartKeys, key)
		if _, err := j.put(ctx, key, 0, part); err != nil {
			j.discard(s.PartKeys)
			return err
		}
	}
	rev, err := j.put(ctx, core.SnapshotKey(j.cell), j.snapshot, s)
	if err != nil {
		j.discard(s.PartKeys)
		return j.resync(ctx, err)
	}
	j.discard(j.parts)
	j.snapshot, j.snapSeq, j.parts = rev, s.Seq, s.PartKeys
	j.sweep(ctx)
	return nil
}

func (j *Journal[R, S]) put(ctx context.Context, key string, expect int64, value any) (int64, error) {
	v, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode snapshot")
	}
	return j.store.Put(ctx, Write{Key: key, Value: v, Expect: expect})
}

// resync learns the snapshot in force after a conflict. An earlier snapshot
// of ours, whose answer was lost, or a late one of an earlier owner counts:
// each is the result of the same journal.
func (j *Journal[R, S]) resync(ctx context.Context, cause error) error {
	if !errors.Is(cause, status.ErrStoreConflict) {
		return cause
	}
	if _, err := j.readHead(ctx); err != nil {
		return err
	}
	return cause
}

// maxGarbage bounds the keys that wait for their removal.
const maxGarbage = 64

// discard notes keys that no later snapshot names.
func (j *Journal[R, S]) discard(keys []string) {
	j.garbage = append(j.garbage, keys...)
	j.garbage = j.garbage[max(0, len(j.garbage)-maxGarbage):]
}

// sweep removes the keys that the snapshot in force does not need. No write
// that was delayed can name them any more: its revision has passed.
func (j *Journal[R, S]) sweep(ctx context.Context) {
	needed := make(map[string]bool)
	for _, key := range j.parts {
		needed[key] = true
	}
	var left []string
	for _, key := range j.garbage {
		if needed[key] {
			continue
		}
		e, err := j.store.Get(ctx, key)
		if err == nil {
			err = j.store.Delete(ctx, key, e.Revision)
		}
		if err != nil && !errors.Is(err, status.ErrNotFound) {
			left = append(left, key)
		}
	}
	j.garbage = left
}
