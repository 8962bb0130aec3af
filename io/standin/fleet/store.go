// Package fleet provides in-process fakes of the platform for tests: its store,
// its workers, and network links with injected faults.
//
// Invariant: the fakes keep the guarantees of the platform whatever faults are
// injected; only responses, delays and connections are affected.
package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// pageSize is the maximum number of items in one page of a listing.
const pageSize = 100

// Store is an in-memory fake of the platform's store. It implements
// platformtest.Store.
type Store struct {
	mu    sync.Mutex
	items map[string]platform.Item
	// history contains all changes after the revision compacted.
	history   []platform.Item
	compacted int64
	revision  int64
	leases    map[int64]leaseState
	// lastLease is the id of the lease that was granted last.
	lastLease int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  StoreFaults
	// observe is called for each change, while mu is locked.
	observe func(platform.Item)
}

// StoreFaults are the faults that a Store injects into the calls of
// platformtest.Store, except GrantLease.
type StoreFaults struct {
	// Down makes these calls fail without effect.
	Down bool
	// DropResponseEvery, if greater than 0, makes the store drop the connection
	// instead of sending the response of a transaction that has committed at a
	// revision divisible by DropResponseEvery.
	DropResponseEvery int
	// Delay is added to each of these calls.
	Delay time.Duration
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]platform.Item{}, revision: 1, leases: map[int64]leaseState{}, changed: make(chan struct{}), observe: func(platform.Item) {}}
}

// Observe calls f for each change from now on. f must not call the store.
func (s *Store) Observe(f func(platform.Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = f
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact removes the history, so that a watch of an earlier revision fails and
// its client must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

// Put writes a key unconditionally, as an operator does to change the
// configuration.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Item{Key: key, Value: value, Revision: s.revision})
	s.notifyWatches()
}

// Delete removes a key unconditionally, as an operator does to end an evacuation.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Item{Key: key, Revision: s.revision, Removed: true})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(i platform.Item) {
	s.observe(i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

// beginCall applies the injected faults to a call and removes expired leases. If
// it returns nil, it has locked s.mu, and the caller must unlock it.
func (s *Store) beginCall() error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return platform.ErrNoEffect
	}
	s.expireLeases()
	return nil
}

func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(lease int64) {
	delete(s.leases, lease)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == lease {
			s.revision++
			s.apply(platform.Item{Key: key, Revision: s.revision, Removed: true})
			s.notifyWatches()
		}
	}
}

// Get implements platformtest.Store.
func (s *Store) Get(key string) (platform.Item, int64, error) {
	if err := s.beginCall(); err != nil {
		return platform.Item{}, 0, err
	}
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return i, s.revision, platform.ErrNotFound
	}
	return i, s.revision, nil
}

// List implements platformtest.Store.
func (s *Store) List(prefix, after string) (platform.Page, error) {
	if err := s.beginCall(); err != nil {
		return platform.Page{}, err
	}
	defer s.mu.Unlock()
	p := platform.Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Items) == pageSize {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[key])
	}
	return p, nil
}

// Watch implements platformtest.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	deadline := time.After(wait)
	for {
		if err := s.beginCall(); err != nil {
			return platform.Changes{}, err
		}
		c := platform.Changes{Revision: s.revision}
		isCompacted := after < s.compacted
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				c.Items = append(c.Items, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case isCompacted:
			return c, platform.ErrCompacted
		case len(c.Items) > 0:
			return c, nil
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
			// The next iteration removes leases that have expired.
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

// Commit implements platformtest.Store.
func (s *Store) Commit(c platform.Transaction) (int64, []platform.Item, error) {
	if err := s.beginCall(); err != nil {
		return 0, nil, err
	}
	defer s.mu.Unlock()
	for _, condition := range c.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return 0, s.currentItems(c.Conditions), platform.ErrConflict
		}
	}
	for _, w := range c.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, nil, platform.ErrNotFound
		}
	}
	s.revision++
	for _, w := range c.Writes {
		s.apply(platform.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease})
	}
	for _, key := range c.Deletes {
		if _, ok := s.items[key]; ok {
			s.apply(platform.Item{Key: key, Revision: s.revision, Removed: true})
		}
	}
	s.notifyWatches()
	if n := s.faults.DropResponseEvery; n > 0 && s.revision%int64(n) == 0 {
		return 0, nil, platformtest.ErrDropConnection
	}
	return s.revision, nil, nil
}

func (s *Store) currentItems(cs []platform.Condition) []platform.Item {
	var out []platform.Item
	for _, c := range cs {
		if i, ok := s.items[c.Key]; ok {
			out = append(out, i)
		}
	}
	return out
}

// GrantLease implements platformtest.Store.
func (s *Store) GrantLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = leaseState{ttl, time.Now().Add(ttl)}
	return s.lastLease
}

// RenewLease implements platformtest.Store.
func (s *Store) RenewLease(lease int64) error {
	if err := s.beginCall(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[lease]
	if !ok {
		return platform.ErrNotFound
	}
	s.leases[lease] = leaseState{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// RevokeLease implements platformtest.Store.
func (s *Store) RevokeLease(lease int64) error {
	if err := s.beginCall(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.removeLease(lease)
	return nil
}
