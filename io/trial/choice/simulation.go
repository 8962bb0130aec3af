// Package choice compares the endpoint selection policy with baseline policies. The
// policies run against a small queueing model: endpoints with slots, entries that
// share the slots and have one queue per class, and callers in an open loop.
//
// Invariant: runs with the same policy, fault and load are identical, because all
// runs use the same seed. The package has no state outside the runs.
package choice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the simulated fleet: 11 endpoints with 8 slots each in three
// zones, and one entry in each zone.
const (
	endpointCount   = 11
	entryCount      = 3
	meanServiceTime = 20 * time.Millisecond
	requestDeadline = 400 * time.Millisecond
	runDuration     = 20 * time.Second
	warmUpDuration  = 5 * time.Second
	crossZoneDelay  = 2 * time.Millisecond
	// failureLatency is the time until an attempt at the endpoint of the fault
	// FailingEndpoint fails.
	failureLatency = 500 * time.Microsecond
	// zoneOutageLatency is the time until an attempt at an endpoint in the
	// failed zone fails.
	zoneOutageLatency = 100 * time.Millisecond
	slotsPerEndpoint  = 8
	// urgentShare is the fraction of arrivals in the urgent class. In the fault
	// MassCancellation, cancellationsPerSecond is the mean number of times per
	// second that half of all callers cancel.
	urgentShare            = 0.3
	cancellationsPerSecond = 1
	// maxQueueWait limits how long a request waits for a slot, so that it can
	// still be answered within its deadline.
	maxQueueWait = requestDeadline - 4*meanServiceTime
	// In the fault RetryStorm, a caller retries a failed request after
	// callerRetryDelay, at most maxCallerRetries times.
	callerRetryDelay = 50 * time.Millisecond
	maxCallerRetries = 3
	// slowFactor multiplies the service times in the fault SlowEndpoint.
	slowFactor = 10
	// In the fault Interference, interferenceFactor multiplies the service times
	// of one in interferenceOneIn endpoints. The affected endpoints change every
	// interferencePeriod.
	interferenceFactor = 3
	interferencePeriod = 2 * time.Second
	interferenceOneIn  = 4
	// faultyEndpoint is the index of the endpoint that SlowEndpoint and
	// FailingEndpoint affect.
	faultyEndpoint = 0
)

// fleetCapacity is the number of requests per second that the fleet can answer.
var fleetCapacity = slotsPerEndpoint * endpointCount / meanServiceTime.Seconds()

const idPrefix = "endpoint-"

var zones = []string{"kelowna", "vernon", "penticton"}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type request struct {
	arrived time.Duration
	urgent  bool
	retries int
	done    bool
	cancel  func()
}

type entry struct {
	policy     endpoint.Policy
	candidates []endpoint.Candidate
	// queues contains the queue of urgent requests, then that of all others.
	queues [2][]*request
}

// simulation is a queueing model of the fleet and the state of one run. The field
// requests contains the requests since the last mass cancellation, finished ones
// included. The field hist contains the latencies of urgent requests in
// microseconds.
type simulation struct {
	fault          Fault
	load           float64
	rng            *rand.Rand
	now            time.Duration
	events         eventQueue
	entries        []*entry
	requests       []*request
	hist           *hdrhistogram.Histogram
	answeredInTime int
}

// resultObserver is implemented by policies that learn from the results of attempts.
type resultObserver interface {
	Observe(id string, d time.Duration, r caller.Result, httpStatus int, now time.Time)
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) schedule(d time.Duration, f func()) { heap.Push(&s.events, event{s.now + d, f}) }

func newSimulation(policy PolicyFactory, fault Fault, load float64) *simulation {
	s := &simulation{fault: fault, load: load, rng: rand.New(rand.NewPCG(1, 1)),
		hist: hdrhistogram.New(1, 60_000_000, 3)}
	// There is one entry in each zone, with the name of the zone.
	names := zones
	for i := range entryCount {
		m := endpoint.NewMembership(time.Hour, endpoint.WithShare(func(id string, slots int) int {
			return peer.Share(id, slots, names[i], names)
		}))
		for n := range endpointCount {
			m.Apply(endpoint.Announcement{ID: fmt.Sprintf(idPrefix+"%d", n), Service: "s", Zone: zones[n%3],
				Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, Seq: 1,
				State: endpoint.Ready, Slots: slotsPerEndpoint, Connections: 64}, 0, s.clock())
		}
		s.entries = append(s.entries, &entry{policy: policy(names[i], s.rng.IntN), candidates: m.View(s.clock()).Candidates("s")})
	}
	return s
}

func (s *simulation) run() *simulation {
	rate := s.load * fleetCapacity
	var arrive func()
	arrive = func() {
		s.enqueue(&request{arrived: s.now, urgent: s.rng.Float64() < urgentShare})
		if s.fault == MassCancellation && s.rng.Float64() < cancellationsPerSecond/rate {
			s.cancelHalf()
		}
		s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for len(s.events) > 0 && s.now < runDuration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) enqueue(req *request) {
	e := s.entries[s.rng.IntN(entryCount)]
	class := 1
	if req.urgent {
		class = 0
	}
	e.queues[class] = append(e.queues[class], req)
	s.requests = append(s.requests, req)
	s.dispatch(e)
}

// dispatch sends queued requests of the entry while the policy finds an endpoint,
// urgent requests first. Requests that waited too long fail.
func (s *simulation) dispatch(e *entry) {
	for class := range e.queues {
		for len(e.queues[class]) > 0 {
			req := e.queues[class][0]
			if req.done || s.now-req.arrived > maxQueueWait {
				e.queues[class] = e.queues[class][1:]
				s.fail(req)
				continue
			}
			c := e.policy.Pick(e.candidates, s.clock())
			if c == nil {
				return
			}
			e.queues[class] = e.queues[class][1:]
			s.send(e, req, c)
		}
	}
}

// fail ends a request without a response. In a retry storm the caller retries up to
// maxCallerRetries times.
func (s *simulation) fail(req *request) {
	if req.done {
		return
	}
	req.done = true
	if s.fault == RetryStorm && req.retries < maxCallerRetries {
		s.schedule(callerRetryDelay, func() {
			s.enqueue(&request{arrived: s.now, urgent: req.urgent, retries: req.retries + 1})
		})
	}
}

// serviceTime returns how long an attempt at the endpoint takes and whether it
// succeeds.
func (s *simulation) serviceTime(e *entry, c *endpoint.Candidate) (time.Duration, bool) {
	d := time.Duration(s.rng.ExpFloat64() * float64(meanServiceTime))
	index, _ := strconv.Atoi(strings.TrimPrefix(c.ID, idPrefix))
	if c.Zone != zones[slices.Index(s.entries, e)] {
		d += crossZoneDelay
	}
	switch {
	case s.fault == SlowEndpoint && index == faultyEndpoint:
		d *= slowFactor
	case s.fault == FailingEndpoint && index == faultyEndpoint:
		return failureLatency, false
	case s.fault == Interference && (index+int(s.now/interferencePeriod))%interferenceOneIn == 0:
		d *= interferenceFactor
	case s.fault == ZoneOutage && c.Zone == zones[0] && s.now > warmUpDuration:
		return zoneOutageLatency, false
	}
	return d, true
}

func (s *simulation) send(e *entry, req *request, c *endpoint.Candidate) {
	d, ok := s.serviceTime(e, c)
	done := false
	req.cancel = func() {
		if !done {
			done = true
			c.Load.Release()
			s.schedule(0, func() { s.dispatch(e) })
		}
	}
	s.schedule(d, func() {
		if done {
			return
		}
		done = true
		c.Load.Release()
		if o, observes := e.policy.(resultObserver); observes {
			result := caller.Complete
			if !ok {
				result = caller.Indeterminate
			}
			o.Observe(c.ID, d, result, 200, s.clock())
		}
		s.complete(req, ok)
		s.dispatch(e)
	})
}

func (s *simulation) complete(req *request, ok bool) {
	if !ok {
		s.fail(req)
		return
	}
	req.done = true
	if req.arrived < warmUpDuration {
		return
	}
	if req.urgent {
		_ = s.hist.RecordValue(max(1, (s.now - req.arrived).Microseconds()))
	}
	if s.now-req.arrived <= requestDeadline {
		s.answeredInTime++
	}
}

// cancelHalf cancels every other request since the last mass cancellation, except
// those that have finished.
func (s *simulation) cancelHalf() {
	for i, req := range s.requests {
		if i%2 == 0 && !req.done {
			req.done = true
			if req.cancel != nil {
				req.cancel()
			}
		}
	}
	s.requests = nil
}

func (s *simulation) latencyMs(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }

// goodput returns the rate of requests answered within their deadline, as a
// fraction of the fleet's capacity.
func (s *simulation) goodput() float64 {
	return float64(s.answeredInTime) / (runDuration - warmUpDuration).Seconds() / fleetCapacity
}
