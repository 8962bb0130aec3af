package agent

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// lateDeletion is a store that carries out the first deletion later, without an answer.
type lateDeletion struct {
	*fleet.Store
	late []platform.Transaction
}

func (s *lateDeletion) Commit(c platform.Transaction) (int64, []platform.Item, error) {
	if len(c.Deletes) > 0 && len(s.late) == 0 {
		s.late = append(s.late, c)
		return 0, nil, platformtest.ErrDropConnection
	}
	return s.Store.Commit(c)
}

// An agent whose worker has left removes its key. A removal that is carried out after the owner
// has written the key for the next worker must not take effect: an owner after that would not
// wait for the agent, and start the tasks of that worker twice.
func TestLateRemovalOfKey(t *testing.T) {
	is := is.New(t)
	store := &lateDeletion{Store: fleet.NewStore()}
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(server.Close)
	a := New(platform.Settings{Name: "agent", StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		hclog.NewNullLogger())
	is.NoErr(a.removeKey(t.Context())) // there is none
	store.Put(job.AgentKey("agent"), []byte("{}"))
	is.True(a.removeKey(t.Context()) != nil)
	store.Put(job.AgentKey("agent"), []byte("{}"))
	_, _, err := store.Store.Commit(store.late[0])
	is.Equal(err, platform.ErrConflict)
	is.NoErr(a.removeKey(t.Context()))
	_, _, err = store.Get(job.AgentKey("agent"))
	is.Equal(err, platform.ErrNotFound)
}
