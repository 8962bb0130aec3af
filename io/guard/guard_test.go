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

// beside is a guard in front of an endpoint that counts its runs and answers
// once hold is closed.
type beside struct {
	guard *Server
	url   string
	ran   atomic.Int64
	hold  chan struct{}
}

func newBeside(t *testing.T, slots int) *beside {
	b := &beside{hold: make(chan struct{})}
	end := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		b.ran.Add(1)
		<-b.hold
		w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(end.Close)
	o := Options{ID: "endpoint-0", Service: "booking", Slots: slots, Connections: 64,
		Endpoint: end.Listener.Addr().(*net.TCPAddr).AddrPort()}
	b.guard = NewServer(o, hclog.NewNullLogger())
	s := httptest.NewServer(b.guard.Handler())
	t.Cleanup(s.Close)
	b.url = s.URL
	return b
}

// send passes one booking and returns what the guard answered.
func (b *beside) send(t *testing.T, id string) *http.Response {
	t.Helper()
	r, err := http.NewRequest("POST", b.url+"/booking", strings.NewReader("booking"))
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

func TestGuardPassesAnIDOnOnceAndRefusesTruthfully(t *testing.T) {
	is := is.New(t)
	b := newBeside(t, 1)
	first := make(chan *http.Response)
	go func() { first <- b.send(t, "booking-1") }()
	for limit := time.Now().Add(5 * time.Second); b.ran.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the first booking was not passed on")
		}
	}
	is.Equal(b.send(t, "booking-2").Header.Get(endpoint.HeaderNotRun), "queue-full")
	close(b.hold)
	is.Equal((<-first).StatusCode, http.StatusOK)
	is.Equal(b.send(t, "booking-1").Header.Get(endpoint.HeaderRepeated), "true")
	is.Equal(b.send(t, "booking-2").StatusCode, http.StatusOK) // was not run before

	at := b.guard.options.Endpoint
	b.guard.options.Endpoint = netip.AddrPortFrom(at.Addr(), 1)
	is.Equal(b.send(t, "booking-3").Header.Get(endpoint.HeaderNotRun), "endpoint-failed")
	b.guard.options.Endpoint = at
	is.Equal(b.send(t, "booking-3").StatusCode, http.StatusOK)

	b.guard.leaving.Store(true)
	is.Equal(b.send(t, "booking-4").Header.Get(endpoint.HeaderNotRun), "stopping")
	is.Equal(b.ran.Load(), int64(3))
}

func TestGuardChecksItsSettings(t *testing.T) {
	is := is.New(t)
	o := Options{ID: "endpoint-0", Service: "booking", Zone: "warwick", Slots: 8, Connections: 64,
		Listen: netip.MustParseAddrPort("127.0.0.1:1"), StopLimit: time.Minute, LogLevel: "info"}
	is.NoErr(o.Check())
	o.Slots = 0
	is.True(o.Check() != nil)
	a := o.announcement()
	is.Equal(a.State, core.Ready)
}
