package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
)

func benchControl(id string, port uint16) *control {
	o := Options{ID: id, Zone: "kelowna", LeaseTTL: 5 * time.Second,
		PeerListen: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	return newControl(o, hclog.NewNullLogger(), standin.NewStore())
}

// BenchmarkExchangeResponse measures the time to create and apply one exchange response
// in which every endpoint was refreshed within refreshWindow, and the time to apply one
// announcement.
func BenchmarkExchangeResponse(b *testing.B) {
	for _, n := range []int{100, 800, 3200} {
		now := time.Now()
		from, to := benchControl("entry-a", 1), benchControl("entry-b", 2)
		for i := range n {
			from.applyEndpointAnnouncement(benchAnnouncement(i, 1), now, now, true)
		}
		b.Run(fmt.Sprintf("response/endpoints=%d", n), func(b *testing.B) {
			state := to.peering.peer("entry-a")
			for b.Loop() {
				req := peer.ExchangeRequest{From: to.self, Version: from.peering.roster.Version(), Endpoints: state.endpoints.Cursor()}
				resp := from.respond(&req, now)
				to.applyResponse(state, exchangeResult{"entry-a", now, resp, nil}, now)
			}
		})
		b.Run(fmt.Sprintf("announcement/endpoints=%d", n), func(b *testing.B) {
			seq := int64(1)
			for i := 0; b.Loop(); i++ {
				seq++
				to.handle(endpointAnnounced{benchAnnouncement(i%n, seq), now})
			}
		})
	}
}

func benchAnnouncement(i int, seq int64) endpoint.Announcement {
	return endpoint.Announcement{ID: fmt.Sprintf("endpoint-%04d", i), Service: "catalogue", Zone: "kelowna",
		Address: netip.MustParseAddrPort("10.0.0.1:9001"), Incarnation: 1, Seq: seq,
		State: endpoint.Ready, Slots: 8, Connections: 64}
}
