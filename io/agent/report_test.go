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

// An owner of the build before refuses fields of a report that it does not know, so the
// agent says outside of the body that it understands shared payloads.
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
	a.state, _, _ = newTestState(t)
	is.True(a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}))
	is.NoErr(a.report(t.Context(), false))
	r, body := <-requests, <-bodies
	is.Equal(r.URL.Path, ReportPath)
	is.True(r.URL.Query().Get(SharedPayloadsParameter) != "")
	known := map[string]bool{}
	for _, field := range []string{"agent", "process", "epoch", "wait", "applied", "worker", "clock-ns", "listed", "running",
		"ended", "absent", "unreachable-ns", "lease-ended", "left"} {
		known[field] = true
	}
	for field := range body {
		is.True(known[field])
	}
}
