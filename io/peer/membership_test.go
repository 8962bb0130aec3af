package peer

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/matryer/is"
)

// One odd entry among the registrations must not keep the entries from reading the others: their
// view of the members would expire, and no entry could grant claims.
func TestOddRegistrationIsSkipped(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	self := peer.Member{ID: "entry-1", Incarnation: 7, Address: netip.MustParseAddrPort("127.0.0.1:9001")}
	put := func(id string, value json.RawMessage) {
		_, err := store.Put(t.Context(), platform.Write{Key: coreplatform.EntryKey(id), Value: value})
		is.NoErr(err)
	}
	own, err := json.Marshal(self)
	is.NoErr(err)
	put(self.ID, own)
	for id, value := range map[string]string{
		"odd-port":   `{"id":"odd-port","incarnation":1,"address":"127.0.0.1:99999"}`,
		"odd-number": `{"id":"odd-number","incarnation":92233720368547758070}`,
		"odd-depth":  `{"id":"odd-depth","address":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"odd-type":   `[1]`, "odd-null": `null`, "odd-id": `{"id":"entry-9","address":"127.0.0.1:9"}`,
	} {
		put(id, json.RawMessage(value))
	}
	cm := NewClaimManager(self, store, time.Second)
	t.Cleanup(cm.Close)
	members, err := cm.readMembers(t.Context())
	is.NoErr(err)
	is.Equal(len(members), 1)
	is.Equal(members[0], cm.self)
}
