package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// watchedOwner is an owner with its server, and another entry that watches its process.
type watchedOwner struct {
	owner, other *Scheduler
	session      *ownerSession
	server       *httptest.Server
	store        *fleet.Store
}

func newWatchedOwner(t *testing.T) *watchedOwner {
	store := fleet.NewStore()
	w := &watchedOwner{store: store}
	w.owner, _ = newTestScheduler(t, platformtest.StoreHandler(store))
	w.other, _ = newTestScheduler(t, platformtest.StoreHandler(store))
	w.other.cfg.IP = netip.MustParseAddr("127.0.0.2")
	WithConnectionFailover()(w.other)
	w.server = httptest.NewServer(w.owner.peerHandler())
	t.Cleanup(w.server.Close)
	var err error
	w.session, err = w.owner.claim(t.Context())
	is.New(t).NoErr(err)
	w.setAddress(t, strings.TrimPrefix(w.server.URL, "http://"))
	w.owner.mirror.isOwner.Store(true)
	return w
}

// setAddress makes the other entry believe that the owner has the given address.
func (w *watchedOwner) setAddress(t *testing.T, address string) {
	w.session.ownership.Address = netip.MustParseAddrPort(address)
	w.other.mirror.mu.Lock()
	defer w.other.mirror.mu.Unlock()
	w.other.mirror.owner, w.other.mirror.ownerAlive = w.session.ownership, true
}

// watch runs the watch for at most d, and reports whether it ended the ownership.
func (w *watchedOwner) watch(t *testing.T, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- w.other.watchOwnerProcess(ctx) }()
	found := false
	select {
	case <-w.other.ownerEnded:
		found = true
		cancel()
	case <-ctx.Done():
	}
	<-ended
	_, _, err := w.store.Get(job.KeyOwnerLease)
	is.New(t).Equal(found, err != nil) // the lease is removed if and only if the owner ended
	return found
}

// An owner whose process has ended is replaced at once, although its lease lasts on.
func TestEndedOwnerIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWatchedOwner(t)
	time.AfterFunc(50*time.Millisecond, func() { w.server.CloseClientConnections(); w.server.Close() })
	is.True(w.watch(t, 5*time.Second))
	next, err := w.other.claim(t.Context())
	is.NoErr(err)
	is.Equal(next.ownership.Epoch, w.session.ownership.Epoch+1)
}

// An owner that was restarted no longer knows that it was the owner.
func TestRestartedOwnerIsReplacedAtOnce(t *testing.T) {
	w := newWatchedOwner(t)
	w.owner.processID++
	is.New(t).True(w.watch(t, 5*time.Second))
}

// A living owner whose connections break, or that answers nothing, must keep its lease:
// its successor would act beside it.
func TestLivingOwnerKeepsItsLease(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"broken connections": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no answer":          func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"earlier build":      httpjson.NewServer().ServeHTTP,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWatchedOwner(t)
			server := httptest.NewServer(h)
			t.Cleanup(server.Close)
			w.setAddress(t, strings.TrimPrefix(server.URL, "http://"))
			is.New(t).True(!w.watch(t, 400*time.Millisecond))
		})
	}
}

// An entry whose view is old must not remove the lease of the next owner.
func TestLateEndOfOwnershipSparesSuccessor(t *testing.T) {
	is := is.New(t)
	w := newWatchedOwner(t)
	w.server.Close()
	is.NoErr(w.store.RevokeLease(w.session.leaseID))
	third, _ := newTestScheduler(t, platformtest.StoreHandler(w.store))
	_, err := third.claim(t.Context())
	is.NoErr(err)
	is.NoErr(w.other.endOwnership(t.Context(), w.session.ownership))
	_, _, err = w.store.Get(job.KeyOwnerLease)
	is.NoErr(err)
}

// Only an owner holds the answer: an entry that is no longer the owner must tell so at once.
func TestOnlyAnOwnerHoldsItsAnswer(t *testing.T) {
	w := newWatchedOwner(t)
	w.owner.mirror.isOwner.Store(false)
	r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?%s=%d", ownerWatchPath, ownerWatchProcess, w.owner.processID), nil)
	out := httptest.NewRecorder()
	x := echo.New().NewContext(r, out)
	is.New(t).NoErr(w.owner.handleOwnerWatch(x))
	is.New(t).Equal(out.Code, http.StatusOK)
}
