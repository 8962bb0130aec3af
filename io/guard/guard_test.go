package guard

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	core "rosemarygap/core/endpoint"
	"rosemarygap/io/endpoint"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// testGuard is a guard of an endpoint that counts the requests it runs and
// responds once unblock is closed.
type testGuard struct {
	guard   *Server
	url     string
	runs    atomic.Int64
	unblock chan struct{}
}

func newTestGuard(t *testing.T, slots int) *testGuard {
	g := &testGuard{unblock: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		g.runs.Add(1)
		<-g.unblock
		w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(backend.Close)
	o := Options{ID: "endpoint-0", Service: "booking", Slots: slots, Connections: 64,
		Endpoint: backend.Listener.Addr().(*net.TCPAddr).AddrPort()}
	g.guard = NewServer(o, hclog.NewNullLogger())
	s := httptest.NewServer(g.guard.Handler())
	t.Cleanup(s.Close)
	g.url = s.URL
	return g
}

// send sends one booking to the guard and returns the response.
func (g *testGuard) send(t *testing.T, id string) *http.Response {
	t.Helper()
	r, err := http.NewRequest("POST", g.url+"/booking", strings.NewReader("booking"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(endpoint.HeaderRequestID, id)
	r.Header.Set(endpoint.HeaderIdempotent, "false")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	w.Body.Close()
	return w
}

// TestGuardForwardsAnIDOnceAndReportsNotRun checks that a guard forwards a
// non-idempotent request id once, and that it reports not-run only for requests
// that the endpoint did not run, so that they can be repeated.
func TestGuardForwardsAnIDOnceAndReportsNotRun(t *testing.T) {
	is := is.New(t)
	g := newTestGuard(t, 1)
	first := make(chan *http.Response)
	go func() { first <- g.send(t, "booking-1") }()
	for deadline := time.Now().Add(5 * time.Second); g.runs.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the guard did not forward the first booking")
		}
	}
	is.Equal(g.send(t, "booking-2").Header.Get(endpoint.HeaderNotRun), "queue-full")
	close(g.unblock)
	is.Equal((<-first).StatusCode, http.StatusOK)
	is.Equal(g.send(t, "booking-1").Header.Get(endpoint.HeaderRepeated), "true")
	is.Equal(g.send(t, "booking-2").StatusCode, http.StatusOK) // was not run before

	address := g.guard.options.Endpoint
	g.guard.options.Endpoint = netip.AddrPortFrom(address.Addr(), 1)
	is.Equal(g.send(t, "booking-3").Header.Get(endpoint.HeaderNotRun), "endpoint-failed")
	g.guard.options.Endpoint = address
	is.Equal(g.send(t, "booking-3").StatusCode, http.StatusOK)

	g.guard.leaving.Store(true)
	is.Equal(g.send(t, "booking-4").Header.Get(endpoint.HeaderNotRun), "stopping")
	is.Equal(g.runs.Load(), int64(3))
}

// TestOptionsCheck checks that a guard rejects invalid settings.
func TestOptionsCheck(t *testing.T) {
	is := is.New(t)
	o := Options{ID: "endpoint-0", Service: "booking", Zone: "warwick", Slots: 8, Connections: 64,
		Listen: netip.MustParseAddrPort("127.0.0.1:1"), StopLimit: time.Minute, LogLevel: "info"}
	is.NoErr(o.Check())
	o.Slots = 0
	is.True(o.Check() != nil)
	a := o.announcement()
	is.Equal(a.State, core.Ready)
}
