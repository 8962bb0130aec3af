package scheduler

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// lateStore is a store that may carry out a write of a key later, without an answer to it.
type lateStore struct {
	*fleet.Store
	// late are the writes without an answer, in the order of their arrival.
	late []platform.Transaction
	// loses reports whether the answer to a write is lost and the write is late.
	loses func(platform.Transaction) bool
	// refuses is true while the store refuses all writes without effect.
	refuses bool
}

func (s *lateStore) Commit(c platform.Transaction) (int64, []platform.Item, error) {
	if s.refuses {
		return 0, nil, platform.ErrNoEffect
	}
	if s.loses != nil && s.loses(c) {
		s.late = append(s.late, c)
		return 0, nil, platformtest.ErrDropConnection
	}
	return s.Store.Commit(c)
}

// carryOutLate carries out the late writes, and returns how many took effect.
func (s *lateStore) carryOutLate() (effective int) {
	for _, c := range s.late {
		if _, _, err := s.Store.Commit(c); err == nil {
			effective++
		}
	}
	s.late = nil
	return effective
}

// writesKey returns a function that reports whether a transaction writes a key with the prefix.
func writesKey(prefix string) func(platform.Transaction) bool {
	return func(c platform.Transaction) bool {
		return len(c.Writes) > 0 && strings.HasPrefix(c.Writes[0].Key, prefix)
	}
}

// newEntries returns two entries with the same store, as the handlers for client accounts.
func newEntries(t *testing.T, store platformtest.Store) (a, b http.Handler) {
	_, a = newTestScheduler(t, platformtest.StoreHandler(store))
	_, b = newTestScheduler(t, platformtest.StoreHandler(store))
	return a, b
}

// A job whose write is carried out only after its cancellation was answered must not run: the
// client account was told that no such job exists, and nobody cancels it again.
func TestLateSubmissionAfterCancellation(t *testing.T) {
	is := is.New(t)
	store := &lateStore{Store: fleet.NewStore(), loses: writesKey(job.JobKey(testID))}
	a, b := newEntries(t, store)
	is.Equal(send(a, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
	is.True(len(store.late) > 0)
	is.Equal(send(b, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusGone)
	is.Equal(store.carryOutLate(), 0)
	_, _, err := store.Get(job.JobKey(testID))
	is.True(err != nil) // the store has no live job
	is.Equal(send(b, http.MethodGet, "/jobs/"+testID, "").Code, http.StatusGone)
	is.Equal(send(b, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusGone)
}

// A submission that arrives after the cancellation of its job is accepted as cancelled: it never
// runs, and from then on its state is told.
func TestSubmissionAfterCancellation(t *testing.T) {
	is := is.New(t)
	store := &lateStore{Store: fleet.NewStore()}
	a, b := newEntries(t, store)
	is.Equal(send(b, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusGone)
	for range 2 {
		w := send(a, http.MethodPost, "/jobs/"+testID, testBody)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), `{"state":"cancelled"}`)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		w := send(b, method, "/jobs/"+testID, "")
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), `{"state":"cancelled"}`)
	}
	_, _, err := store.Get(job.JobKey(testID))
	is.True(err != nil) // the store has no live job
}

// The cancellation of a job that the store does not have must not be answered with 410 before it
// is certain that the job is never stored.
func TestUnknownWithdrawalIsNotGone(t *testing.T) {
	is := is.New(t)
	store := &lateStore{Store: fleet.NewStore(), loses: writesKey(job.FinalKey(testID))}
	a, b := newEntries(t, store)
	is.Equal(send(b, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusGatewayTimeout)
	store.loses = nil
	is.Equal(send(a, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	is.Equal(store.carryOutLate(), 0) // the late withdrawal does not end the accepted job
	is.Equal(send(a, http.MethodGet, "/jobs/"+testID, "").Body.String(), `{"state":"queued"}`)
}

// A withdrawal whose own answer was lost is answered with 410 by the next attempt.
func TestWithdrawalWithLostAnswer(t *testing.T) {
	is := is.New(t)
	lost := false
	store := &lateStore{Store: fleet.NewStore()}
	store.loses = func(c platform.Transaction) bool {
		if lost || !writesKey(job.FinalKey(testID))(c) {
			return false
		}
		lost = true
		_, _, err := store.Store.Commit(c)
		is.NoErr(err)
		return true
	}
	_, b := newEntries(t, store)
	is.Equal(send(b, http.MethodDelete, "/jobs/"+testID, "").Code, http.StatusGone)
	is.True(lost)
}

// handlerTransport answers calls by a handler in the same process, without a network.
type handlerTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (x handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("connection dropped")
		}
	}()
	x.handler.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// newEntryInProcess returns an entry that reaches the store without a network, with its handler
// for client accounts.
func newEntryInProcess(store platformtest.Store) (*Scheduler, http.Handler) {
	s := New(platform.Settings{Name: "entry", CPUShare: 1}, hclog.NewNullLogger())
	s.store = platform.NewStore(&http.Client{Transport: handlerTransport{platformtest.StoreHandler(store)}}, netip.MustParseAddrPort("127.0.0.1:1"))
	s.mirror.store = s.store
	s.mirror.cfg.Store(&job.Configuration{Version: 5, Queues: []job.Queue{{Host: "jobs.example", Prefix: "/jobs/", Service: "svc"}}})
	return s, s.callerHandler()
}

// In simulated time, with each write of a submission carried out between 1 and 6 s late: a job
// whose cancellation was answered with 410 is known to no later owner, whenever the submission
// and the cancellation come.
func TestNoOwnerLoadsWithdrawnJob(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lateness := time.Duration(rapid.IntRange(1000, 6000).Draw(rt, "lateness in ms")) * time.Millisecond
		gap := time.Duration(rapid.IntRange(0, 7000).Draw(rt, "gap in ms")) * time.Millisecond
		answered := rapid.Bool().Draw(rt, "the withdrawal is answered")
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &lateStore{Store: fleet.NewStore()}
			store.loses = func(c platform.Transaction) bool {
				if writesKey(job.JobKey(testID))(c) || !answered && writesKey(job.FinalKey(testID))(c) {
					time.AfterFunc(lateness, func() {
						if _, _, err := store.Store.Commit(c); err != nil && !errors.Is(err, platform.ErrConflict) {
							t.Error(err)
						}
					})
					return true
				}
				return false
			}
			_, a := newEntryInProcess(store)
			s, b := newEntryInProcess(store)
			is.Equal(send(a, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
			time.Sleep(gap)
			code := send(b, http.MethodDelete, "/jobs/"+testID, "").Code
			time.Sleep(10 * time.Second)
			items, revision, err := listAll(t.Context(), s.store, job.KeyRoot)
			is.NoErr(err)
			c := newControl(s)
			c.session = &ownerSession{ownership: job.Ownership{Epoch: 1}, done: make(chan struct{})}
			c.startSession(loadedState{session: c.session, items: items, revision: revision, began: time.Now()})
			switch code {
			case http.StatusGone:
				is.Equal(c.cell.Len(), 0)
			case http.StatusOK:
				writes := c.cell.PendingWrites(time.Now(), platform.MaxTransactionSize)
				is.Equal(len(writes.Finals), 1)
				is.Equal(writes.Finals[0].State, job.Cancelled)
			default:
				is.Equal(code, http.StatusGatewayTimeout) // it promises nothing
			}
		})
	})
}

// A submission of which an earlier attempt may still be stored must not be refused with 503, which
// says that the job never runs, although the present attempt had no effect.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	is := is.New(t)
	store := &lateStore{Store: fleet.NewStore(), loses: writesKey(job.JobKey(testID))}
	_, h := newTestScheduler(t, platformtest.StoreHandler(store))
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
	store.refuses = true
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusGatewayTimeout)
	is.Equal(send(h, http.MethodPost, "/jobs/00000000000000bb", testBody).Code, http.StatusServiceUnavailable)
	is.Equal(store.carryOutLate(), 1) // the job of the first attempt runs
}
