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

// faultyStore is the store's stand-in with an outage.
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

// cluster runs the control goroutines of some entries, which call one another
// directly.
type cluster struct {
	store *faultyStore
	mu    sync.Mutex
	at    map[netip.AddrPort]*control
	ended chan error
	// cut is true while no entry reaches another.
	cut bool
}

func (n *cluster) exchange(ctx context.Context, to netip.AddrPort, x peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	n.mu.Lock()
	c, cut := n.at[to], n.cut
	n.mu.Unlock()
	if c == nil || cut {
		return peer.ExchangeResponse{}, status.ErrUnreachable
	}
	return c.Exchange(ctx, x)
}

func (n *cluster) start(ctx context.Context, id string, peers ...netip.AddrPort) *control {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(n.at)+1))
	c := newControl(Options{ID: id, Zone: "kelowna", PeerListen: a, LeaseTTL: 5 * time.Second,
		Peers: peers}, hclog.NewNullLogger(), n.store)
	c.exchange = n.exchange
	n.at[a] = c
	go func() { n.ended <- c.run(ctx) }()
	return c
}

// announce lets an endpoint announce itself to one entry after another.
func (n *cluster) announce(ctx context.Context) {
	a := endpoint.Announcement{ID: "endpoint-1", Service: "catalogue", Zone: "kelowna",
		Address: netip.MustParseAddrPort("127.0.0.1:9001"), Incarnation: 1, State: endpoint.Ready,
		Slots: 8, Connections: 64}
	for ctx.Err() == nil {
		for _, c := range n.all() {
			a.Seq++
			_ = c.AnnounceEndpoint(ctx, a)
			time.Sleep(400 * time.Millisecond)
		}
	}
	n.ended <- nil
}

func (n *cluster) all() []*control {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*control, 0, len(n.at))
	for _, c := range n.at {
		out = append(out, c)
	}
	return out
}

// serves reports whether an entry is ready and sends requests.
func serves(c *control) bool {
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
	at, err := s.Put(context.Background(), platform.Write{Key: coreplatform.ConfigKey, Value: v, Expect: expect})
	is.NoErr(err)
	return at
}

// The store is down for an hour: entries go on, one that starts meanwhile
// gets configuration and members from its peers, and no revision goes back,
// although the store comes back with an older one.
func TestOutageOfTheStoreForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n := &cluster{store: &faultyStore{Store: standin.NewStore()},
			at: make(map[netip.AddrPort]*control), ended: make(chan error, 8)}
		defer func() {
			cancel()
			for range len(n.at) + 1 {
				<-n.ended
			}
		}()
		at := putConfig(is, n.store, 7, 0)
		first := n.start(ctx, "entry-a")
		n.start(ctx, "entry-b")
		go n.announce(ctx)
		time.Sleep(15 * time.Second)

		n.store.down.Store(true)
		var started time.Time
		for minute := range 60 {
			if minute == 30 {
				n.start(ctx, "entry-c", first.self.Address)
				started = time.Now()
			}
			for range 60 {
				time.Sleep(time.Second)
				for _, c := range n.all() {
					is.True(serves(c) || time.Since(started) < 5*time.Second)
					is.True(c.Snapshot().Revision() == 7 || time.Since(started) < 5*time.Second)
				}
			}
		}
		putConfig(is, n.store, 6, at)
		n.store.down.Store(false)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for _, c := range n.all() {
				is.True(serves(c))
				is.Equal(c.Snapshot().Revision(), int64(7))
			}
		}
	})
}
