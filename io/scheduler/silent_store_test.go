package scheduler

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// All open connections to the store go silent, also the idle ones that the next calls would
// use. A new configuration is in force within its bound all the same. Each read that used
// one of them took 1.5 s, and the bound passed after the second.
func TestConfigurationAfterConnectionsGoSilent(t *testing.T) {
	const (
		idleConnections = 4
		configBound     = 2 * time.Second // config-ms
	)
	is := is.New(t)
	store := fleet.NewStore()
	store.Put(platform.ConfigurationKey, largeConfiguration(t, 6))
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(server.Close)
	link, err := fleet.NewLink(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	linkEnded := make(chan struct{})
	go func() {
		defer close(linkEnded)
		link.Run(ctx)
	}()
	s := New(platform.Settings{Name: "entry", CPUShare: 1, StoreAddress: link.Address()}, hclog.NewNullLogger())

	store.SetFaults(fleet.StoreFaults{Delay: 100 * time.Millisecond})
	var wg sync.WaitGroup
	for range idleConnections {
		wg.Go(func() {
			_, err := s.store.Get(ctx, platform.ConfigurationKey)
			is.NoErr(err)
		})
	}
	wg.Wait()
	store.SetFaults(fleet.StoreFaults{})
	reader := make(chan error, 1)
	go func() { reader <- s.mirror.followConfiguration(ctx) }()
	for s.mirror.cfg.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // the next watch waits

	link.BlackholeOpenConnections()
	store.Put(platform.ConfigurationKey, largeConfiguration(t, 7))
	for written := time.Now(); s.mirror.cfg.Load().Version != 7; time.Sleep(time.Millisecond) {
		if late := time.Since(written); late > configBound {
			t.Fatalf("the configuration is not in force %v after it was written", late)
		}
	}
	cancel()
	is.NoErr(<-reader)
	<-linkEnded
}
