package platform

import (
	"context"
	"encoding/json"

	core "rosemarygap/core/platform"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// ClaimOwnership increments the epoch of a cell, writes o with that epoch as the
// cell's owner, with the owner key bound to the lease, and returns the epoch. It
// returns status.ErrStoreConflict if another process owns the cell.
func ClaimOwnership(ctx context.Context, s Store, cell int, o core.Owner, lease string) (int64, error) {
	old, err := previousClaim(ctx, s, cell, o.Instance)
	if err != nil {
		return 0, err
	}
	epoch, err := incrementEpoch(ctx, s, cell)
	if err != nil {
		return 0, err
	}
	o.Epoch = epoch
	v, err := json.Marshal(o)
	if err != nil {
		return 0, errors.Wrap(err, "encode owner")
	}
	_, err = s.Put(ctx, Write{Key: core.OwnerKey(cell), Value: v, Expect: old, Lease: lease})
	return epoch, err
}

// previousClaim returns the revision of an earlier claim by this process, which
// exists if the response to that claim was lost. It returns 0 if the cell has no
// owner, and status.ErrStoreConflict if another process owns the cell.
func previousClaim(ctx context.Context, s Store, cell int, self string) (int64, error) {
	kv, err := s.Get(ctx, core.OwnerKey(cell))
	if errors.Is(err, status.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var o core.Owner
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return 0, errors.Wrap(err, "decode owner")
	}
	if o.Instance != self {
		return 0, status.ErrStoreConflict
	}
	return kv.Revision, nil
}

// incrementEpoch increments the epoch of a cell and returns it.
func incrementEpoch(ctx context.Context, s Store, cell int) (int64, error) {
	key := core.EpochKey(cell)
	old, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return 0, err
	}
	var epoch int64
	if old.Revision != 0 {
		if err := json.Unmarshal(old.Value, &epoch); err != nil {
			return 0, errors.Wrap(err, "decode epoch")
		}
	}
	epoch++
	v, err := json.Marshal(epoch)
	if err != nil {
		return 0, errors.Wrap(err, "encode epoch")
	}
	_, err = s.Put(ctx, Write{Key: key, Value: v, Expect: old.Revision})
	return epoch, err
}
