package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// identifiedWorker is a fake worker that answers renewals alone.
type identifiedWorker struct {
	platformtest.Worker
	mu          sync.Mutex
	id          string
	incarnation int64
	// silent is the number of the next renewals that get no answer.
	silent int
}

func (w *identifiedWorker) set(id string, incarnation int64, silent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.incarnation, w.silent = id, incarnation, silent
}

func (w *identifiedWorker) Renew(r platform.RenewRequest) (job.RunList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.silent > 0:
		w.silent--
		return job.RunList{}, platformtest.ErrDropConnection
	case r.Worker != w.id:
		return job.RunList{}, platform.ErrOtherIncarnation
	}
	return job.RunList{Incarnation: w.incarnation, Clock: time.Minute}, nil
}

// newIdentifyingAgent returns an agent in epoch 1 that asks w about heartbeats, and a function
// that sends it one.
func newIdentifyingAgent(t *testing.T, w *identifiedWorker) (*Agent, func(job.Worker)) {
	server := httptest.NewServer(platformtest.WorkerHandler(w))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	a := New(platform.Settings{Name: "agent", WorkerAddress: address, Service: "svc", Bounds: platform.Bounds{MaxWorkerLease: testMaxLease}}, hclog.NewNullLogger())
	a.state.enterEpoch(1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.identifyLoop(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return a, func(h job.Worker) {
		h.Address = address
		b, err := platformtest.EncodeHeartbeat(h)
		is.New(t).NoErr(err)
		a.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, platformtest.HeartbeatPath(h.ID), bytes.NewReader(b)))
	}
}

// awaitWorker waits until the agent has no unconfirmed heartbeats, and returns its worker as
// ID and incarnation.
func awaitWorker(t *testing.T, a *Agent) string {
	for range 200 {
		if len(a.state.unconfirmed()) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r := a.state.report("agent", false, time.Now())
	if r.Worker == nil {
		return "none"
	}
	return fmt.Sprintf("%s %d", r.Worker.ID, r.Worker.Incarnation)
}

func testHeartbeat(id string, incarnation, sequence int64) job.Worker {
	return job.Worker{ID: id, Incarnation: incarnation, Service: "svc", Zone: "z", Labels: []string{"a", "r1"}, Sequence: sequence,
		Capacity: job.Resources{Processors: 16000, Memory: 64000}}
}

// A heartbeat of another writer, with the ID of the worker and a later start, or with another
// ID, must not replace the worker: its runs would count as lost and start elsewhere while they
// go on, and its later heartbeats as outdated.
func TestHeartbeatOfAnotherWriterDoesNotReplaceWorker(t *testing.T) {
	is := is.New(t)
	w := &identifiedWorker{id: "i-1", incarnation: 100}
	a, send := newIdentifyingAgent(t, w)
	send(testHeartbeat("i-1", 7_000_000, 1)) // before the first of the worker
	is.Equal(awaitWorker(t, a), "none")
	send(testHeartbeat("i-1", 100, 1))
	is.Equal(awaitWorker(t, a), "i-1 100")
	for _, foreign := range []job.Worker{testHeartbeat("i-1", 101, 2), testHeartbeat("i-1", 1<<48, 2), testHeartbeat("i-2", 101, 1)} {
		send(foreign)
		is.Equal(awaitWorker(t, a), "i-1 100")
		is.Equal(len(a.state.report("agent", false, time.Now()).Absent), 0)
	}
	other := testHeartbeat("i-3", 200, 1)
	other.Service = "elsewhere"
	w.set("i-3", 200, 0)
	send(other) // of a service that this VM does not serve
	is.Equal(awaitWorker(t, a), "i-1 100")
}

// The worker starts again, under its ID or another one: its first heartbeat is confirmed as
// soon as it answers.
func TestNextIncarnationIsConfirmed(t *testing.T) {
	is := is.New(t)
	w := &identifiedWorker{id: "i-1", incarnation: 100}
	a, send := newIdentifyingAgent(t, w)
	send(testHeartbeat("i-1", 100, 1))
	is.Equal(awaitWorker(t, a), "i-1 100")
	w.set("i-1", 200, 3)
	send(testHeartbeat("i-1", 200, 1))
	is.Equal(awaitWorker(t, a), "i-1 200")
	w.set("i-2", 300, 0)
	send(testHeartbeat("i-2", 300, 1))
	is.Equal(awaitWorker(t, a), "i-2 300")
	is.True(a.state.report("agent", false, time.Now()).Listed) // the answer was also the first list
}
