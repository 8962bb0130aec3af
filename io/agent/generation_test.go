package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Each report must echo the newest generation of its epoch: the owner ignores a report that
// contradicts what it knows and was made before. What such a report tells counts as untold.
func TestReportsEchoGeneration(t *testing.T) {
	is := is.New(t)
	var replies []job.Reply
	var echoed []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		echoed = append(echoed, r.URL.Query().Get(GenerationParameter))
		reply := replies[0]
		replies = replies[1:]
		if err := json.NewEncoder(w).Encode(reply); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
	a.state, _, _ = newTestState(t)
	a.setOwner(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
	gone := job.AbsentRun{Task: "t", Run: 1, Reason: job.EndedReason(job.EndDone)}
	a.state.goneEnds = []goneEnd{{AbsentRun: gone}}

	replies = []job.Reply{{Epoch: 1, Generation: 7, Whole: true}, {Epoch: 1, Generation: 7}, {Epoch: 1, Generation: 6}, {Epoch: 2}, {Epoch: 2}}
	is.NoErr(a.report(t.Context(), false))
	is.Equal(len(a.wakeReport), 1) // it reports again at once
	is.True(a.state.goneEnds[0].deliveredAt.IsZero())
	for range 4 {
		is.NoErr(a.report(t.Context(), true))
	}
	// An earlier generation is that of a reply which was overtaken, and a new epoch begins anew.
	is.Equal(echoed, []string{"0", "7", "7", "7", "0"})
}
