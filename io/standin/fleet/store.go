// Package fleet holds stand-ins of the users' platform for tests: its store,
// its workers, and links that fail.
//
// Invariant: the stand-ins keep the platform's promises whatever their faults;
// only answers, delays and connections fail.
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

// pageSize is how many items a listing returns at a time.
const pageSize = 100

// Store keeps items in memory. It implements platformtest.Store.
type Store struct {
	mu       sync.Mutex
	items    map[string]platform.Item
	history  []platform.Item
	dropped  int64
	revision int64
	leases   map[int64]leaseRow
	lease    int64
	changed  chan struct{}
	faults   StoreFaults
}

// StoreFaults are the switches of a store.
type StoreFaults struct {
	// Down refuses each call.
	Down bool
	// LoseEvery loses the answer of each nth commit after its effect; 0 none.
	DropResponseEvery int
	// Delay holds each call back.
	Delay time.Duration
}

type leaseRow struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]platform.Item{}, revision: 1, leases: map[int64]leaseRow{}, changed: make(chan struct{})}
}

// SetFaults replaces the switches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Forget drops the history, so that watches must list anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(platform.Item{Key: key, Value: value, Revision: s.revision})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) set(i platform.Item) {
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

// enter begins a call: it waits, ends leases, and fails if the store is down.
func (s *Store) enter() error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return platform.ErrNoEffect
	}
	s.expire()
	return nil
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(lease int64) {
	delete(s.leases, lease)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == lease {
			s.revision++
			s.set(platform.Item{Key: key, Revision: s.revision, Removed: true})
			s.wake()
		}
	}
}

// Get implements platformtest.Store.
func (s *Store) Get(key string) (platform.Item, int64, error) {
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
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
		if err := s.enter(); err != nil {
			return platform.Changes{}, err
		}
		c := platform.Changes{Revision: s.revision}
		old := after < s.dropped
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				c.Items = append(c.Items, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case old:
			return c, platform.ErrCompacted
		case len(c.Items) > 0:
			return c, nil
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
			// A lease may have ended.
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

// Commit implements platformtest.Store.
func (s *Store) Commit(c platform.Transaction) (int64, []platform.Item, error) {
	if err := s.enter(); err != nil {
		return 0, nil, err
	}
	defer s.mu.Unlock()
	for _, x := range c.Conditions {
		if s.items[x.Key].Revision != x.Revision {
			return 0, s.current(c.Conditions), platform.ErrConflict
		}
	}
	for _, w := range c.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, nil, platform.ErrNotFound
		}
	}
	s.revision++
	for _, w := range c.Writes {
		s.set(platform.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease})
	}
	for _, key := range c.Deletes {
		if _, ok := s.items[key]; ok {
			s.set(platform.Item{Key: key, Revision: s.revision, Removed: true})
		}
	}
	s.wake()
	if n := s.faults.DropResponseEvery; n > 0 && s.revision%int64(n) == 0 {
		return 0, nil, platformtest.ErrDropConnection
	}
	return s.revision, nil, nil
}

func (s *Store) current(cs []platform.Condition) []platform.Item {
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
	s.lease++
	s.leases[s.lease] = leaseRow{ttl, time.Now().Add(ttl)}
	return s.lease
}

// RenewLease implements platformtest.Store.
func (s *Store) RenewLease(lease int64) error {
	if err := s.enter(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[lease]
	if !ok {
		return platform.ErrNotFound
	}
	s.leases[lease] = leaseRow{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// EndLease implements platformtest.Store.
func (s *Store) RevokeLease(lease int64) error {
	if err := s.enter(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.drop(lease)
	return nil
}
