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

func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestOpenLoopShowsStall guards against coordinated omission: a stalled entry must
// not delay arrivals, and the latency of each arrival during the stall must include
// the rest of the stall. The test also checks that an entry that is not ready receives
// no requests.
func TestOpenLoopShowsStall(t *testing.T) {
	is := is.New(t)
	const stall = 600 * time.Millisecond
	start := time.Now()
	var sentToUnready atomic.Int64
	stalledEntry := startServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Until(start.Add(stall))) })
	unreadyEntry := startServer(t, func(http.ResponseWriter, *http.Request) {
		// Until the first readiness poll has returned, the entry may receive
		// requests.
		if time.Since(start) > stall/2 {
			sentToUnready.Add(1)
		}
	})
	readyProbe := startServer(t, func(http.ResponseWriter, *http.Request) {})
	unreadyProbe := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	observations, err := Run(context.Background(), Plan{Entries: []netip.AddrPort{stalledEntry, unreadyEntry},
		ReadinessAddresses: []netip.AddrPort{readyProbe, unreadyProbe}, Service: "s", Rate: 200, Duration: time.Second,
		Deadline: 5 * time.Second, Seed: 1, AcceptAnyAnswer: true})
	is.NoErr(err)
	is.Equal(sentToUnready.Load(), int64(0))
	stalled := 0
	for _, o := range observations {
		is.True(o.Valid)
		if o.ScheduledAt > stall/4 && o.ScheduledAt < stall/2 && o.Latency >= stall/2-100*time.Millisecond {
			stalled++
		}
	}
	is.True(stalled > 10) // arrivals continued during the stall, and their latency includes it
}
