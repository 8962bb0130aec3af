package platform

import (
	"context"
	"encoding/json"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// WriteSnapshot stores state as the result of all appended batches. Each part
// after the first is stored under its own key, which is created once, and takes
// effect only when the value of the snapshot's key refers to it.
func (j *Journal[R, S]) WriteSnapshot(ctx context.Context, epoch int64, state S) error {
	if j.nextSeq-1 <= j.snapshotSeq {
		// The current snapshot already covers all appended batches, so it may be
		// that of a later owner.
		return status.ErrStoreConflict
	}
	parts := state.Split(core.MaxRecordsBytes)
	s := core.Snapshot[S]{Seq: j.nextSeq - 1, Epoch: epoch, State: parts[0]}
	for i, part := range parts[1:] {
		key := core.SnapshotPartKey(j.cell, epoch, s.Seq, i)
		s.PartKeys = append(s.PartKeys, key)
		if _, err := j.putJSON(ctx, key, 0, part); err != nil {
			j.markObsolete(s.PartKeys)
			return err
		}
	}
	rev, err := j.putJSON(ctx, core.SnapshotKey(j.cell), j.snapshotRevision, s)
	if err != nil {
		j.markObsolete(s.PartKeys)
		return j.resyncAfterConflict(ctx, err)
	}
	j.markObsolete(j.snapshotPartKeys)
	j.snapshotRevision, j.snapshotSeq, j.snapshotPartKeys = rev, s.Seq, s.PartKeys
	j.deleteObsolete(ctx)
	return nil
}

// putJSON writes the JSON of value to key if the key has the expected revision.
func (j *Journal[R, S]) putJSON(ctx context.Context, key string, expect int64, value any) (int64, error) {
	v, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode snapshot")
	}
	return j.store.Put(ctx, Write{Key: key, Value: v, Expect: expect})
}

// resyncAfterConflict reads the current snapshot's revision and keys if cause is a
// conflict, and returns cause. The current snapshot may be an earlier one of this
// owner, whose response was lost, or a delayed one of an earlier owner. Both are
// valid, because each is the result of the same journal.
func (j *Journal[R, S]) resyncAfterConflict(ctx context.Context, cause error) error {
	if !errors.Is(cause, status.ErrStoreConflict) {
		return cause
	}
	if _, err := j.readSnapshotHead(ctx); err != nil {
		return err
	}
	return cause
}

// maxObsoleteKeys is the maximum number of keys that wait to be deleted.
const maxObsoleteKeys = 64

// markObsolete adds keys, to which no later snapshot refers, to the obsolete keys.
// Above maxObsoleteKeys it drops the oldest ones, which then stay in the store.
func (j *Journal[R, S]) markObsolete(keys []string) {
	j.obsoleteKeys = append(j.obsoleteKeys, keys...)
	j.obsoleteKeys = j.obsoleteKeys[max(0, len(j.obsoleteKeys)-maxObsoleteKeys):]
}

// deleteObsolete deletes the obsolete keys that the current snapshot does not
// refer to. No delayed write can make a snapshot refer to these keys, because the
// revision that the write expects has been replaced.
func (j *Journal[R, S]) deleteObsolete(ctx context.Context) {
	needed := make(map[string]bool)
	for _, key := range j.snapshotPartKeys {
		needed[key] = true
	}
	var left []string
	for _, key := range j.obsoleteKeys {
		if needed[key] {
			continue
		}
		kv, err := j.store.Get(ctx, key)
		if err == nil {
			err = j.store.Delete(ctx, key, kv.Revision)
		}
		if err != nil && !errors.Is(err, status.ErrNotFound) {
			left = append(left, key)
		}
	}
	j.obsoleteKeys = left
}
