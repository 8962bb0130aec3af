// Package platform is an in-memory fake of the platform's key-value service, for
// tests and the demo.
//
// Invariant: each change of a key and each grant of a lease increases the revision
// by one. All state is guarded by one mutex.
package platform

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/io/platform"
)

// maxWatchWait is the maximum time for which a watch waits for a change. It must be
// well below the timeout of clients.
const maxWatchWait = 10 * time.Second

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type value struct {
	platform.KeyValue
	lease string
}

// Store is an in-memory implementation of platform.Store.
type Store struct {
	mu       sync.Mutex
	revision int64
	// values includes deleted keys, which watches report as changes.
	values map[string]value
	leases map[string]lease
	// changed is closed and replaced at each change of a key.
	changed chan struct{}
	calls   CallCounts
	now     func() time.Time
}

// Option configures a Store.
type Option func(*Store)

// WithClock replaces the clock that determines when leases expire.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// CallCounts are the numbers of calls to a Store, and of bytes written.
type CallCounts struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	Watches      int64 `json:"watches"`
	BytesWritten int64 `json:"bytes-written"`
}

// NewStore returns an empty store.
func NewStore(opts ...Option) *Store {
	s := &Store{
		values:  make(map[string]value),
		leases:  make(map[string]lease),
		changed: make(chan struct{}),
		now:     time.Now,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

var _ platform.Store = (*Store)(nil)

// CallCounts returns the counts of the calls so far.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.calls.Reads++
	v, ok := s.values[key]
	if !ok || v.Deleted {
		return platform.KeyValue{}, status.ErrNotFound
	}
	return v.KeyValue, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.calls.Reads++
	all := s.changesSince(prefix, 0)
	live := slices.DeleteFunc(all, func(e platform.KeyValue) bool { return e.Deleted })
	return platform.Changes{KeyValues: live, Revision: s.revision}, nil
}

func (s *Store) changesSince(prefix string, after int64) []platform.KeyValue {
	var out []platform.KeyValue
	for k, v := range s.values {
		if v.Revision > after && strings.HasPrefix(k, prefix) {
			out = append(out, v.KeyValue)
		}
	}
	slices.SortFunc(out, func(a, b platform.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, w platform.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.calls.Writes++
	if len(w.Value) > maxValueBytes {
		return 0, status.ErrBodyTooLarge
	}
	if s.liveRevision(w.Key) != w.Expect {
		return 0, status.ErrStoreConflict
	}
	if w.Lease != "" {
		if _, ok := s.leases[w.Lease]; !ok {
			return 0, status.ErrLeaseExpired
		}
	}
	s.calls.BytesWritten += int64(len(w.Value))
	s.write(value{platform.KeyValue{Key: w.Key, Value: w.Value}, w.Lease})
	return s.revision, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.calls.Writes++
	if s.liveRevision(key) != expect {
		return status.ErrStoreConflict
	}
	s.write(value{KeyValue: platform.KeyValue{Key: key, Deleted: true}})
	return nil
}

// liveRevision returns the revision of a key, or 0 if the key does not exist.
func (s *Store) liveRevision(key string) int64 {
	v := s.values[key]
	if v.Deleted {
		return 0
	}
	return v.Revision
}

func (s *Store) write(v value) {
	s.revision++
	v.Revision = s.revision
	s.values[v.Key] = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements platform.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.revision++
	id := "lease-" + strconv.FormatInt(s.revision, 10)
	s.leases[id] = lease{ttl, s.now().Add(ttl)}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.calls.Writes++
	l, ok := s.leases[id]
	if !ok {
		return status.ErrLeaseExpired
	}
	s.leases[id] = lease{l.ttl, s.now().Add(l.ttl)}
	return nil
}

// Revoke implements platform.Store.
func (s *Store) Revoke(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.endLease(id)
	return nil
}

func (s *Store) endLease(id string) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for k, v := range s.values {
		if v.lease == id && !v.Deleted {
			s.write(value{KeyValue: platform.KeyValue{Key: k, Deleted: true}})
		}
	}
}

func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (platform.Changes, error) {
	limit := time.NewTimer(maxWatchWait)
	defer limit.Stop()
	expiry := time.NewTicker(100 * time.Millisecond)
	defer expiry.Stop()
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		found, changed := s.changesAndSignal(prefix, after)
		if len(found.KeyValues) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-expiry.C:
		case <-limit.C:
			return found, nil
		case <-ctx.Done():
			return found, status.ErrStoreUnavailable
		}
	}
}

// changesAndSignal returns the changes after a revision, and a channel that is
// closed at the next change of any key.
func (s *Store) changesAndSignal(prefix string, after int64) (platform.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return platform.Changes{KeyValues: s.changesSince(prefix, after), Revision: s.revision}, s.changed
}
