// Package platform is a stand-in for the platform's key-value service, for
// tests and the demo. It keeps everything in memory.
//
// Invariant: revisions rise by one with each change. All state is guarded by
// one mutex.
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

// watchWait is the longest time a watch waits, well below a client's limit.
const watchWait = 10 * time.Second

// maxValue is the largest value, in bytes.
const maxValue = 1 << 20

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type value struct {
	platform.Entry
	lease string
}

// Store implements platform.Store in memory.
type Store struct {
	mu       sync.Mutex
	revision int64
	values   map[string]value
	leases   map[string]lease
	changed  chan struct{}
	calls    CallCounts
	now      func() time.Time
}

// Option changes how a Store is built.
type Option func(*Store)

// WithClock replaces the clock that leases end by.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// Calls counts what the store was asked.
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

// Calls returns the counts so far.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.calls.Reads++
	v, ok := s.values[key]
	if !ok || v.Deleted {
		return platform.Entry{}, status.ErrNotFound
	}
	return v.Entry, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.calls.Reads++
	all := s.since(prefix, 0)
	live := slices.DeleteFunc(all, func(e platform.Entry) bool { return e.Deleted })
	return platform.Changes{Entries: live, Revision: s.revision}, nil
}

func (s *Store) since(prefix string, after int64) []platform.Entry {
	var out []platform.Entry
	for k, v := range s.values {
		if v.Revision > after && strings.HasPrefix(k, prefix) {
			out = append(out, v.Entry)
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, w platform.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.calls.Writes++
	if len(w.Value) > maxValue {
		return 0, status.ErrBodyTooLarge
	}
	if s.live(w.Key) != w.Expect {
		return 0, status.ErrStoreConflict
	}
	if w.Lease != "" {
		if _, ok := s.leases[w.Lease]; !ok {
			return 0, status.ErrLeaseExpired
		}
	}
	s.calls.BytesWritten += int64(len(w.Value))
	s.set(value{platform.Entry{Key: w.Key, Value: w.Value}, w.Lease})
	return s.revision, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.calls.Writes++
	if s.live(key) != expect {
		return status.ErrStoreConflict
	}
	s.set(value{Entry: platform.Entry{Key: key, Deleted: true}})
	return nil
}

// live returns the revision of a key that exists, or 0.
func (s *Store) live(key string) int64 {
	v := s.values[key]
	if v.Deleted {
		return 0
	}
	return v.Revision
}

func (s *Store) set(v value) {
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
	s.expire()
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
	s.end(id)
	return nil
}

func (s *Store) end(id string) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for k, v := range s.values {
		if v.lease == id && !v.Deleted {
			s.set(value{Entry: platform.Entry{Key: k, Deleted: true}})
		}
	}
}

func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (platform.Changes, error) {
	limit := time.NewTimer(watchWait)
	defer limit.Stop()
	expiry := time.NewTicker(100 * time.Millisecond)
	defer expiry.Stop()
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		found, changed := s.look(prefix, after)
		if len(found.Entries) > 0 {
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

func (s *Store) look(prefix string, after int64) (platform.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return platform.Changes{Entries: s.since(prefix, after), Revision: s.revision}, s.changed
}
