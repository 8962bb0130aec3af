// Package platform contains the client of the platform's key-value service, and the
// journal and the ownership claims of cells, which are stored in that service.
//
// Invariant: after status.ErrStoreUnavailable, it is unknown whether a write took
// effect. After any other error of a Store the write had no effect. Only code that
// reads the key back, such as Journal and ClaimOwnership, resolves the outcome. Store
// is the only interface that another wire mapping has to implement.
package platform

import (
	"context"
	"encoding/json"
	"time"
)

// KeyValue is a key with its value.
type KeyValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is the revision of the store at the key's last change.
	Revision int64 `json:"revision"`
	// Deleted is true in the result of a watch if the key was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// Write is a conditional write of one key.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Expect is the revision that the key must have; 0 means that the key must
	// not exist.
	Expect int64 `json:"expect"`
	// Lease is the id of the lease that the key is bound to, or empty. The key
	// is removed when the lease ends.
	Lease string `json:"lease,omitempty"`
}

// Changes is the result of a watch or a listing.
type Changes struct {
	KeyValues []KeyValue `json:"entries"`
	// Revision is the revision of the store up to which KeyValues are complete.
	Revision int64 `json:"revision"`
}

// Store is the part of the platform's key-value service that rosemarygap uses.
// Its methods return status.ErrNotFound, status.ErrStoreConflict,
// status.ErrLeaseExpired, status.ErrBodyTooLarge if a value is too large, or, if the
// outcome is unknown, status.ErrStoreUnavailable.
type Store interface {
	// Get returns one key.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with the given prefix, sorted by key.
	List(ctx context.Context, prefix string) (Changes, error)
	// Put writes a key if the key has the expected revision, and returns the new
	// revision.
	Put(ctx context.Context, w Write) (int64, error)
	// Delete removes a key if the key has the expected revision.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease that ends after ttl unless it is kept alive, and
	// returns its id.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive extends a lease by its TTL.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
	// Watch waits for changes of the keys with the given prefix after a revision.
	// It may return without any.
	Watch(ctx context.Context, prefix string, after int64) (Changes, error)
}
