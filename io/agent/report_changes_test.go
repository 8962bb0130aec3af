package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakeOwner records the requests of an agent and responds with what a test sets.
type fakeOwner struct {
	query string
	body  string
	code  int
	reply job.Reply
}

func (f *fakeOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	f.query, f.body = r.URL.RawQuery, string(b)
	w.WriteHeader(f.code)
	if f.code == http.StatusBadRequest {
		_ = json.NewEncoder(w).Encode(wire.ErrorBodyOf(status.ErrOutOfRange))
		return
	}
	_ = json.NewEncoder(w).Encode(&f.reply)
}

// newDeltaAgent returns an agent that reports to a fake owner.
func newDeltaAgent(t *testing.T, options ...Option) (*Agent, *fakeOwner) {
	f := &fakeOwner{code: http.StatusOK, reply: job.Reply{Epoch: 1}}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger(), options...)
	a.state, _, _ = newTestState(t)
	is.New(t).True(a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}))
	return a, f
}

func (f *fakeOwner) gotDelta() bool { return strings.Contains(f.query, DeltaParameter+"=1") }

// Without the option, an agent must send the requests of earlier builds, with the generation
// in the query besides, which an owner of an earlier build ignores.
func TestWholeReportIsUnchanged(t *testing.T) {
	is := is.New(t)
	a, f := newDeltaAgent(t)
	for range 2 {
		f.reply.Base = 1
		is.NoErr(a.report(t.Context(), false))
		is.Equal(f.query, GenerationParameter+"=0&"+SharedPayloadsParameter+"=1")
		r := a.state.report("agent", false, a.startedAt)
		var got job.Report
		is.NoErr(json.Unmarshal([]byte(f.body), &got))
		is.Equal(got.Worker, r.Worker)
	}
}

// An owner of an earlier build confirms nothing and refuses unknown fields, so it must
// get only whole reports.
func TestOwnerWithoutDeltasGetsWholeReports(t *testing.T) {
	is := is.New(t)
	a, f := newDeltaAgent(t, WithDeltaReports())
	for range 3 {
		is.NoErr(a.report(t.Context(), false))
		is.True(!f.gotDelta())
		is.True(strings.Contains(f.body, `"worker":{`))
		is.True(!strings.Contains(f.body, `"base"`))
	}
}

// Each failure must end in reports that the owner can apply: a whole one when the owner
// lacks or refused the base, and a delta against the same base when a reply was lost.
func TestFormOfNextReport(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(a *Agent, f *fakeOwner)
		delta bool
	}{
		"confirmed":         {func(*Agent, *fakeOwner) {}, true},
		"reply lost":        {func(_ *Agent, f *fakeOwner) { f.code = http.StatusServiceUnavailable }, true},
		"base not held":     {func(_ *Agent, f *fakeOwner) { f.reply = job.Reply{Epoch: 1, Whole: true} }, false},
		"delta refused":     {func(_ *Agent, f *fakeOwner) { f.code = http.StatusBadRequest }, false},
		"owner replaced":    {func(a *Agent, _ *fakeOwner) { a.setOwner(job.Ownership{Epoch: 2, Address: a.owner.current().Address}) }, false},
		"worker restarted":  {func(a *Agent, _ *fakeOwner) { a.state.applyHeartbeat(job.Worker{ID: "i-1", Incarnation: 101}) }, false},
		"number not agreed": {func(_ *Agent, f *fakeOwner) { f.reply.Base = 99 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, f := newDeltaAgent(t, WithDeltaReports())
			f.reply.Base = 1
			is.NoErr(a.report(t.Context(), false))
			is.True(!f.gotDelta())
			c.fault(a, f)
			_ = a.report(t.Context(), false)
			f.code = http.StatusOK
			_ = a.report(t.Context(), false)
			is.Equal(f.gotDelta(), c.delta)
			if c.delta {
				is.True(strings.Contains(f.body, `"base":1,`))
				is.True(!strings.Contains(f.body, `"worker":{`))
			}
		})
	}
}

// A long poll that the owner cannot expand must not make it ask for the base that a later
// report has confirmed, nor count as a report.
func TestLateRefusalOfLongPollKeepsBase(t *testing.T) {
	is := is.New(t)
	a, f := newDeltaAgent(t, WithDeltaReports())
	for number := range int64(2) {
		f.reply.Base = number + 1
		is.NoErr(a.report(t.Context(), false))
	}
	a.deltas.observe(&reportMessage{base: 1}, &job.Reply{Whole: true}, nil)
	f.reply = job.Reply{Epoch: 1}
	is.NoErr(a.report(t.Context(), true))
	is.True(f.gotDelta())
	is.True(!strings.Contains(f.body, `"number"`))
}

// An agent that loses the traits or the table of interference that a reply leaves out
// would no longer throttle tasks beside serving tasks.
func TestAgentKeepsWhatRepliesLeaveOut(t *testing.T) {
	is := is.New(t)
	a, f := newDeltaAgent(t, WithDeltaReports())
	a.state.runList.Running = []job.Run{{Task: "b", Run: 1}, {Task: "a", Run: 1}}
	table := map[string]map[string]float64{"feed": {"build": 0.5}}
	f.reply = *testReply()
	f.reply.Base, f.reply.InterferenceVersion, f.reply.Interference = 1, 77, table
	is.NoErr(a.report(t.Context(), false))
	is.Equal(a.state.throttle.interference, table)

	a.state.runList.Running = append(a.state.runList.Running, job.Run{Task: "c", Run: 1})
	f.reply.Base, f.reply.Interference = 2, nil
	is.NoErr(a.report(t.Context(), false))
	is.Equal(a.state.throttle.interference, table)
	is.True(strings.Contains(f.body, `"unknown-traits":["c"],"known-interference":77`))
	f.reply.InterferenceVersion = 76 // of a table in a reply that another overtook
	is.NoErr(a.report(t.Context(), false))
	is.Equal(a.state.throttle.interference, table)
	is.True(!strings.Contains(f.body, "unknown-traits"))
	f.reply.InterferenceVersion = 0
	is.NoErr(a.report(t.Context(), false))
	is.Equal(len(a.state.throttle.interference), 0)
	is.NoErr(a.report(t.Context(), false))
	is.True(!strings.Contains(f.body, "known-interference"))
}

// A reply without a lease has no traits, so the agent must ask for them again.
func TestTraitsAreAskedForUntilTheyCanArrive(t *testing.T) {
	is := is.New(t)
	a, f := newDeltaAgent(t, WithDeltaReports())
	a.state.runList.Running = []job.Run{{Task: "a", Run: 1}}
	f.reply = job.Reply{Epoch: 1, Worker: "i-1", Incarnation: 100, Base: 1}
	for range 3 {
		is.NoErr(a.report(t.Context(), false))
	}
	is.True(strings.Contains(f.body, `"unknown-traits":["a"]`))
}
