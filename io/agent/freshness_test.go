package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// handlerTransport is an HTTP transport to a handler of the same process.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// useStore gives the agent a store in which epoch 1 has the ownership, and runs
// confirmLoop until the test ends.
func (a *testAgent) useStore(t *testing.T) *fleet.Store {
	s := fleet.NewStore()
	putOwner(t, s, 1)
	a.store = platform.NewStore(&http.Client{Transport: handlerTransport{platformtest.StoreHandler(s)}}, netip.MustParseAddrPort("127.0.0.1:2"))
	a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort("127.0.0.1:3")})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = a.confirmLoop(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return s
}

func putOwner(t *testing.T, s *fleet.Store, epoch int64) {
	b, err := json.Marshal(job.Ownership{Epoch: epoch, Address: netip.MustParseAddrPort("127.0.0.1:3")})
	is.New(t).NoErr(err)
	s.Put(job.KeyOwner, b)
}

// receiveStart delivers the start of a task in a reply with the given freshness.
func (a *testAgent) receiveStart(task string, f job.Freshness) {
	a.next++
	r := testReply(testOrder(a.next, job.OrderStart))
	r.Orders[0].Task, r.Freshness = task, &f
	a.apply(r)
}

// An agent that hears nothing from the owner must not start what the owner may have
// withdrawn, however long its worker answered nothing.
func TestNoStartLongAfterLastReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		receivedAt := time.Now()
		for n := range 40 {
			a.receiveStart(testTask(n), job.Freshness{})
		}
		time.Sleep(5 * time.Second)
		a.worker.setSilent(false)
		time.Sleep(5 * time.Second)
		is.True(a.worker.last(job.OrderStart).After(receivedAt))
		is.True(a.worker.last(job.OrderStart).Sub(receivedAt) <= maxOrdersAge)
	})
}

// Replies that arrive meanwhile keep the waiting starts recent.
func TestStartsWaitWhileOwnerReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		for n := range 40 {
			a.receiveStart(testTask(n), job.Freshness{})
		}
		time.Sleep(maxOrdersAge - 100*time.Millisecond)
		is.True(a.worker.first(job.OrderStart, testTask(39)).IsZero())
		a.worker.setSilent(false)
		a.receive(job.OrderStop) // a reply without orders
		time.Sleep(time.Second)
		is.True(!a.worker.first(job.OrderStart, testTask(39)).IsZero())
	})
}

// A reply is as old as the time that passed before the owner received the report, and
// its knowledge of cancellations as old as the owner says. A reply without some of the
// orders tells nothing, since it may lack a stop.
func TestFreshnessOfReplies(t *testing.T) {
	is := is.New(t)
	sentAt := time.Unix(1000, 0)
	now := sentAt.Add(2 * time.Second)
	var f freshness
	f.apply(&job.Freshness{Partial: true}, sentAt, now)
	is.Equal(f, freshness{})
	f.apply(&job.Freshness{Held: time.Second, CancellationsAge: 300 * time.Millisecond}, sentAt, now)
	is.Equal(f, freshness{ordersCompleteAt: sentAt.Add(time.Second), cancellationsKnownAt: sentAt.Add(700 * time.Millisecond)})
	f.apply(&job.Freshness{CancellationsAge: time.Hour}, sentAt, now) // overtaken by the other reply
	is.Equal(f, freshness{ordersCompleteAt: sentAt.Add(time.Second), cancellationsKnownAt: sentAt.Add(700 * time.Millisecond)})
	f.apply(nil, sentAt, now)
	is.Equal(f, freshness{ordersCompleteAt: now, cancellationsKnownAt: now})
}

// Settings with a short delay, or none, leave time for starts.
func TestMaxCancellationsAge(t *testing.T) {
	is := is.New(t)
	is.Equal(maxCancellationsAge(3*time.Second), 2*time.Second)
	is.Equal(maxCancellationsAge(0), 2*time.Second)
	is.Equal(maxCancellationsAge(800*time.Millisecond), 400*time.Millisecond)
}

// The owner may not know a cancellation that another entry acknowledged while the
// owner was cut off from the store.
func TestNoStartOfJobThatOnlyTheStoreKnowsAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		s := a.useStore(t)
		s.Put(job.CancelledKey(testTask(1)[:16]), []byte("{}"))
		a.receiveStart(testTask(1), job.Freshness{CancellationsAge: 5 * time.Second})
		a.receiveStart(testTask(2), job.Freshness{CancellationsAge: 5 * time.Second})
		time.Sleep(time.Second)
		is.True(a.worker.first(job.OrderStart, testTask(1)).IsZero())
		is.True(!a.worker.first(job.OrderStart, testTask(2)).IsZero())
	})
}

// What the agent has read also holds for starts that it receives later: the owner, which
// still does not know the cancellation, goes on with the job's other tasks.
func TestNoLaterStartOfJobThatOnlyTheStoreKnowsAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		s := a.useStore(t)
		s.Put(job.CancelledKey(testTask(1)[:16]), []byte("{}"))
		a.receiveStart(testTask(2), job.Freshness{CancellationsAge: 5 * time.Second})
		time.Sleep(100 * time.Millisecond)
		is.True(!a.worker.first(job.OrderStart, testTask(2)).IsZero())
		a.receiveStart(testTask(1), job.Freshness{CancellationsAge: 5 * time.Second})
		time.Sleep(time.Second)
		is.True(a.worker.first(job.OrderStart, testTask(1)).IsZero())
	})
}

// While the store serves nobody, no cancellation is acknowledged, and tasks start.
func TestStartsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		a.useStore(t).SetFaults(fleet.StoreFaults{Down: true})
		a.receiveStart(testTask(1), job.Freshness{CancellationsAge: 5 * time.Second})
		time.Sleep(time.Second)
		is.True(!a.worker.first(job.OrderStart, testTask(1)).IsZero())
	})
}

// The agent learns of a later owner when it reads the cancellations. The final states
// that this owner has stored are not among them.
func TestNoStartOfOwnerThatTheStoreKnowsAsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		putOwner(t, a.useStore(t), 2)
		a.receiveStart(testTask(1), job.Freshness{CancellationsAge: 5 * time.Second})
		time.Sleep(time.Second)
		is.True(a.worker.first(job.OrderStart, testTask(1)).IsZero())
		is.Equal(a.state.report("agent", false, time.Now()).Epoch, int64(2))
	})
}

// slowTransport delivers each call to the worker after a delay.
type slowTransport struct {
	http.RoundTripper
	delay time.Duration
}

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(s.delay)
	return s.RoundTripper.RoundTrip(r)
}

// A call that is still answered in time can take effect at the end of its timeout. A start
// that was sent just before the limit on its age must not take effect after the bound.
func TestNoStartTakesEffectAfterItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorker(true)
		a := newTestAgentWith(t, slowTransport{w, workerCallTimeout * 9 / 10})
		receivedAt := time.Now()
		for n := range 40 {
			a.receiveStart(testTask(n), job.Freshness{})
		}
		time.Sleep(200 * time.Millisecond)
		w.setSilent(false)
		time.Sleep(5 * time.Second)
		is.True(!w.last(job.OrderStart).IsZero())
		is.True(w.last(job.OrderStart).Sub(receivedAt) <= startBound)
	})
}
