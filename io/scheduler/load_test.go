package scheduler

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// The control goroutine ignores changes of the store until it knows the session. A job that is
// stored after the state was read and delivered before that would be in neither.
func TestStateIsLoadedOnceSessionIsKnown(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	store := platformtest.StoreHandler(fleet.NewStore())
	s, _ := newTestScheduler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	c := newControl(s)
	session := &ownerSession{ownership: job.Ownership{Epoch: 1}, done: make(chan struct{})}
	s.sendToControl(t.Context(), session)
	loaded := make(chan error, 1)
	go func() { loaded <- s.loadState(t.Context(), session) }()
	time.Sleep(50 * time.Millisecond) // the control goroutine is busy
	is.Equal(calls.Load(), int64(0))
	c.handleMessage(<-s.messages)
	is.Equal(c.session, session)
	c.handleMessage(<-s.messages)
	is.NoErr(<-loaded)
	c.handleMessage(<-s.messages)
	is.True(c.cell != nil)
	is.True(calls.Load() > 0)
}
