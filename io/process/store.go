package process

import (
	"fmt"
	"net/netip"

	"rosemarygap/platform"

	"github.com/VictoriaMetrics/metrics"
)

// NewStore returns a client of the platform's store at address a that counts its calls and
// passes each to observe, which must not block.
//
// A connection that goes silent rarely does so alone. After a call without an answer, the
// idle connections are closed, so that the next call opens a new one in place of waiting
// for its timeout on another silent one.
func NewStore(a netip.AddrPort, observe func(platform.StoreCall)) *platform.Store {
	var s *platform.Store
	s = platform.NewStore(platform.NewHTTPClient(), a, platform.WithObserver(func(c platform.StoreCall) {
		countStoreCall(c)
		observe(c)
		if c.HasNoAnswer() {
			s.CloseIdleConnections()
		}
	}))
	return s
}

// countStoreCall counts a call to the platform's store and records its duration.
func countStoreCall(c platform.StoreCall) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_platform_store_calls_total{call=%q,outcome=%q}`, c.Kind, c.Outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemarygap_platform_store_call_seconds{call=%q}`, c.Kind)).Update(c.Elapsed.Seconds())
}
