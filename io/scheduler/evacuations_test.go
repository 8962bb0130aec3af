package scheduler

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// countingHandler counts the calls to the store that read evacuations.
type countingHandler struct {
	http.Handler
	reads atomic.Int64
}

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("prefix") == platform.EvacuationPrefix {
		h.reads.Add(1)
	}
	h.Handler.ServeHTTP(w, r)
}

// The owner reads the evacuations whatever its watch delivers and the history holds. It
// sends nothing while the store is down, so that the cell keeps what it knows.
func TestOwnerReadsEvacuations(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := fleet.NewStore()
	s, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	s.cfg.Bounds.MaxEvacuationDelay = 400 * time.Millisecond // a reading every 100 ms
	session := &ownerSession{}
	done := make(chan error, 1)
	go func() { done <- s.followEvacuations(ctx, session) }()
	next := func() []string { return (<-s.messages).(evacuationsRead).zones }
	is.Equal(next(), nil)
	store.Put(platform.EvacuationKey("a"), []byte("\xff"))
	store.Compact()
	next() // may have begun before
	is.Equal(next(), []string{"a"})

	store.SetFaults(fleet.StoreFaults{Down: true})
	time.Sleep(200 * time.Millisecond)
	for len(s.messages) > 0 {
		next()
	}
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(s.messages), 0)
	began := time.Now()
	store.SetFaults(fleet.StoreFaults{})
	x := (<-s.messages).(evacuationsRead)
	is.Equal(x.zones, []string{"a"})
	is.True(x.session == session && !x.began.Before(began.Add(-readRetryPause)))
	cancel()
	is.NoErr(<-done)
}

// A reading that ends before the state is loaded is kept for the new cell, which places
// nothing without it. A reading of an earlier session is not: it may be as old.
func TestReadingBeforeStateIsLoaded(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	s.cfg.Bounds.MaxEvacuationDelay = 5 * time.Second
	c := newControl(s)
	session := &ownerSession{}
	read := func(of *ownerSession, zones ...string) {
		c.handleMessage(evacuationsRead{session: of, zones: zones, began: time.Now()})
	}
	c.handleMessage(session)
	read(session, "a")
	read(&ownerSession{}, "b")
	c.handleMessage(loadedState{session: session, began: time.Now()})
	zones := func() map[string]int { return c.cell.Stats(time.Now()).EvacuatedZoneTasks }
	is.Equal(zones(), map[string]int{"a": 0})
	read(&ownerSession{}, "b")
	read(session, "c")
	is.Equal(zones(), map[string]int{"c": 0})
}

// The owner reads evacuations during its session, and never if the settings have no
// bound on them.
func TestEvacuationsAreReadOnlyWithBound(t *testing.T) {
	for bound, reads := range map[time.Duration]bool{0: false, 5 * time.Second: true} {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		h := &countingHandler{Handler: platformtest.StoreHandler(fleet.NewStore())}
		s, _ := newTestScheduler(t, h)
		s.cfg.Bounds.MaxEvacuationDelay = bound
		go s.discardMessages(context.Background())
		session, err := s.claim(ctx)
		is.NoErr(err)
		s.runSession(ctx, session)
		cancel()
		is.Equal(h.reads.Load() > 0, reads)
	}
}
