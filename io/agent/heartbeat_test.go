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

// One heartbeat of another writer with the ID and the start of the worker must not take it out
// of use, whatever its numbers and fields, and must give it no room that it does not have. The
// worker's own next heartbeats count again.
func TestForeignHeartbeatOfSameIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*job.Worker)
		// counts is true if the heartbeat could be the worker's own.
		counts bool
	}{
		"sequence":                {change: func(w *job.Worker) { w.Sequence = 1 << 50 }},
		"sequence, draining":      {change: func(w *job.Worker) { w.Sequence, w.Draining = 1<<50, true }},
		"sequence, somewhat late": {change: func(w *job.Worker) { w.Sequence += 500; w.Draining = true }},
		"no processors":           {change: func(w *job.Worker) { w.Capacity.Processors = 0 }},
		"no memory":               {change: func(w *job.Worker) { w.Capacity.Memory = 0 }},
		"more processors":         {change: func(w *job.Worker) { w.Capacity.Processors *= 4 }},
		"more memory":             {change: func(w *job.Worker) { w.Capacity.Memory *= 1000 }},
		"accelerators":            {change: func(w *job.Worker) { w.Capacity.Accelerators = 8 }},
		"zone":                    {change: func(w *job.Worker) { w.Zone = "elsewhere" }},
		"service":                 {change: func(w *job.Worker) { w.Service = "other" }},
		"labels":                  {change: func(w *job.Worker) { w.Labels = []string{"b", "r9"} }},
		"VM":                      {change: func(w *job.Worker) { w.VM = "vm-9" }},
		"draining":                {change: func(w *job.Worker) { w.Draining = true }, counts: true},
		"cold":                    {change: func(w *job.Worker) { w.ColdLeft = time.Minute }, counts: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1, platform.Bounds{MaxWorkerLease: testMaxLease})
			s.enterEpoch(1)
			now := time.Now()
			s.applyHeartbeat(testHeartbeat("i-1", 100, 10))
			confirm := func(w job.Worker) {
				confirmed, _ := s.receiveHeartbeat(w, now)
				is.True(confirmed)
			}
			now = now.Add(1500 * time.Millisecond)
			confirm(testHeartbeat("i-1", 100, 11))
			foreign := testHeartbeat("i-1", 100, 12)
			c.change(&foreign)
			now = now.Add(500 * time.Millisecond)
			confirm(foreign)
			if !c.counts {
				is.Equal(describe(s), describeWorker(testHeartbeat("i-1", 100, 0)))
			}
			for i := range 3 {
				now = now.Add(time.Second)
				confirm(testHeartbeat("i-1", 100, 12+int64(i)))
				now = now.Add(500 * time.Millisecond)
			}
			is.Equal(describe(s), describeWorker(testHeartbeat("i-1", 100, 0)))
		})
	}
}

func describe(s *state) string { return describeWorker(*s.report("agent", false, time.Now()).Worker) }

// describeWorker returns what a worker says of itself apart from what each heartbeat changes.
func describeWorker(w job.Worker) string {
	return fmt.Sprint(w.ID, w.Incarnation, w.Service, w.Zone, w.VM, w.Labels, w.Capacity, w.Draining)
}

// Changes that the worker itself reports count: a smaller capacity and its return at once, a
// larger one and other fields when they are repeated, also after a jump of the sequence.
func TestChangesOfTheWorkerCount(t *testing.T) {
	is := is.New(t)
	s := newState(1, platform.Bounds{MaxWorkerLease: testMaxLease})
	s.enterEpoch(1)
	now := time.Now()
	w := testHeartbeat("i-1", 100, 1)
	s.applyHeartbeat(w)
	send := func(sequence int64, processors int) int {
		now = now.Add(1500 * time.Millisecond)
		w.Sequence, w.Capacity.Processors = sequence, processors
		s.receiveHeartbeat(w, now)
		return s.report("agent", false, now).Worker.Capacity.Processors
	}
	is.Equal(send(2, 8800), 8800)
	is.Equal(send(3, 16000), 16000)
	is.Equal(send(4, 32000), 16000)
	is.Equal(send(5, 32000), 32000)
	is.Equal(send(6, 1000), 32000)
	is.Equal(send(7, 1000), 1000)
	is.Equal(send(8, 32000), 32000)
	send(100_000, 30000)
	is.Equal(send(100_001, 30000), 30000)
	// The owner ignores descriptions with lower sequence numbers than it has seen.
	before := s.report("agent", false, now).Worker.Sequence
	send(20, 29000)
	is.Equal(send(21, 29000), 29000)
	is.True(s.report("agent", false, now).Worker.Sequence > before)
}

// Late heartbeats of before the worker began to drain do not make it ready again.
func TestLateHeartbeatsDoNotEndDrain(t *testing.T) {
	is := is.New(t)
	s := newState(1, platform.Bounds{MaxWorkerLease: testMaxLease})
	s.enterEpoch(1)
	now := time.Now()
	s.applyHeartbeat(testHeartbeat("i-1", 100, 1))
	for sequence := int64(10); sequence < 20; sequence++ {
		now = now.Add(1500 * time.Millisecond)
		w := testHeartbeat("i-1", 100, sequence)
		w.Draining = true
		s.receiveHeartbeat(w, now)
		for i := range int64(3) {
			s.receiveHeartbeat(testHeartbeat("i-1", 100, 2+i), now.Add(time.Duration(i)*400*time.Millisecond))
		}
		is.True(s.report("agent", false, now).Worker.Draining)
	}
}
