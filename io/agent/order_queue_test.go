package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// call is a call of an order that reached a testWorker.
type call struct {
	kind job.OrderKind
	task string
	at   time.Time
}

// testWorker is an HTTP transport to a worker that records the calls that reach it. It
// answers no orders while silent is true.
type testWorker struct {
	handler  http.Handler
	mu       sync.Mutex
	silent   bool
	refusal  error // of starts, while not silent
	calls    []call
	renewals []time.Time
	running  []job.Run
}

func newTestWorker(silent bool) *testWorker {
	w := &testWorker{silent: silent}
	w.handler = platformtest.WorkerHandler(w)
	return w
}

func (w *testWorker) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	if dropsConnection(func() { w.handler.ServeHTTP(rec, r) }) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

// dropsConnection calls f and reports whether it aborts the handler.
func dropsConnection(f func()) (dropped bool) {
	defer func() {
		if v := recover(); v != nil {
			dropped = v == http.ErrAbortHandler
		}
	}()
	f()
	return false
}

func (w *testWorker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// record records a call of an order and returns the answer.
func (w *testWorker) record(k job.OrderKind, task string) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call{k, task, time.Now()})
	if w.silent {
		return 0, platformtest.ErrDropConnection
	}
	return time.Second, nil
}

// first returns the time of the first call of a kind for a task, or the zero time if
// there is none.
func (w *testWorker) first(k job.OrderKind, task string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.kind == k && c.task == task {
			return c.at
		}
	}
	return time.Time{}
}

// last returns the time of the last call of a kind.
func (w *testWorker) last(k job.OrderKind) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var at time.Time
	for _, c := range w.calls {
		if c.kind == k {
			at = c.at
		}
	}
	return at
}

func (w *testWorker) Start(s platform.StartRequest) (time.Duration, error) {
	clock, err := w.record(job.OrderStart, s.Task)
	if err == nil {
		err = w.refusal
	}
	return clock, err
}

func (w *testWorker) Stop(_, task string, _, _ int64) (time.Duration, error) {
	return w.record(job.OrderStop, task)
}

func (w *testWorker) Throttle(string, string, int64, int64, int) (time.Duration, error) {
	return time.Second, nil
}

func (w *testWorker) Renew(platform.RenewRequest) (job.RunList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewals = append(w.renewals, time.Now())
	return job.RunList{Incarnation: 100, Clock: time.Second, Running: w.running}, nil
}

// testAgent is an agent in epoch 1 whose orders are executed until the test ends.
type testAgent struct {
	*Agent
	worker *testWorker
	next   int64
}

func newTestAgent(t *testing.T, silent bool) *testAgent {
	w := newTestWorker(silent)
	a := newTestAgentWith(t, w)
	a.worker = w
	return a
}

// newTestAgentWith returns a test agent that calls its worker through transport.
func newTestAgentWith(t *testing.T, transport http.RoundTripper) *testAgent {
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
	a.state, _, _ = newTestState(t)
	a.worker = platform.NewWorker(&http.Client{Transport: transport}, netip.MustParseAddrPort("127.0.0.1:1"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range orderExecutors {
		wg.Go(func() { _ = a.executeAny(ctx) })
	}
	for range stopExecutors {
		wg.Go(func() { _ = a.executeStops(ctx) })
	}
	wg.Go(func() { _ = a.cancelLoop(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return &testAgent{Agent: a}
}

func testTask(n int) string { return fmt.Sprintf("%016x.0.0.0", n) }

// receive delivers orders of a kind for the given tasks in one reply of the owner.
func (a *testAgent) receive(k job.OrderKind, tasks ...string) {
	r := testReply()
	for _, task := range tasks {
		a.next++
		o := testOrder(a.next, k)
		o.Task = task
		r.Orders = append(r.Orders, o)
	}
	a.apply(r)
}

// apply applies a reply that took no time.
func (a *testAgent) apply(r *job.Reply) {
	orders, _ := a.state.applyReply(r, time.Now(), time.Now())
	a.enqueueOrders(orders, r.Epoch)
}

// A start must not wait behind the calls of a worker that answers nothing and be sent
// after the job has been cancelled.
func TestNoStartAfterItsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		for n := range 40 {
			a.receive(job.OrderStart, testTask(n))
		}
		time.Sleep(100 * time.Millisecond)
		last := testTask(39)
		is.True(a.worker.first(job.OrderStart, last).IsZero()) // still waits
		a.receive(job.OrderStop, last)
		time.Sleep(10 * time.Second)
		a.worker.setSilent(false)
		time.Sleep(10 * time.Second)
		is.True(a.worker.first(job.OrderStart, last).IsZero())
		is.True(!a.worker.first(job.OrderStop, last).IsZero())
	})
}

// A start and its stop that arrive in one reply do not race each other.
func TestStartAndStopInOneReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		r := testReply(testOrder(1, job.OrderStart), testOrder(2, job.OrderStop))
		a.apply(r)
		time.Sleep(time.Second)
		is.True(a.worker.first(job.OrderStart, r.Orders[0].Task).IsZero())
		is.True(!a.worker.first(job.OrderStop, r.Orders[0].Task).IsZero())
	})
}

// The first calls of stops do not wait for earlier orders that the worker does not
// answer: a stop may take effect although its answer is lost.
func TestStopsDoNotWaitForUnansweredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		var stopped []string
		for n := range 60 {
			stopped = append(stopped, testTask(n))
			a.receive(job.OrderStart, testTask(100+n))
		}
		time.Sleep(50 * time.Millisecond)
		sentAt := time.Now()
		a.receive(job.OrderStop, stopped...)
		time.Sleep(10 * time.Second)
		for _, task := range stopped {
			at := a.worker.first(job.OrderStop, task)
			is.True(!at.IsZero())
			is.True(at.Sub(sentAt) <= 60/stopExecutors*workerCallTimeout)
		}
	})
}

// Renewals do not wait for the stops of starts that an earlier incarnation of the
// worker has not answered. With one call after the other, a dozen of them took longer
// than the lease.
func TestRenewalsDoNotWaitForUnansweredStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		for n := range 15 {
			o := testOrder(1, job.OrderStart)
			o.Task, o.Incarnation = testTask(n), 99 // an earlier one
			a.state.recordUnanswered(o, time.Now())
		}
		for range 3 {
			begin := time.Now()
			is.True(a.renew(t.Context(), 0))
			is.True(time.Since(begin) < retryPause)
		}
		is.Equal(len(a.worker.renewals), 3)
		time.Sleep(10 * time.Second)
		a.worker.setSilent(false)
		a.renew(t.Context(), 0)
		time.Sleep(time.Second)
		for n := range 15 {
			is.True(!a.worker.first(job.OrderStop, testTask(n)).IsZero())
		}
		r, _ := a.state.nextRenewal()
		is.Equal(len(a.state.startsToCancel(r, time.Now())), 0)
	})
}

// A start whose answers are lost needs no further call once the worker lists the run,
// and is not made impossible by a stop, which would throw away the run's work.
func TestListedRunIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, true)
		a.receive(job.OrderStart, testTask(1))
		time.Sleep(maxOrdersAge)
		a.receive(job.OrderStart)                                                                          // a reply without orders
		time.Sleep(time.Duration(maxStartAttempts)*workerCallTimeout - maxOrdersAge - 50*time.Millisecond) // in the last call
		a.worker.running = []job.Run{{Task: testTask(1), Run: 1}}
		is.True(a.renew(t.Context(), 0))
		time.Sleep(10 * time.Second)
		is.True(a.worker.first(job.OrderStop, testTask(1)).IsZero())
	})
}

// A refusal of the second call for a start says nothing about the first one, which had
// no answer and may take effect seconds later: the run must be stopped before it counts
// as absent and its task starts elsewhere.
func TestRefusalAfterUnansweredCall(t *testing.T) {
	for _, refusal := range []error{&platform.OrderRefusedError{Reason: "room"}, &platform.OrderRefusedError{Reason: "late"}, platform.ErrNoEffect} {
		t.Run(refusal.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newTestAgent(t, true)
				a.worker.refusal = refusal
				time.Sleep(unansweredStartTTL) // no process before this one has sent starts
				a.receive(job.OrderStart, testTask(1))
				time.Sleep(workerCallTimeout / 2)
				a.worker.setSilent(false)
				time.Sleep(time.Second)
				a.receive(job.OrderStart, testTask(2))
				time.Sleep(time.Second)
				is.True(!a.worker.first(job.OrderStop, testTask(1)).IsZero())
				is.True(a.worker.first(job.OrderStop, testTask(2)).IsZero()) // refused at once
			})
		})
	}
}
