package entry

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/endpoint"
	standin "rosemarygap/io/standin/platform"

	"github.com/matryer/is"
)

// An entry that is partitioned from the other entries and from the store must not send
// requests to a leaving endpoint after 3 s, although it didn't receive the endpoint's
// leaving announcement. The endpoint's earlier announcements expire after 2 s.
func TestLeavingEndpointAtIsolatedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cl := &cluster{store: &faultyStore{Store: standin.NewStore()},
			entries: make(map[netip.AddrPort]*control), results: make(chan error, 8)}
		announceCtx, stopAnnouncing := context.WithCancel(ctx)
		defer func() {
			cancel()
			for range len(cl.entries) + 1 {
				<-cl.results
			}
		}()
		putConfig(is, cl.store, 1, 0)
		informed, isolated := cl.start(ctx, "entry-a"), cl.start(ctx, "entry-b")
		go cl.announce(announceCtx)
		time.Sleep(15 * time.Second)
		is.True(canServe(informed) && canServe(isolated))

		cl.mu.Lock()
		cl.partitioned = true
		cl.mu.Unlock()
		cl.store.down.Store(true)
		stopAnnouncing()
		a := informed.Snapshot().Endpoints.Candidates("catalogue")[0].Announcement
		a.State, a.Seq = endpoint.Leaving, a.Seq+100
		is.NoErr(informed.AnnounceEndpoint(ctx, a))
		time.Sleep(3 * time.Second)
		for range 100 {
			is.True(!canServe(informed) && !canServe(isolated))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
