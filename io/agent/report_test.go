package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// An owner of the build before refuses fields of a report that it does not know, so the
// agent says outside of the body that it understands shared payloads, and for how long
// its worker is still cold.
func TestReportOfNewBuildSuitsEarlierOwner(t *testing.T) {
	is := is.New(t)
	requests := make(chan *http.Request, 1)
	bodies := make(chan map[string]json.RawMessage, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body map[string]json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		requests <- r
		bodies <- body
		w.Write([]byte(`{"epoch":1}`))
	}))
	t.Cleanup(server.Close)
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
	var w job.Worker
	a.state, w, _ = newTestState(t)
	w.Sequence, w.ColdLeft = 2, time.Minute
	a.state.applyHeartbeat(w)
	is.True(a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}))
	is.NoErr(a.report(t.Context(), false))
	r, body := <-requests, <-bodies
	is.Equal(r.URL.Path, ReportPath)
	is.True(r.URL.Query().Get(SharedPayloadsParameter) != "")
	left, err := strconv.ParseInt(r.URL.Query().Get(ColdLeftParameter), 10, 64)
	is.NoErr(err)
	is.True(time.Duration(left) > 0 && time.Duration(left) <= time.Minute) // what is left at the report, not at the heartbeat
	is.True(!strings.Contains(string(body["worker"]), "cold"))
	known := map[string]bool{}
	for _, field := range []string{"agent", "process", "epoch", "wait", "applied", "worker", "clock-ns", "listed", "running",
		"ended", "absent", "unreachable-ns", "lease-ended", "left"} {
		known[field] = true
	}
	for field := range body {
		is.True(known[field])
	}
}
