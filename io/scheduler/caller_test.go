package scheduler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/core/connection"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const testID = "00000000000000aa"

// encodeJob returns the request body that submits a job with the given payload
// and steps.
func encodeJob(payload string, steps ...job.Step) string {
	b, err := platformtest.EncodeJob(job.Job{Payload: payload, Steps: steps})
	if err != nil {
		panic(err)
	}
	return string(b)
}

var testBody = encodeJob("x", job.Step{Tasks: 1, Need: job.Resources{Processors: 100, Memory: 1}})

// newTestScheduler returns a scheduler with one queue, whose store is served by
// h, and the handler of the scheduler for client accounts.
func newTestScheduler(t testing.TB, h http.Handler) (*Scheduler, http.Handler) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	cfg := platform.Settings{Name: "entry", IP: netip.MustParseAddr("127.0.0.1"), CPUShare: 1,
		StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	s := New(cfg, hclog.NewNullLogger())
	s.mirror.cfg.Store(&job.Configuration{Version: 5, Queues: []job.Queue{{Host: "jobs.example", Prefix: "/jobs/", Service: "svc"}}})
	return s, s.callerHandler()
}

// send sends a request of a client account with a timeout of 600 ms.
func send(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	return sendWithin(600*time.Millisecond, h, method, path, body)
}

// sendWithin sends a request of a client account with a timeout of d.
func sendWithin(d time.Duration, h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "jobs.example"
	platformtest.SetTimeout(r.Header, d)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestAcceptedOnceStored(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	s, h := newTestScheduler(t, platformtest.StoreHandler(store))
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Code, http.StatusGone)
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	_, _, err := store.Get(job.JobKey(testID))
	is.NoErr(err)
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK) // repeating the submission does not add a job
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
	is.Equal(s.mirror.countPending("jobs.example/jobs/"), 1)
	is.Equal(send(h, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusOK)
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"cancelled"}`)
	is.Equal(send(h, http.MethodDelete, "/jobs/00000000000000bb", "").Code, http.StatusGone)
}

// Submitting a job again after its end does not create another job.
func TestResubmitAfterEnd(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	store.Put(job.FinalKey(testID), mustJSON(job.Final{ID: testID, State: job.Done}))
	_, h := newTestScheduler(t, platformtest.StoreHandler(store))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	_, _, err := store.Get(job.JobKey(testID))
	is.True(err != nil)
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"done"}`)
}

// The response 503 means that the request had no effect. It must not be given
// if an earlier attempt of the write may have taken effect.
func TestUnavailableMeansNoEffect(t *testing.T) {
	is := is.New(t)
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	_, h := newTestScheduler(t, http.HandlerFunc(refuse))
	w := send(h, http.MethodPost, "/jobs/"+testID, testBody)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")

	var n atomic.Int64
	_, h = newTestScheduler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			panic(http.ErrAbortHandler) // the write may have taken effect
		}
		refuse(w, r)
	}))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
}

// The last attempt of a client account has a short timeout. It must succeed if
// the store answers.
func TestShortDeadlineIsServed(t *testing.T) {
	is := is.New(t)
	_, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	is.Equal(sendWithin(100*time.Millisecond, h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
}

// A submission whose deadline passes before the first call to the store has
// certainly not been stored, and its error must say so.
func TestDeadlinePassedBeforeFirstCall(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := s.commitWithRetry(ctx, platform.Transaction{})
	is.True(errors.Is(err, platform.ErrNoEffect))
}

// A submission succeeds if the write takes effect but the response of the store
// is lost.
func TestLostStoreResponse(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	inner := platformtest.StoreHandler(store)
	var n atomic.Int64
	_, h := newTestScheduler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
}

func TestInvalidRequests(t *testing.T) {
	_, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	for _, c := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{http.MethodPost, "/jobs/" + testID, `{`, http.StatusBadRequest, "malformed-json"},
		{http.MethodPost, "/jobs/" + testID, encodeJob("x"), http.StatusBadRequest, "missing-field"},
		{http.MethodPost, "/jobs/" + testID, encodeJob("x", job.Step{}), http.StatusBadRequest, "out-of-range"},
		{http.MethodPost, "/jobs/" + testID, encodeJob("x", job.Step{Tasks: 1, After: []int{0}}), http.StatusBadRequest, "out-of-range"},
		{http.MethodPost, "/jobs/xyz", testBody, http.StatusBadRequest, "bad-name"},
		{http.MethodPost, "/none/" + testID, testBody, http.StatusNotFound, "not-found"},
		{http.MethodPut, "/jobs/" + testID, testBody, http.StatusMethodNotAllowed, "method-not-allowed"},
		{http.MethodPost, "/jobs/" + testID, encodeJob(strings.Repeat("x", defaultMaxBodyBytes)), http.StatusRequestEntityTooLarge, "body-too-large"},
	} {
		w := send(h, c.method, c.path, c.body)
		if w.Code != c.code || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s %.40s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
}

// An entry never replaces a configuration by an older one, whatever the order
// of their arrival.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	s, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, version := range []int64{9, 7, 5} {
		b, err := platformtest.EncodeConfiguration(job.Configuration{Version: version})
		is.NoErr(err)
		s.mirror.setConfiguration(ctx, b)
		is.Equal(s.mirror.cfg.Load().Version, int64(9))
	}
	s.mirror.setConfiguration(ctx, []byte("not a configuration"))
	is.Equal(s.mirror.cfg.Load().Version, int64(9))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusNotFound) // version 9 has no queues
}

func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	s, h := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	s.mirror.cfg.Store(nil)
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusServiceUnavailable)
	w := httptest.NewRecorder()
	s.readinessHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.ReadinessPath, nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
}

// The outcome of a journal write without an answer is determined from the
// journal's item.
func TestResolveConflict(t *testing.T) {
	is := is.New(t)
	journalItems := func(position job.JournalPosition) []platform.Item {
		return []platform.Item{{Key: job.KeyJournal, Value: mustJSON(position), Revision: 8}}
	}
	revision, err := resolveConflict(journalItems(job.JournalPosition{Epoch: 2, Number: 4}), job.JournalPosition{Epoch: 2, Number: 5}, 6)
	is.Equal(revision, int64(8))
	is.Equal(err, errNotWritten)
	_, err = resolveConflict(journalItems(job.JournalPosition{Epoch: 3}), job.JournalPosition{Epoch: 2, Number: 5}, 6)
	is.Equal(err, errSuperseded)
	_, err = resolveConflict(nil, job.JournalPosition{Epoch: 2}, 6)
	is.Equal(err, errSuperseded)
	cancelled := []platform.Item{{Key: job.CancelledKey(testID), Revision: 7}, {Key: job.CancelledKey("00000000000000bb")}}
	revision, err = resolveConflict(cancelled, job.JournalPosition{Epoch: 2}, 6)
	is.Equal(revision, int64(6))
	is.Equal(err, errNotWritten)
	is.Equal(cancelledIn(cancelled), []string{testID})
}

// The state of a job is the newest one in the store, although the mirror reads
// changes in batches. If the store does not answer, it is that of the mirror.
func TestStateIsNewerThanMirror(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	_, h := newTestScheduler(t, platformtest.StoreHandler(store))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
	store.SetFaults(fleet.StoreFaults{Down: true})
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
	store.SetFaults(fleet.StoreFaults{})
	store.Put(job.FinalKey(testID), mustJSON(job.Final{ID: testID, State: job.Done}))
	is.Equal(send(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"done"}`)
}

// A submission for which there is no room may repeat one that was stored. Its refusal must
// not say that the job never runs, and tells when to come back.
func TestOverloadRefusesSubmissionWithoutPromise(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	limits := connection.Limits{Connections: 8, Bytes: 64 << 10, ConnectionBytes: 8 << 10, BodyTimeout: time.Minute, ResponseTimeout: time.Minute}
	l, err := httpjson.Listen(netip.MustParseAddrPort("127.0.0.1:0"), s.callerHandler(),
		httpjson.WithLimiter(httpjson.NewLimiter(limits, hclog.NewNullLogger(), httpjson.Share{Listener: "front", Percent: 100}), "front"))
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- l.Serve() }()
	t.Cleanup(func() {
		_ = l.Stop(context.Background())
		is.NoErr(<-served)
	})
	// The oldest incomplete request pays for the others.
	var conns []net.Conn
	for n := range 4 {
		c, err := net.Dial("tcp", l.Address().String())
		is.NoErr(err)
		defer c.Close()
		fmt.Fprintf(c, "POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 30000\r\n\r\n%s", n, strings.Repeat(" ", 12_000))
		conns = append(conns, c)
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(conns[0].SetReadDeadline(time.Now().Add(10 * time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	is.NoErr(err)
	defer r.Body.Close()
	var e wire.ErrorBody
	is.NoErr(json.NewDecoder(r.Body).Decode(&e))
	is.Equal(r.StatusCode, http.StatusGatewayTimeout)
	is.Equal(e.Code, status.ErrOverloaded.Code())
	is.True(r.Header.Get("Retry-After") != "")
}
