package scheduler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	"github.com/pkg/errors"
)

const testID = "00000000000000aa"

// body returns a submission of the given payload and steps.
func body(payload string, steps ...job.Step) string {
	b, err := platformtest.EncodeJob(job.Job{Payload: payload, Steps: steps})
	if err != nil {
		panic(err)
	}
	return string(b)
}

var testBody = body("x", job.Step{Tasks: 1, Need: job.Resources{Processors: 100, Memory: 1}})

// entryOf returns a scheduler whose store answers by h, with one queue.
func entryOf(t *testing.T, h http.Handler) (*Scheduler, http.Handler) {
	st := httptest.NewServer(h)
	t.Cleanup(st.Close)
	cfg := platform.Settings{Name: "entry", IP: netip.MustParseAddr("127.0.0.1"), CPUShare: 1,
		StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(st.URL, "http://"))}
	s := New(cfg, hclog.NewNullLogger())
	s.mirror.cfg.Store(&job.Configuration{Version: 5, Queues: []job.Queue{{Host: "jobs.example", Prefix: "/jobs/", Service: "svc"}}})
	return s, s.callerHandler()
}

// call sends one request of a client account that waits for 600 ms.
func call(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	return callWithin(600*time.Millisecond, h, method, path, body)
}

// callWithin sends one request of a client account that waits for d.
func callWithin(d time.Duration, h http.Handler, method, path, body string) *httptest.ResponseRecorder {
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
	s, h := entryOf(t, platformtest.StoreHandler(store))
	is.Equal(call(h, http.MethodGet, "/jobs/"+testID, "").Code, http.StatusGone)
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	_, _, err := store.Get(job.JobKey(testID))
	is.NoErr(err)
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK) // a repeat is the same job
	is.Equal(call(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
	is.Equal(s.mirror.pending("jobs.example/jobs/"), 1)
	is.Equal(call(h, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusOK)
	is.Equal(call(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"cancelled"}`)
	is.Equal(call(h, http.MethodDelete, "/jobs/00000000000000bb", "").Code, http.StatusGone)
}

// A repeat that comes after the end of a job is not another job.
func TestRepeatAfterTheEnd(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	store.Put(job.FinalKey(testID), mustJSON(job.Final{ID: testID, State: job.Done}))
	_, h := entryOf(t, platformtest.StoreHandler(store))
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	_, _, err := store.Get(job.JobKey(testID))
	is.True(err != nil)
	is.Equal(call(h, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"done"}`)
}

// A refusal that says that nothing was done is never given while a write may
// have been made.
func TestRefusalsAreTrue(t *testing.T) {
	is := is.New(t)
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	_, h := entryOf(t, http.HandlerFunc(refuse))
	w := call(h, http.MethodPost, "/jobs/"+testID, testBody)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")

	var n atomic.Int64
	_, h = entryOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			panic(http.ErrAbortHandler) // the write may have been made
		}
		refuse(w, r)
	}))
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
}

// The last attempt of a caller has little time left; a store that answers is
// fast enough for it.
func TestShortDeadlineIsServed(t *testing.T) {
	is := is.New(t)
	_, h := entryOf(t, platformtest.StoreHandler(fleet.NewStore()))
	is.Equal(callWithin(100*time.Millisecond, h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
}

// A submission whose deadline has passed before the store was called was
// certainly not stored, and its refusal says so.
func TestExpiredBeforeTheFirstCall(t *testing.T) {
	is := is.New(t)
	s, _ := entryOf(t, platformtest.StoreHandler(fleet.NewStore()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.commitForCaller(ctx, platform.Transaction{})
	is.True(errors.Is(err, platform.ErrNoEffect))
}

// An answer that is lost after the write took effect ends in success.
func TestLostAnswerIsResolved(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	inner := platformtest.StoreHandler(store)
	var n atomic.Int64
	_, h := entryOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
}

func TestBadInputIsCoded(t *testing.T) {
	_, h := entryOf(t, platformtest.StoreHandler(fleet.NewStore()))
	for _, c := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{http.MethodPost, "/jobs/" + testID, `{`, http.StatusBadRequest, "malformed-json"},
		{http.MethodPost, "/jobs/" + testID, body("x"), http.StatusBadRequest, "missing-field"},
		{http.MethodPost, "/jobs/" + testID, body("x", job.Step{}), http.StatusBadRequest, "out-of-range"},
		{http.MethodPost, "/jobs/" + testID, body("x", job.Step{Tasks: 1, After: []int{0}}), http.StatusBadRequest, "out-of-range"},
		{http.MethodPost, "/jobs/xyz", testBody, http.StatusBadRequest, "bad-name"},
		{http.MethodPost, "/none/" + testID, testBody, http.StatusNotFound, "not-found"},
		{http.MethodPut, "/jobs/" + testID, testBody, http.StatusMethodNotAllowed, "method-not-allowed"},
		{http.MethodPost, "/jobs/" + testID, body(strings.Repeat("x", defaultMaxBody)), http.StatusRequestEntityTooLarge, "body-too-large"},
	} {
		w := call(h, c.method, c.path, c.body)
		if w.Code != c.code || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s %.40s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
}

// No entry goes back to an older configuration, whatever order they arrive in.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s, h := entryOf(t, platformtest.StoreHandler(fleet.NewStore()))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, version := range []int64{9, 7, 5} {
		b, err := platformtest.EncodeConfiguration(job.Configuration{Version: version})
		is.NoErr(err)
		s.mirror.configure(ctx, b)
		is.Equal(s.mirror.cfg.Load().Version, int64(9))
	}
	s.mirror.configure(ctx, []byte("not a configuration"))
	is.Equal(s.mirror.cfg.Load().Version, int64(9))
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusNotFound) // version 9 dropped the queue
}

func TestNoConfigurationYet(t *testing.T) {
	is := is.New(t)
	s, h := entryOf(t, platformtest.StoreHandler(fleet.NewStore()))
	s.mirror.cfg.Store(nil)
	is.Equal(call(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusServiceUnavailable)
	w := httptest.NewRecorder()
	s.readinessHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.ReadinessPath, nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
}

// The outcome of a journal write that went without an answer is told from the
// journal's own item.
func TestJournalTellsWhatBecameOfAWrite(t *testing.T) {
	is := is.New(t)
	item := func(m job.JournalPosition) []platform.Item {
		return []platform.Item{{Key: job.KeyJournal, Value: mustJSON(m), Revision: 8}}
	}
	revision, err := journalNow(item(job.JournalPosition{Epoch: 2, Number: 4}), job.JournalPosition{Epoch: 2, Number: 5})
	is.Equal(revision, int64(8))
	is.Equal(err, errNotWritten)
	_, err = journalNow(item(job.JournalPosition{Epoch: 3}), job.JournalPosition{Epoch: 2, Number: 5})
	is.Equal(err, errDeposed)
	_, err = journalNow(nil, job.JournalPosition{Epoch: 2})
	is.Equal(err, errDeposed)
}
