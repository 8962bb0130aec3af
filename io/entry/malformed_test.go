package entry

import (
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

func newTestControl() *control {
	return newControl(Options{ID: "entry-1", Zone: "kelowna", PeerListen: netip.MustParseAddrPort("127.0.0.1:1"),
		LeaseTTL: 5 * time.Second}, hclog.NewNullLogger(), standin.NewStore())
}

// A key or value in the store that no entry writes must not end the control goroutine
// of every entry, nor count as a registration.
func TestForeignKeysAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newTestControl()
	for _, key := range []string{"control/", "control/x", "control/entries", coreplatform.EntryPrefix,
		"control/owners/", "control/owners/x", "control/owners/entry-9", "control/something-longer-than-the-prefix"} {
		for _, value := range []string{`{"id":"entry-9","address":"127.0.0.1:9"}`, `null`, `7`, ``} {
			c.applyKeyValue(platform.KeyValue{Key: key, Value: []byte(value), Revision: 3}, time.Now())
			c.applyKeyValue(platform.KeyValue{Key: key, Revision: 4, Deleted: true}, time.Now())
		}
	}
	// The value must be that of the key.
	c.applyKeyValue(platform.KeyValue{Key: coreplatform.EntryKey("entry-2"), Value: []byte(`{"id":"entry-9"}`), Revision: 5}, time.Now())
	is.Equal(c.members.Len(), 0)
}

// Malformed announcements of another entry must not become endpoints, and one from the
// future must not outlive its time to live.
func TestMalformedAnnouncementsOfPeersAreIgnored(t *testing.T) {
	is := is.New(t)
	c, now := newTestControl(), time.Now()
	good := endpoint.Announcement{ID: "endpoint-1", Service: "catalogue", Zone: "kelowna",
		Address: netip.MustParseAddrPort("127.0.0.1:9001"), Incarnation: 1, State: endpoint.Ready, Slots: 8, Connections: 64}
	bad := good
	bad.ID, bad.Slots = "endpoint-2", -1
	none := endpoint.Announcement{}
	changes := []peer.FeedChange[endpoint.Announcement]{{Index: 0, Value: good, Age: -1 << 62}, {Index: 1, Value: bad}, {Index: 2, Value: none}}
	c.applyResponse(c.peering.peer("x"), exchangeResult{sentAt: now, response: peer.ExchangeResponse{
		Endpoints: peer.Delta[endpoint.Announcement]{Cursor: peer.Cursor{Generation: 1, Next: 3}, Changes: changes, Refreshed: []byte{7}, Window: -1 << 62},
		Workers: peer.Delta[peer.WorkerAnnouncement]{Cursor: peer.Cursor{Generation: 1, Next: 1},
			Changes: []peer.FeedChange[peer.WorkerAnnouncement]{{Index: 0}}},
	}}, now)
	exchangeReceived{peer.ExchangeRequest{Leaving: []endpoint.Announcement{bad, none}}, make(chan peer.ExchangeResponse, 1)}.handle(c, now)
	for _, id := range []string{"endpoint-2", ""} {
		_, _, ok := c.endpoints.Latest(id)
		is.True(!ok)
	}
	_, announcedAt, ok := c.endpoints.Latest(good.ID)
	is.True(ok && !announcedAt.After(now))
	is.True(c.announcedWorkers.Get("") == nil)
	is.Equal(len(c.peering.roster.Peers()), 0) // an entry without an id would hold a share of all slots
}
