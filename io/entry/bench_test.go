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

// BenchmarkAbsorb measures what an entry does with one answer in which every
// endpoint was heard of within the window, and with one announcement.
func BenchmarkAbsorb(b *testing.B) {
	for _, n := range []int{100, 800, 3200} {
		now := time.Now()
		from, to := benchControl("entry-a", 1), benchControl("entry-b", 2)
		for i := range n {
			from.heardEndpoint(benchAnnouncement(i, 1), now, now, true)
		}
		b.Run(fmt.Sprintf("answer/endpoints=%d", n), func(b *testing.B) {
			m := to.peering.mirror("entry-a")
			for b.Loop() {
				x := peer.ExchangeRequest{From: to.self, Version: from.peering.roster.Version(), Endpoints: m.endpoints.Cursor()}
				out := from.answer(&x, now)
				to.absorb(m, exchangeResult{"entry-a", now, out, nil}, now)
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
