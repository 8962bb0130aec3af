package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// faultyStore is an in-memory store that can be made unavailable.
type faultyStore struct {
	*standin.Store
	down atomic.Bool
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if s.down.Load() {
		return "", status.ErrStoreUnavailable
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *faultyStore) KeepAlive(ctx context.Context, lease string) error {
	if s.down.Load() {
		return status.ErrStoreUnavailable
	}
	return s.Store.KeepAlive(ctx, lease)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after int64) (platform.Changes, error) {
	if s.down.Load() {
		return platform.Changes{}, status.ErrStoreUnavailable
	}
	return s.Store.Watch(ctx, prefix, after)
}

// cluster runs the control goroutines of several entries, which call one another
// directly instead of over the network.
type cluster struct {
	store   *faultyStore
	mu      sync.Mutex
	entries map[netip.AddrPort]*control
	results chan error
	// partitioned is true while no entry can reach another.
	partitioned bool
}

func (cl *cluster) exchange(ctx context.Context, to netip.AddrPort, x peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	cl.mu.Lock()
	c, partitioned := cl.entries[to], cl.partitioned
	cl.mu.Unlock()
	if c == nil || partitioned {
		return peer.ExchangeResponse{}, status.ErrUnreachable
	}
	return c.Exchange(ctx, x)
}

func (cl *cluster) start(ctx context.Context, id string, peers ...netip.AddrPort) *control {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(cl.entries)+1))
	c := newControl(Options{ID: id, Zone: "kelowna", PeerListen: a, LeaseTTL: 5 * time.Second,
		Peers: peers}, hclog.NewNullLogger(), cl.store)
	c.exchange = cl.exchange
	cl.entries[a] = c
	go func() { cl.results <- c.run(ctx) }()
	return c
}

// announce sends announcements of an endpoint to one entry after another until ctx is
// done.
func (cl *cluster) announce(ctx context.Context) {
	a := endpoint.Announcement{ID: "endpoint-1", Service: "catalogue", Zone: "kelowna",
		Address: netip.MustParseAddrPort("127.0.0.1:9001"), Incarnation: 1, State: endpoint.Ready,
		Slots: 8, Connections: 64}
	for ctx.Err() == nil {
		for _, c := range cl.all() {
			a.Seq++
			_ = c.AnnounceEndpoint(ctx, a)
			time.Sleep(400 * time.Millisecond)
		}
	}
	cl.results <- nil
}

func (cl *cluster) all() []*control {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out := make([]*control, 0, len(cl.entries))
	for _, c := range cl.entries {
		out = append(out, c)
	}
	return out
}

// canServe reports whether an entry is ready and has an endpoint that it may send a
// request to.
func canServe(c *control) bool {
	s := c.Snapshot()
	to := endpoint.TwoChoices{}.Pick(s.Endpoints.Candidates("catalogue"), time.Now())
	if to != nil {
		to.Load.Release()
	}
	return s.Ready() && to != nil
}

func acceptedConfig(is *is.I, revision int64) operator.AcceptedConfig {
	b, err := os.ReadFile("../../examples/kettle-valley.json")
	is.NoErr(err)
	a := operator.AcceptedConfig{Revision: revision, ChangeID: "change"}
	is.NoErr(json.Unmarshal(b, &a.Document))
	return a
}

func putConfig(is *is.I, s platform.Store, revision, expect int64) int64 {
	v, err := json.Marshal(acceptedConfig(is, revision))
	is.NoErr(err)
	newRevision, err := s.Put(context.Background(), platform.Write{Key: coreplatform.ConfigKey, Value: v, Expect: expect})
	is.NoErr(err)
	return newRevision
}

// The store is down for an hour. The entries must continue to serve requests, and an
// entry that starts during the outage must receive the configuration and the members
// from its peers within 5 s. No entry may go back to an earlier revision, although the
// store returns with one.
func TestOutageOfTheStoreForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cl := &cluster{store: &faultyStore{Store: standin.NewStore()},
			entries: make(map[netip.AddrPort]*control), results: make(chan error, 8)}
		defer func() {
			cancel()
			for range len(cl.entries) + 1 {
				<-cl.results
			}
		}()
		storeRevision := putConfig(is, cl.store, 7, 0)
		first := cl.start(ctx, "entry-a")
		cl.start(ctx, "entry-b")
		go cl.announce(ctx)
		time.Sleep(15 * time.Second)

		cl.store.down.Store(true)
		var started time.Time
		for minute := range 60 {
			if minute == 30 {
				cl.start(ctx, "entry-c", first.self.Address)
				started = time.Now()
			}
			for range 60 {
				time.Sleep(time.Second)
				for _, c := range cl.all() {
					is.True(canServe(c) || time.Since(started) < 5*time.Second)
					is.True(c.Snapshot().Revision() == 7 || time.Since(started) < 5*time.Second)
				}
			}
		}
		putConfig(is, cl.store, 6, storeRevision)
		cl.store.down.Store(false)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for _, c := range cl.all() {
				is.True(canServe(c))
				is.Equal(c.Snapshot().Revision(), int64(7))
			}
		}
	})
}
