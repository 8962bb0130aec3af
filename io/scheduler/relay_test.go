package scheduler

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// cutStore serves a store to one entry, which can be cut off from it.
type cutStore struct {
	handler http.Handler
	// cut is 0 while the entry is served, and otherwise one of the values below.
	cut atomic.Int32
}

const (
	cutBusy   = 1 // calls are refused
	cutReset  = 2 // connections are reset
	cutSilent = 3 // calls get no answer
)

func (c *cutStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch c.cut.Load() {
	case cutBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case cutReset:
		panic(http.ErrAbortHandler)
	case cutSilent:
		// The server notices the end of the connection only after the body was read.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	default:
		c.handler.ServeHTTP(w, r)
	}
}

// relayTest has an entry that may be cut off from the store and the owner that it
// knows.
type relayTest struct {
	store              *fleet.Store
	entry, owner       *Scheduler
	entryStore         *cutStore
	ownerStore         *cutStore
	entryCaller        http.Handler
	ownerServer        *httptest.Server
	ownerServerAddress netip.AddrPort
}

func newRelayTest(t testing.TB) *relayTest {
	x := &relayTest{store: fleet.NewStore()}
	x.entryStore = &cutStore{handler: platformtest.StoreHandler(x.store)}
	x.ownerStore = &cutStore{handler: platformtest.StoreHandler(x.store)}
	x.entry, x.entryCaller = newTestScheduler(t, x.entryStore)
	x.owner, _ = newTestScheduler(t, x.ownerStore)
	x.ownerServer = httptest.NewServer(x.owner.peerHandler())
	t.Cleanup(x.ownerServer.Close)
	x.ownerServerAddress = netip.MustParseAddrPort(strings.TrimPrefix(x.ownerServer.URL, "http://"))
	x.entry.mirror.owner = job.Ownership{Epoch: 1, Address: x.ownerServerAddress}
	return x
}

// cutOff cuts the entry off from the store, and lets two calls fail so that the entry
// knows.
func (x *relayTest) cutOff(t *testing.T, s *Scheduler, store *cutStore, how int32) {
	store.cut.Store(how)
	for !s.storeOutage.CutOff() {
		_, err := s.store.Get(t.Context(), "key")
		is.New(t).True(err != nil)
		s.mirror.storeHealth.Observe(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// The store turns a third of the entries away for seconds, while it serves the owner.
// The clients of these entries are served all the same, and without waiting for the
// timeouts of the store.
func TestCutOffEntryServesThroughOwner(t *testing.T) {
	for name, how := range map[string]int32{"busy": cutBusy, "reset": cutReset} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newRelayTest(t)
			x.cutOff(t, x.entry, x.entryStore, how)
			begin := time.Now()
			is.Equal(send(x.entryCaller, http.MethodGet, "/jobs/"+testID, "").Code, http.StatusGone)
			is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
			_, _, err := x.store.Get(job.JobKey(testID))
			is.NoErr(err)
			is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
			is.Equal(send(x.entryCaller, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
			x.store.Put(job.FinalKey(testID), mustJSON(job.Final{ID: testID, State: job.Done}))
			is.Equal(send(x.entryCaller, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"done"}`)
			const unknown, other = "00000000000000bb", "00000000000000cc"
			is.Equal(send(x.entryCaller, http.MethodDelete, "/jobs/"+unknown, "").Code, http.StatusGone)
			is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+unknown, testBody).Body.String(), `{"state":"cancelled"}`)
			is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+other, testBody).Code, http.StatusOK)
			is.Equal(send(x.entryCaller, http.MethodDelete, "/jobs/"+other, "").Code, http.StatusOK)
			_, _, err = x.store.Get(job.CancelledKey(other))
			is.NoErr(err)
			is.True(time.Since(begin) < storeCallTimeout)
		})
	}
}

// fullListener returns the address of a listener that accepts no connection and whose
// backlog is full.
func fullListener(t *testing.T) netip.AddrPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

// An entry that does not know yet that the store answers it no more serves its first
// request through the owner once the calls of the store have timed out.
func TestSilentStoreIsNoticed(t *testing.T) {
	is := is.New(t)
	x := newRelayTest(t)
	x.entryStore.cut.Store(cutSilent)
	w := sendWithin(3*time.Second, x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody)
	is.Equal(w.Code, http.StatusOK)
	_, _, err := x.store.Get(job.JobKey(testID))
	is.NoErr(err)
}

// Requests are refused at once while the store serves neither the entry nor the owner,
// and while the owner has ended: the refusal says truthfully that they did not run.
func TestKnownOutageIsRefusedAtOnce(t *testing.T) {
	refusedWithin := func(t *testing.T, x *relayTest, limit time.Duration) {
		is := is.New(t)
		begin := time.Now()
		w := send(x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "1")
		is.True(strings.Contains(w.Body.String(), "store-unavailable"))
		is.True(time.Since(begin) < limit)
		_, _, err := x.store.Get(job.JobKey(testID))
		is.True(err != nil)
	}
	refused := func(t *testing.T, x *relayTest) { refusedWithin(t, x, 100*time.Millisecond) }
	t.Run("store", func(t *testing.T) {
		x := newRelayTest(t)
		x.cutOff(t, x.entry, x.entryStore, cutReset)
		x.cutOff(t, x.owner, x.ownerStore, cutReset)
		refused(t, x)
	})
	t.Run("owner", func(t *testing.T) {
		x := newRelayTest(t)
		x.ownerServer.Close()
		x.cutOff(t, x.entry, x.entryStore, cutBusy)
		refused(t, x)
		// The reason in the log names what the store answered.
		_, err := x.entry.relay(t.Context(), &relayRequest{Cancel: testID})
		is.New(t).Equal(err.Error(), "cut off from the store (status 503: refused without effect), and no other entry serves it: refused without effect")
	})
	t.Run("owner behind a partition", func(t *testing.T) {
		x := newRelayTest(t)
		// The backlog of this listener is full, so connections to it hang.
		x.entry.mirror.owner = job.Ownership{Epoch: 1, Address: fullListener(t)}
		x.cutOff(t, x.entry, x.entryStore, cutBusy)
		refusedWithin(t, x, 2*relayDialTimeout)
	})
	t.Run("owner itself", func(t *testing.T) {
		x := newRelayTest(t)
		x.entry.mirror.owner = job.Ownership{Epoch: 1, Address: x.entry.peerAddress()}
		x.cutOff(t, x.entry, x.entryStore, cutBusy)
		refused(t, x)
	})
}

// An entry that is cut off from the store and from all entries that it knows is not
// ready, so that the load balancer sends new connections to others.
func TestEntryWithoutStoreIsNotReady(t *testing.T) {
	is := is.New(t)
	x := newRelayTest(t)
	x.entry.mirror.synced.Store(true)
	ready := func() int {
		w := httptest.NewRecorder()
		x.entry.readinessHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.ReadinessPath, nil))
		return w.Code
	}
	is.Equal(ready(), http.StatusOK)
	x.cutOff(t, x.entry, x.entryStore, cutBusy)
	is.Equal(ready(), http.StatusOK) // the owner is served
	x.cutOff(t, x.owner, x.ownerStore, cutBusy)
	is.Equal(ready(), http.StatusServiceUnavailable)
	x.entryStore.cut.Store(0)
	_, err := x.entry.store.Get(t.Context(), "key")
	is.True(err != nil) // there is no such key, but the store answers
	is.Equal(ready(), http.StatusOK)
}

// An owner that is cut off from the store, while it serves other entries, resigns
// through one of them before its lease expires. It keeps the ownership while the store
// serves no entry.
func TestCutOffOwnerHandsOver(t *testing.T) {
	is := is.New(t)
	x := newRelayTest(t)
	ctx := t.Context()
	// The entry is the owner here, and x.owner another entry.
	x.entry.mirror.owner = job.Ownership{Epoch: 1, Address: x.entry.peerAddress()}
	go x.entry.discardMessages(ctx)
	session, err := x.entry.claim(ctx)
	is.NoErr(err)
	is.True(!x.entry.handOver(ctx, session)) // not cut off
	x.entry.recentPeers.record(x.ownerServerAddress)
	x.cutOff(t, x.owner, x.ownerStore, cutBusy)
	x.cutOff(t, x.entry, x.entryStore, cutReset)
	is.True(!x.entry.handOver(ctx, session)) // no entry is served

	x.ownerStore.cut.Store(0)
	_, err = x.owner.store.Get(ctx, job.KeyOwner)
	is.NoErr(err)
	begin := time.Now()
	is.Equal(x.entry.keepOwnership(ctx, session), errCutOff)
	is.True(time.Since(begin) < ownerLeaseTTL/4)
	_, _, err = x.store.Get(job.KeyOwnerLease)
	is.True(err != nil)
	next, err := x.owner.claim(ctx)
	is.NoErr(err)
	is.Equal(next.ownership.Epoch, int64(2))
	is.NoErr(x.owner.commitResignation(ctx, session.ownerRevision)) // repeated late
	_, _, err = x.store.Get(job.KeyOwnerLease)
	is.NoErr(err)
}

// The owner remembers the entries that sent notices last.
func TestRecentPeers(t *testing.T) {
	is := is.New(t)
	var p recentPeers
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7) }
	for _, n := range []byte{1, 2, 3, 1, 4, 5} {
		p.record(address(n))
	}
	is.Equal(p.list(), []netip.AddrPort{address(5), address(4), address(1), address(3)})
}

// Malformed relayed requests are refused with a code.
func TestRelayedRequestsAreChecked(t *testing.T) {
	x := newRelayTest(t)
	for body, want := range map[string]string{
		`{`:                                 "malformed-json",
		`{"state":"xyz","timeout-ns":1000}`: "bad-name",
		`{"timeout-ns":1000}`:               "bad-name",
		`{"state":"00000000000000aa"}`:      "out-of-range",
		`{"state":"00000000000000aa","timeout-ns":-1}`:        "out-of-range",
		`{"job":{"id":"00000000000000aa"},"timeout-ns":1000}`: "missing-field",
	} {
		w := httptest.NewRecorder()
		x.owner.peerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, relayPath, strings.NewReader(body)))
		if w.Code < http.StatusBadRequest || !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s: %d %s, want %s", body, w.Code, w.Body, want)
		}
	}
}
