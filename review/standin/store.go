package main

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer (SYSTEM.md: 4 ms).
const storeAnswerTime = 4 * time.Millisecond

// Limits of a page (PROTOCOL.md: at most about 500 items or 1 MB).
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// item is a key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl, end time.Duration
}

// gate says how the store treats the calls of one machine.
type gate int

const (
	gateOpen gate = iota
	// gateSilent leaves calls without an answer and does nothing.
	gateSilent
	// gateBusy answers 503 and does nothing.
	gateBusy
)

// store is a stand-in of the platform's metadata store.
type store struct {
	rec      *recorder
	mu       sync.Mutex
	began    time.Time
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	gates    map[string]gate
	// isDown is true while the store is down, since downSince.
	isDown    bool
	downSince time.Duration
	// onWrite is called with each item that is written, with mu locked.
	onWrite func(item)
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, began: time.Now(), items: map[string]item{}, revision: 100, leases: map[int64]*lease{},
		changed: make(chan struct{}), gates: map[string]gate{}, onWrite: func(item) {}}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// setGate sets how the store treats the calls of a machine.
func (s *store) setGate(machine string, g gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates[machine] = g
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) gateOf(machine string) gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return gateBusy
	}
	return s.gates[machine]
}

// down takes the store down for all machines, which get 503, or brings it back. Leases
// pause meanwhile.
func (s *store) down(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isDown {
		s.downSince = time.Since(s.began)
	} else {
		for _, l := range s.leases {
			l.end += time.Since(s.began) - s.downSince
		}
	}
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed. The caller holds mu.
func (s *store) expire() {
	if s.isDown {
		return
	}
	now := time.Since(s.began)
	for id, l := range s.leases {
		if now < l.end {
			continue
		}
		delete(s.leases, id)
		for k, i := range s.items {
			if i.Lease == id {
				s.revision++
				s.apply(item{Key: k, Revision: s.revision, Removed: true})
			}
		}
	}
}

// apply makes a change and wakes the watches. The caller holds mu.
func (s *store) apply(i item) {
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.onWrite(i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: value, Revision: s.revision})
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func reply(w http.ResponseWriter, code int, v any) {
	b := encode(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// handler serves the calls of one machine.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET "+path("list", ""), s.serveRange)
	mux.HandleFunc("GET "+path("watch", ""), func(w http.ResponseWriter, r *http.Request) { s.serveWatch(w, r, machine) })
	mux.HandleFunc("POST "+path("commit", ""), func(w http.ResponseWriter, r *http.Request) { s.serveTxn(w, r, machine) })
	mux.HandleFunc("POST "+path("grant", ""), s.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+path("end-lease", "/{id}"), s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		time.Sleep(storeAnswerTime)
		switch s.gateOf(machine) {
		case gateSilent:
			<-r.Context().Done()
			return
		case gateBusy:
			reply(w, http.StatusServiceUnavailable, map[string]string{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"store-revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"store-revision"`
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, bytes, more := []item{}, 0, false
	for _, k := range keys {
		if len(out) == pageItems || bytes > pageBytes {
			more = true
			break
		}
		out = append(out, s.items[k])
		bytes += len(s.items[k].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out, "further": more, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, machine string) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		n := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[n:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed, g := s.revision, s.changed, s.gates[machine]
		if s.isDown {
			g = gateBusy
		}
		s.mu.Unlock()
		switch g {
		case gateSilent:
			<-r.Context().Done()
			return
		case gateBusy:
			reply(w, http.StatusServiceUnavailable, map[string]string{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, machine string) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := decode(r.Body, &t); err != nil || len(t.Precondition)+len(t.Writes)+len(t.Deletes) > 32 {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	conflict := false
	current := []item{}
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != p.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]string{})
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]string{})
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.apply(item{Key: x.Key, Value: x.Value, Revision: s.revision, Lease: x.Lease})
	}
	for _, k := range t.Deletes {
		if _, ok := s.items[k]; ok {
			s.apply(item{Key: k, Revision: s.revision, Removed: true})
		}
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var m struct {
		TTL int64 `json:"lease-time"`
	}
	if err := decode(r.Body, &m); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	ttl := max(time.Duration(m.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Since(s.began) + ttl}
	reply(w, http.StatusOK, map[string]int64{"lease": s.nextID, "lease-time": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	l.end = time.Since(s.began) + l.ttl
	reply(w, http.StatusOK, map[string]int64{"lease-time": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	l.end = 0
	s.expire()
	reply(w, http.StatusOK, map[string]string{})
}
