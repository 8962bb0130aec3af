package scheduler

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// earlierJob and earlierRelay are the forms of a job and of a relay in builds without
// fair shares.
type earlierJob struct {
	ID       string          `json:"id"`
	Queue    string          `json:"queue"`
	Payload  string          `json:"payload,omitempty"`
	Steps    json.RawMessage `json:"steps"`
	Accepted time.Time       `json:"accepted"`
	Terms    struct {
		Host    string `json:"host,omitempty"`
		Prefix  string `json:"prefix,omitempty"`
		Service string `json:"service"`
	} `json:"terms,omitzero"`
}

type earlierRelay struct {
	Job     *earlierJob   `json:"job,omitempty"`
	Timeout time.Duration `json:"timeout-ns"`
}

// storedJob submits a job and returns its stored form.
func storedJob(t *testing.T, zone string, options ...Option) []byte {
	is := is.New(t)
	store := fleet.NewStore()
	s, h := newTestScheduler(t, platformtest.StoreHandler(store))
	s.cfg.Zone = zone
	for _, o := range options {
		o(s)
	}
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	value, _, err := store.Get(job.JobKey(testID))
	is.NoErr(err)
	return value.Value
}

// Guards against a stored form that an entry of an earlier build, or one of this build,
// cannot read or changes.
func TestStoredJobsOfTwoBuilds(t *testing.T) {
	is := is.New(t)
	var earlier earlierJob
	off := storedJob(t, "b")
	is.NoErr(wire.Unmarshal(off, &earlier)) // no field that the earlier build does not know
	is.Equal(string(mustJSON(&earlier)), string(off))
	var j job.Job
	is.NoErr(json.Unmarshal(mustJSON(&earlier), &j)) // written by the earlier build
	is.Equal(j.Zone, "")
	is.Equal(string(mustJSON(&j)), string(off))

	on := storedJob(t, "b", WithFairShares())
	is.NoErr(json.Unmarshal(on, &earlier)) // the earlier build ignores the zone
	is.NoErr(json.Unmarshal(on, &j))
	is.Equal(j.Zone, "b")
	is.Equal(strings.Replace(string(on), `,"zone":"b"`, "", 1), string(mustJSON(&earlier)))
}

// Guards against the loss of the zone of a relayed job.
func TestRelayedJobKeepsItsZone(t *testing.T) {
	is := is.New(t)
	x := newRelayTest(t)
	WithFairShares()(x.entry)
	x.entry.cfg.Zone, x.owner.cfg.Zone = "b", "a"
	x.cutOff(t, x.entry, x.entryStore, cutBusy)
	is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	value, _, err := x.store.Get(job.JobKey(testID))
	is.NoErr(err)
	var j job.Job
	is.NoErr(json.Unmarshal(value.Value, &j))
	is.Equal(j.Zone, "b")
}

// Guards against relays that an entry of an earlier build refuses: it knows neither the
// zone nor the weight, and refuses unknown fields.
func TestEarlierBuildTakesRelayedJob(t *testing.T) {
	is := is.New(t)
	x := newRelayTest(t)
	WithFairShares()(x.entry)
	x.entry.cfg.Zone = "b"
	cfg := *x.entry.mirror.cfg.Load()
	cfg.Queues[0].Weight, cfg.Queues[0].BaseValue, cfg.Queues[0].MaxValue = 2, 0.5, 2
	x.entry.mirror.cfg.Store(&cfg)
	var taken *earlierJob
	e := httpjson.NewServer()
	e.POST(relayPath, func(c echo.Context) error {
		var r earlierRelay
		if err := httpjson.Decode(c, &r); err != nil {
			return err
		}
		taken = r.Job
		return c.JSON(http.StatusOK, &relayReply{})
	})
	x.ownerServer.Config.Handler = e
	x.cutOff(t, x.entry, x.entryStore, cutBusy)
	is.Equal(send(x.entryCaller, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	is.Equal(taken.ID, testID)
}

// Guards against a relayed zone of any length in the store.
func TestRelayRefusesLongZone(t *testing.T) {
	x := newRelayTest(t)
	j := job.Job{ID: testID, Queue: "q", Zone: strings.Repeat("z", maxZoneBytes+1), Steps: []job.Step{{Tasks: 1}}}
	sent, path := forEarlierBuilds(&j)
	err := x.entry.relayClient.Call(t.Context(), http.MethodPost, x.ownerServerAddress, path, &relayRequest{Job: sent, Timeout: time.Second}, nil)
	is.New(t).Equal(status.CodeOf(err), status.ErrOutOfRange.Code())
}
