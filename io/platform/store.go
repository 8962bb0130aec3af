// Package platform speaks to the platform's key-value service.
//
// Invariant: an error other than a refusal leaves open whether a write took
// effect; only Journal and Settle resolve that, by reading back. Store is the
// one interface that another wire mapping has to implement.
package platform

import (
	"context"
	"encoding/json"
	"time"
)

// Entry is one key with its value.
type Entry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is the store's revision of the key's last change.
	Revision int64 `json:"revision"`
	// Deleted marks a removal in the answer of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Write is a conditional change of one key.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Expect is the key's revision that the writer has seen; 0 means absent.
	Expect int64 `json:"expect"`
	// Lease, if any, removes the key when the lease ends.
	Lease string `json:"lease,omitempty"`
}

// Changes is the answer of a watch.
type Changes struct {
	Entries []Entry `json:"entries"`
	// Revision is the store's revision up to which Entries are complete.
	Revision int64 `json:"revision"`
}

// Store is what rosemarygap needs of the platform's service. Errors are
// status.ErrNotFound, status.ErrStoreConflict, status.ErrLeaseExpired, or
// status.ErrStoreUnavailable when the outcome is unknown.
type Store interface {
	// Get returns one key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with a prefix, sorted.
	List(ctx context.Context, prefix string) (Changes, error)
	// Put changes a key if its revision is as expected, and returns the new one.
	Put(ctx context.Context, w Write) (int64, error)
	// Delete removes a key if its revision is as expected.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant returns a new lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive extends a lease by its ttl.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
	// Watch waits for changes after a revision; it may return without any.
	Watch(ctx context.Context, prefix string, after int64) (Changes, error)
}
