package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/agent"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// malformedJobs are values that are not those of an accepted job. The counts and
// references of all but the last two ended the process by a panic.
var malformedJobs = map[string]string{
	"negative count":    `{"id":"` + testID + `","steps":[{"tasks":-1}]}`,
	"huge count":        `{"id":"` + testID + `","steps":[{"tasks":4611686018427387904}]}`,
	"unknown step":      `{"id":"` + testID + `","steps":[{"tasks":1,"after":[7]}]}`,
	"negative step":     `{"id":"` + testID + `","steps":[{"tasks":1,"after":[-1]}]}`,
	"null":              `null`,
	"job of another ID": `{"id":"00000000000000bb","steps":[{"tasks":1}]}`,
}

// newTestControl returns the control of an owner that has loaded items.
func newTestControl(t *testing.T, items ...platform.Item) *control {
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	c := newControl(s)
	c.session = &ownerSession{ownership: job.Ownership{Epoch: 1}, done: make(chan struct{})}
	c.startSession(loadedState{session: c.session, items: items, revision: 10})
	return c
}

// One malformed job in a notice or in the store must end neither the owner nor,
// when they load the store, its successors.
func TestMalformedJobIsRefused(t *testing.T) {
	for name, value := range malformedJobs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestControl(t, platform.Item{Key: job.JobKey(testID), Value: []byte(value), Revision: 5})
			is.Equal(c.cell.Len(), 0)
			c.applyChange(change{kind: job.KeyKindJob, id: testID, value: json.RawMessage(value), revision: 11})
			is.Equal(c.cell.Len(), 0)
			c.tick(t.Context())
		})
	}
}

// A job whose progress cannot be read must not be loaded without its progress: its
// tasks that are done would run again.
func TestUnreadableProgressRunsNothingAgain(t *testing.T) {
	is := is.New(t)
	j := mustJSON(job.Job{ID: testID, Steps: []job.Step{{Tasks: 1}}})
	for _, progress := range []string{`{"done":{"0.0":7}}`, `{"started":"yes","done":{"0.0":"01"}}`, `[]`} {
		c := newTestControl(t, platform.Item{Key: job.JobKey(testID), Value: j},
			platform.Item{Key: job.ProgressKey(testID), Value: []byte(progress)})
		is.Equal(c.cell.Len(), 0)
	}
}

// A submission whose values cannot be stored or added up must be refused with a
// code. A start time after the year 9999 has no JSON form and ended the request by a
// panic without an answer.
func TestUnusableSubmissionIsRefused(t *testing.T) {
	_, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	afterYear9999 := job.Schedule{First: time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC), Times: 1}
	overflow := job.Schedule{First: time.Unix(0, 0), Period: math.MaxInt64 / 2, Times: 3}
	for name, j := range map[string]job.Job{
		"start after the year 9999":    {Schedule: afterYear9999, Steps: []job.Step{{Tasks: 1}}},
		"time of the third occurrence": {Schedule: overflow, Steps: []job.Step{{Tasks: 1}}},
		"processors":                   {Steps: []job.Step{{Tasks: 1, Need: job.Resources{Processors: math.MaxInt}}}},
		"memory":                       {Steps: []job.Step{{Tasks: 1, Need: job.Resources{Memory: math.MaxInt64}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := platformtest.EncodeJob(j)
			is.NoErr(err)
			is.Equal(send(h, http.MethodPost, "/jobs/"+testID, string(body)).Code, http.StatusBadRequest)
		})
	}
}

// A report must not name an epoch that takes the ownership from this entry unless the
// store says so, too: one agent with a malformed epoch would end every owner in turn.
func TestReportCannotEndOwnershipAlone(t *testing.T) {
	is := is.New(t)
	c := newTestControl(t)
	reply := make(chan reportResult, 1)
	c.handleReport(agentReport{&job.Report{Agent: "agent", Epoch: math.MaxInt64, Worker: &job.Worker{ID: "i"}}, reply})
	is.True(errors.Is((<-reply).err, status.ErrStaleEpoch))
	is.Equal(len(c.s.superseded), 0)
	is.Equal(len(c.s.ownershipCheckRequests), 1) // tells in the case of a true successor
	is.True(c.cell != nil)
}

// A report without a name or with an impossible worker must be refused: the key of its
// agent would make all writes of the journal fail.
func TestMalformedReportIsRefused(t *testing.T) {
	c := newTestControl(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.run(ctx) }()
	worker := job.Worker{ID: "i", Incarnation: 1, Service: "svc"}
	negative := worker
	negative.Capacity.Processors = -1
	nameless := worker
	nameless.ID = ""
	for name, r := range map[string]job.Report{
		"no agent":          {Epoch: 1, Worker: &worker},
		"long agent":        {Epoch: 1, Agent: strings.Repeat("a", 2000), Worker: &worker},
		"no worker ID":      {Epoch: 1, Agent: "agent", Worker: &nameless},
		"negative capacity": {Epoch: 1, Agent: "agent", Worker: &negative},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := json.Marshal(&r)
			is.NoErr(err)
			w := httptest.NewRecorder()
			c.s.peerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, agent.ReportPath, bytes.NewReader(b)))
			is.Equal(w.Code, http.StatusBadRequest)
		})
	}
}

// A change of the ownership that the slower watch of all keys delivers after the watch of
// the lease must not bring an earlier owner back, nor may a malformed one remove the owner.
func TestEarlierOwnershipIsNotRestored(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	owner := func(epoch int64) job.Ownership {
		return job.Ownership{Epoch: epoch, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(epoch))}
	}
	s.mirror.apply(t.Context(), platform.Item{Key: job.KeyOwnerLease, Value: mustJSON(owner(7)), Revision: 20})
	for _, value := range []string{string(mustJSON(owner(6))), `{"epoch":9,"address":7}`, `null`, `[]`} {
		s.mirror.apply(t.Context(), platform.Item{Key: job.KeyOwner, Value: []byte(value), Revision: 10})
		o, _ := s.mirror.ownership()
		is.Equal(o, owner(7))
	}
}
