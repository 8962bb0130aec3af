package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var wideStep = job.Step{Tasks: 20, Need: job.Resources{Processors: 7000, Memory: 1}, Estimate: 2 * time.Second, BestEffort: true}

// crowdedCell returns a cell whose forecast refuses jobs of wideStep: those that it
// accepted when the forecast was as late came to nothing.
func crowdedCell(epoch int64, now time.Time) *job.Cell {
	c := job.New(epoch, now.Add(-time.Minute))
	c.SetConfiguration(admissionConfiguration())
	earlier := now.Add(-20 * time.Second)
	for _, first := range []int{2000, 3000} {
		addCrowd(c, earlier, first, 40)
		c.ConfirmOwnership(earlier)
		c.Forecast(earlier)
	}
	c.Receive(&job.Report{Agent: "agent", Process: 1, Epoch: epoch, Listed: true, Clock: time.Second,
		Worker: &job.Worker{ID: "i", Incarnation: 1, Service: "svc", Capacity: job.Resources{Processors: 16000, Memory: 64000}}}, now)
	c.ConfirmOwnership(now)
	addCrowd(c, now, 1000, 40)
	c.Tick(now)
	return c
}

// addCrowd adds n jobs of wideStep.
func addCrowd(c *job.Cell, now time.Time, first, n int) {
	for i := range n {
		c.Add(job.Job{ID: fmt.Sprintf("%016x", first+i), Queue: "jobs.example/jobs/", Accepted: now, Steps: []job.Step{wideStep}}, now)
	}
}

func admissionConfiguration() *job.Configuration {
	return &job.Configuration{Version: 5, Queues: []job.Queue{{Host: "jobs.example", Prefix: "/jobs/", Service: "svc", Priority: 2, Stretch: 2, Target: time.Second}}}
}

// admissionTest has an entry whose newest forecast refuses jobs of wideStep, and its
// owner. Both count their calls to the store.
type admissionTest struct {
	*relayTest
	storeCalls atomic.Int64
}

func newAdmissionTest(t testing.TB) *admissionTest {
	x := &admissionTest{relayTest: newRelayTest(t)}
	inner := x.entryStore.handler
	x.entryStore.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.storeCalls.Add(1)
		inner.ServeHTTP(w, r)
	})
	for _, s := range []*Scheduler{x.entry, x.owner} {
		s.admission = newAdmission()
		s.mirror.cfg.Store(admissionConfiguration())
	}
	x.owner.mirror.isOwner.Store(true)
	x.publish(t, time.Now())
	_, err := x.entry.postNotice(t.Context(), x.entry.mirror.owner, &notice{ID: "00000000000000ff"}, false)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func (x *admissionTest) publish(t testing.TB, now time.Time) {
	f, ok := crowdedCell(1, now).Forecast(now)
	if !ok {
		t.Fatal("the cell has no forecast")
	}
	x.owner.admission.publish(&f, now)
}

func (x *admissionTest) submit(body string) *httptest.ResponseRecorder {
	return send(x.entryCaller, http.MethodPost, "/jobs/"+testID, body)
}

var wideBody = encodeJob("x", wideStep)

// A refused job is not stored, costs no call to the store, and its caller is told when
// to return.
func TestRefusalByForecast(t *testing.T) {
	is := is.New(t)
	x := newAdmissionTest(t)
	var log bytes.Buffer
	x.entry.log = hclog.New(&hclog.LoggerOptions{Output: &log})
	w := x.submit(wideBody)
	is.True(strings.Contains(log.String(), "event=7002") && strings.Contains(log.String(), "no-room: forecast=wait"))
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.True(strings.Contains(w.Body.String(), "no-room"))
	after, err := strconv.Atoi(w.Header().Get("Retry-After"))
	is.NoErr(err)
	is.True(after >= 1 && after <= 30)
	is.Equal(x.storeCalls.Load(), int64(0))
	_, _, err = x.store.Get(job.JobKey(testID))
	is.True(err != nil)
	w = x.submit(encodeJob("x", job.Step{Tasks: 1, Need: job.Resources{Processors: 17000, Memory: 1}, Estimate: time.Second, BestEffort: true}))
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.True(strings.Contains(w.Body.String(), "cannot-be-placed"))
	is.Equal(x.submit(testBody).Code, http.StatusOK) // a job of another kind than that of the forecast
}

// The owner's own entry decides by the forecast of its cell.
func TestOwnerRefusesByItsOwnForecast(t *testing.T) {
	is := is.New(t)
	x := newAdmissionTest(t)
	x.owner.receiveForecast(x.owner.admission.forecast(time.Now()), time.Now())
	is.Equal(send(x.owner.callerHandler(), http.MethodPost, "/jobs/"+testID, wideBody).Code, http.StatusTooManyRequests)
}

// A job that may be stored must not be refused, as its caller would take it for not
// accepted. Each case is a repeat of which the mirror of the entry does not know.
func TestRepeatIsNotRefused(t *testing.T) {
	for name, attempt := range map[string]func(*testing.T, *admissionTest){
		"the answer of another entry was lost": func(t *testing.T, x *admissionTest) {
			other, h := newTestScheduler(t, platformtest.StoreHandler(x.store))
			other.admission = newAdmission()
			other.mirror.owner = x.entry.mirror.owner
			is.New(t).Equal(send(h, http.MethodPost, "/jobs/"+testID, wideBody).Code, http.StatusOK)
			x.awaitKnown(t)
		},
		"another entry ended while its write was under way": func(t *testing.T, x *admissionTest) {
			other, _ := newTestScheduler(t, platformtest.StoreHandler(x.store))
			other.admission = newAdmission()
			other.mirror.owner = x.entry.mirror.owner
			other.announce(testID)
			x.awaitKnown(t)
		},
		"a relayed request got no answer": func(t *testing.T, x *admissionTest) {
			body := mustJSON(&relayRequest{Job: &job.Job{ID: testID, Queue: "jobs.example/jobs/", Steps: []job.Step{wideStep}}, Timeout: time.Second})
			resp, err := http.Post(x.ownerServer.URL+relayPath, "application/json", strings.NewReader(string(body)))
			is.New(t).NoErr(err)
			is.New(t).NoErr(resp.Body.Close())
		},
		"the job was stored before the owner took over": func(t *testing.T, x *admissionTest) {
			x.store.Put(job.JobKey(testID), []byte("{}"))
			x.owner.admission.recordLoaded(loadedState{items: []platform.Item{{Key: job.JobKey(testID)}}}, time.Now())
		},
		"this entry does not know the outcome": func(t *testing.T, x *admissionTest) {
			x.entry.admission.known.record(testID, time.Now())
		},
		"the owner has forgotten jobs": func(t *testing.T, x *admissionTest) {
			for i := range maxBegunWrites + 1 {
				x.owner.admission.known.record(strconv.Itoa(i), time.Now())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newAdmissionTest(t)
			attempt(t, x)
			is.Equal(x.submit(wideBody).Code, http.StatusOK)
			_, _, err := x.store.Get(job.JobKey(testID))
			is.NoErr(err)
		})
	}
}

// awaitKnown waits until the owner has the announcement of the job.
func (x *admissionTest) awaitKnown(t *testing.T) {
	for !x.owner.admission.known.mayBeStored(testID, time.Now()) {
		if t.Context().Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// One failure each: where nobody confirms the refusal, the job is accepted.
func TestUnconfirmedRefusalAccepts(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *admissionTest){
		"the owner dies":                     func(_ *testing.T, x *admissionTest) { x.ownerServer.Close() },
		"the owner loses the ownership":      func(_ *testing.T, x *admissionTest) { x.owner.mirror.isOwner.Store(false) },
		"the owner has no forecast any more": func(_ *testing.T, x *admissionTest) { x.owner.admission.retract() },
		"the forecast of the owner is stale": func(t *testing.T, x *admissionTest) { x.publish(t, time.Now().Add(-job.MaxForecastAge-1)) },
		"the entry follows a later owner":    func(_ *testing.T, x *admissionTest) { x.entry.mirror.owner.Epoch++ },
		"the owner has no admission":         func(_ *testing.T, x *admissionTest) { x.owner.admission = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newAdmissionTest(t)
			fail(t, x)
			is.Equal(x.submit(wideBody).Code, http.StatusOK)
		})
	}
}

// A malformed forecast in a reply is ignored.
func TestMalformedForecastIsIgnored(t *testing.T) {
	is := is.New(t)
	x := newAdmissionTest(t)
	x.entry.admission = newAdmission()
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"epoch":1,"forecast":{"epoch":1,"age-ns":0,"entries":1,"queues":"AAAA"}}`)
	}))
	t.Cleanup(owner.Close)
	x.entry.mirror.owner.Address = netip.MustParseAddrPort(strings.TrimPrefix(owner.URL, "http://"))
	_, err := x.entry.postNotice(t.Context(), x.entry.mirror.owner, &notice{ID: testID}, false)
	is.NoErr(err)
	is.Equal(x.submit(wideBody).Code, http.StatusOK)
	is.True(!x.entry.admission.ignoredAt.IsZero())
}

// Without admission, an entry sends one notice for each job, without a parameter, and
// an owner replies with an empty object, whatever it is asked for.
func TestNothingChangesWithoutAdmission(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 4)
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.String()
		fmt.Fprint(w, "{}")
	}))
	t.Cleanup(owner.Close)
	s, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	s.mirror.owner = job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(owner.URL, "http://"))}
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	is.Equal(<-requests, noticePath)
	select {
	case r := <-requests:
		t.Errorf("second request %s", r)
	case <-time.After(50 * time.Millisecond):
	}
	s.mirror.isOwner.Store(true)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, noticePath+"?forecast=true", strings.NewReader(`{"id":"`+testID+`","revision":0}`))
	r.Header.Set("Content-Type", "application/json")
	s.peerHandler().ServeHTTP(w, r)
	is.Equal(strings.TrimSpace(w.Body.String()), "{}")
}

// An entry asks for a forecast with its first notice, and again after
// job.ForecastInterval.
func TestForecastIsAskedForAtItsInterval(t *testing.T) {
	is := is.New(t)
	x := newAdmissionTest(t)
	is.True(!x.entry.admission.askForecast(time.Now()))
	is.True(x.entry.admission.askForecast(time.Now().Add(job.ForecastInterval)))
	for _, asked := range []bool{true, false} {
		b, err := json.Marshal(x.owner.answerNotice(&notice{ID: testID}, netip.MustParseAddr("10.0.0.1"), false, asked))
		is.NoErr(err)
		is.Equal(strings.Contains(string(b), "forecast"), asked)
	}
}
