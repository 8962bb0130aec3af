package scheduler

import (
	"context"
	"encoding/json"
	"slices"

	"rosemarygap/core/job"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// followOwnerLease keeps the ownership up to date by a watch of the owner's lease
// alone until ctx ends. An entry that is not the owner reads all other changes in
// batches, but must notice at once that there is no owner.
func (m *mirror) followOwnerLease(ctx context.Context) error {
	revision := int64(0)
	for ctx.Err() == nil {
		next, err := m.followOwnerLeaseOnce(ctx, revision)
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			// The metric of calls to the store counts the failure, and the mirror
			// logs an outage.
			process.Pause(ctx, readRetryPause, nil)
			continue
		}
		revision = next
	}
	return nil
}

// followOwnerLeaseOnce applies the changes after the given revision and returns the
// revision to continue from. Revision 0 reads the lease.
func (m *mirror) followOwnerLeaseOnce(ctx context.Context, revision int64) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	if revision == 0 {
		p, err := m.store.List(callCtx, job.KeyOwnerLease, "")
		if err != nil {
			return 0, err
		}
		m.clearOwnerLeaseIfAbsent(p.Items, p.Revision)
		return p.Revision, m.updateOwnerLeases(p.Items)
	}
	c, err := m.store.Watch(callCtx, job.KeyOwnerLease, revision, watchWait)
	if err != nil {
		return revision, err
	}
	return max(revision, c.Revision), m.updateOwnerLeases(c.Items)
}

// updateOwnerLeases applies the changes of the owner's lease among items.
func (m *mirror) updateOwnerLeases(items []platform.Item) error {
	for _, i := range items {
		if i.Key != job.KeyOwnerLease {
			continue
		}
		if err := m.update(job.KeyKindOwnerLease, "", i); err != nil {
			return errors.Wrap(err, i.Key)
		}
	}
	return nil
}

// clearOwnerLeaseIfAbsent records that there is no live owner if its lease is not among the
// items of the store as of a revision.
func (m *mirror) clearOwnerLeaseIfAbsent(items []platform.Item, revision int64) {
	if slices.ContainsFunc(items, func(i platform.Item) bool { return i.Key == job.KeyOwnerLease }) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.ownerLeaseRevision {
		m.ownerAlive, m.ownerLeaseRevision = false, revision
	}
}

// updateOwnerLease applies a change of the owner's lease unless a later one is known.
// The caller holds m.mu.
func (m *mirror) updateOwnerLease(i platform.Item) error {
	if i.Revision < m.ownerLeaseRevision {
		return nil
	}
	m.ownerAlive, m.ownerLeaseRevision = !i.Removed, i.Revision
	if i.Removed {
		return nil
	}
	return m.updateOwner(i)
}

// updateOwner applies an ownership unless a later one is known: the two watches that
// deliver ownerships are not ordered. The caller holds m.mu.
func (m *mirror) updateOwner(i platform.Item) error {
	var o job.Ownership
	err := json.Unmarshal(i.Value, &o)
	if err == nil && o.Epoch > m.owner.Epoch {
		m.owner = o
	}
	return err
}
