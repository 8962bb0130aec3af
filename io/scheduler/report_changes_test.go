package scheduler

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/agent"

	"github.com/matryer/is"
)

// deltaOwner is an owner to which a test sends reports.
type deltaOwner struct {
	t *testing.T
	c *control
}

func newDeltaOwner(t *testing.T) *deltaOwner {
	c := newTestControl(t)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = c.run(ctx) }()
	return &deltaOwner{t, c}
}

// post sends a report with the given query parameters.
func (o *deltaOwner) post(query string, body any) (code int, reply job.Reply) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, agent.ReportPath+"?"+query, strings.NewReader(string(mustJSON(body))))
	o.c.s.peerHandler().ServeHTTP(w, r)
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
			o.t.Error(err)
		}
	}
	return w.Code, reply
}

const wholeQuery, deltaQuery = "changes=1&report-number=", "changes=1&delta=1"

func (o *deltaOwner) postDelta(d job.ReportChanges) (int, job.Reply) { return o.post(deltaQuery, &d) }

func deltaTestReport() *job.Report {
	return &job.Report{Agent: "a", Process: 7, Epoch: 1, Listed: true, Clock: time.Second,
		Worker: &job.Worker{ID: "i", Incarnation: 1, Service: "svc", Capacity: job.Resources{Processors: 1000}}}
}

func testDelta(number, base int64) job.ReportChanges {
	return job.ReportChanges{Number: number, Base: base, Agent: "a", Process: 7, Epoch: 1, Listed: true, Clock: time.Second}
}

// The owner must confirm exactly the reports that it can take as a base, or the agent
// would send deltas that are refused. An agent of an earlier build gets no new field.
func TestOwnerConfirmsBases(t *testing.T) {
	is := is.New(t)
	o := newDeltaOwner(t)
	_, reply := o.post("", deltaTestReport())
	is.Equal(reply.Base, int64(0))
	_, reply = o.post(wholeQuery+"1", deltaTestReport())
	is.Equal(reply.Base, int64(1))
	_, reply = o.postDelta(testDelta(2, 1))
	is.Equal(reply.Base, int64(2))
	_, reply = o.postDelta(testDelta(3, 1)) // the reply to report 2 was lost
	is.Equal(reply.Base, int64(3))
	_, reply = o.postDelta(testDelta(4, 2)) // neither the base nor the newest
	is.True(reply.Whole)
	_, reply = o.postDelta(testDelta(5, 3))
	is.Equal(reply.Base, int64(5))
}

// A delta whose base is unknown, and a late or repeated report, must change nothing, and
// the agent must be asked for a whole report.
func TestDeltaWithoutBaseChangesNothing(t *testing.T) {
	is := is.New(t)
	o := newDeltaOwner(t)
	d := testDelta(2, 1)
	d.Left = true
	_, reply := o.postDelta(d) // a new owner, or one that has lost its memory
	is.Equal(reply, job.Reply{Epoch: 1, Whole: true})
	_, reply = o.post(wholeQuery+"3", deltaTestReport())
	is.Equal(reply.Base, int64(3))
	d = testDelta(3, 1)
	d.Left = true
	_, reply = o.postDelta(d) // repeated
	is.True(reply.Whole)
	late := deltaTestReport()
	late.Left = true
	_, reply = o.post(wholeQuery+"2", late)
	is.Equal(reply, job.Reply{Epoch: 1, Whole: true})
	d = testDelta(4, 3)
	d.Process = 8 // another process of the agent
	_, reply = o.postDelta(d)
	is.True(reply.Whole)
	_, reply = o.postDelta(testDelta(4, 3))
	is.Equal(reply.Base, int64(4))
	is.Equal(reply.Worker, "i") // the departure of the late reports was not applied
	bases := o.c.s.reportBases.get("a")
	is.True(!bases.Newest().Left)
}

// A malformed delta must be refused with a code, and leave the base as it is.
func TestMalformedDeltaLeavesBase(t *testing.T) {
	is := is.New(t)
	o := newDeltaOwner(t)
	_, _ = o.post(wholeQuery+"1", deltaTestReport())
	for _, body := range []string{`null`, `{"number":2,"base":1,"x":1}`,
		`{"number":2,"base":1,"agent":"a","process":7,"epoch":1,"applied":0,"sequence":0,"listed":true,"removed":[0]}`,
		`{"number":1,"base":1,"agent":"a","process":7,"epoch":1,"applied":0,"sequence":0}`} {
		code, reply := o.post(deltaQuery, json.RawMessage(body))
		is.True(code == http.StatusBadRequest || reply.Whole)
	}
	_, reply := o.postDelta(testDelta(2, 1))
	is.Equal(reply.Base, int64(2))
}

// An owner must not take over bases from its former ownership, and reports of agents
// that are gone must not stay in memory.
func TestBasesAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var b reportBases
	for _, name := range []string{"a", "b"} {
		r := deltaTestReport()
		r.Agent, r.Delta.Number = name, 1
		b.keep(r, now)
	}
	r := deltaTestReport()
	r.Agent, r.Delta.Number = "b", 2
	b.keep(r, now.Add(reportBasesTTL))
	b.keep(r, now.Add(reportBasesTTL+2*reportBasesSweepInterval))
	is.Equal(len(b.rows), 1)
	c := newTestControl(t)
	r.Delta.Number = 1
	c.s.reportBases.keep(r, now)
	is.Equal(len(c.s.reportBases.rows), 1)
	c.endSession(ownershipLost{c.session, errSuperseded})
	is.Equal(len(c.s.reportBases.rows), 0)
}
