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

// An entry that is cut off from the others and from the store, and did not
// hear that an endpoint leaves, sends it nothing after 3 s.
func TestLeavingEndpointAtEntryThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n := &cluster{store: &faultyStore{Store: standin.NewStore()},
			at: make(map[netip.AddrPort]*control), ended: make(chan error, 8)}
		announcing, leave := context.WithCancel(ctx)
		defer func() {
			cancel()
			for range len(n.at) + 1 {
				<-n.ended
			}
		}()
		putConfig(is, n.store, 1, 0)
		told, cut := n.start(ctx, "entry-a"), n.start(ctx, "entry-b")
		go n.announce(announcing)
		time.Sleep(15 * time.Second)
		is.True(serves(told) && serves(cut))

		n.mu.Lock()
		n.cut = true
		n.mu.Unlock()
		n.store.down.Store(true)
		leave()
		a := told.Snapshot().Endpoints.Candidates("catalogue")[0].Announcement
		a.State, a.Seq = endpoint.Leaving, a.Seq+100
		is.NoErr(told.AnnounceEndpoint(ctx, a))
		time.Sleep(3 * time.Second)
		for range 100 {
			is.True(!serves(told) && !serves(cut))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
