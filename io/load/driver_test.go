package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func serverAt(t *testing.T, f http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// A target that stalls delays no arrival, and each one that fell into the
// stall shows it; an entry that is not ready gets nothing.
func TestOpenLoopShowsStall(t *testing.T) {
	is := is.New(t)
	const stall = 600 * time.Millisecond
	began := time.Now()
	var unready atomic.Int64
	stalls := serverAt(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Until(began.Add(stall))) })
	out := serverAt(t, func(http.ResponseWriter, *http.Request) {
		if time.Since(began) > stall/2 {
			unready.Add(1)
		}
	})
	ready := serverAt(t, func(http.ResponseWriter, *http.Request) {})
	refusing := serverAt(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	os, err := Run(context.Background(), Plan{Entries: []netip.AddrPort{stalls, out},
		ReadinessAddresses: []netip.AddrPort{ready, refusing}, Service: "s", Rate: 200, Duration: time.Second,
		Deadline: 5 * time.Second, Seed: 1, AcceptAnyAnswer: true})
	is.NoErr(err)
	is.Equal(unready.Load(), int64(0))
	late := 0
	for _, o := range os {
		is.True(o.Valid)
		if o.ScheduledAt > stall/4 && o.ScheduledAt < stall/2 && o.Latency >= stall/2-100*time.Millisecond {
			late++
		}
	}
	is.True(late > 10) // arrivals went on during the stall and counted it
}
