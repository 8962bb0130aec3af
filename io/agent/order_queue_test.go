package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// call is a call that reached a testTransport.
type call struct {
	path, task string
	at         time.Time
}

// testTransport is an HTTP transport to a worker. It answers calls at once, or not at
// all while silent is true.
type testTransport struct {
	mu     sync.Mutex
	silent bool
	calls  []call
}

func (x *testTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body struct {
		Task string `json:"task"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.calls = append(x.calls, call{r.URL.Path, body.Task, time.Now()})
	silent := x.silent
	x.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(`{"clock-ms":1}`))}, nil
}

func (x *testTransport) setSilent(silent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silent = silent
}

// first returns the time of the first call for a task to a path that ends in suffix,
// or the zero time if there is none.
func (x *testTransport) first(suffix, task string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if strings.HasSuffix(c.path, suffix) && c.task == task {
			return c.at
		}
	}
	return time.Time{}
}

// testAgent is an agent in epoch 1 whose orders are executed until the test ends.
type testAgent struct {
	*Agent
	worker *testTransport
	next   int64
}

func newTestAgent(t *testing.T, silent bool) *testAgent {
	x := &testTransport{silent: silent}
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
	a.state, _, _ = newTestState(t)
	a.worker = platform.NewWorker(&http.Client{Transport: x}, netip.MustParseAddrPort("127.0.0.1:1"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range orderExecutors {
		wg.Go(func() { _ = a.executeAny(ctx) })
	}
	for range stopExecutors {
		wg.Go(func() { _ = a.executeStops(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return &testAgent{Agent: a, worker: x}
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
	orders, _ := a.state.applyReply(r, time.Now())
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
		is.True(a.worker.first("run-start", last).IsZero()) // still waits
		a.receive(job.OrderStop, last)
		time.Sleep(10 * time.Second)
		a.worker.setSilent(false)
		time.Sleep(10 * time.Second)
		is.True(a.worker.first("run-start", last).IsZero())
		is.True(!a.worker.first("run-stop", last).IsZero())
	})
}

// A start and its stop that arrive in one reply do not race each other.
func TestStartAndStopInOneReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		r := testReply(testOrder(1, job.OrderStart), testOrder(2, job.OrderStop))
		orders, _ := a.state.applyReply(r, time.Now())
		a.enqueueOrders(orders, 1)
		time.Sleep(time.Second)
		is.True(a.worker.first("run-start", r.Orders[0].Task).IsZero())
		is.True(!a.worker.first("run-stop", r.Orders[0].Task).IsZero())
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
			at := a.worker.first("run-stop", task)
			is.True(!at.IsZero())
			is.True(at.Sub(sentAt) <= 60/stopExecutors*workerCallTimeout)
		}
	})
}
