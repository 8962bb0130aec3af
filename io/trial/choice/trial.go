// Package choice compares the choice among endpoints with its baselines. A
// small queueing fake stands behind the policy's port: endpoints with slots,
// entries that share them and keep a queue each, and callers with an open loop.
//
// Invariant: one seed draws the same run. The package owns no state beside a
// run's own.
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

// The fleet of the brief: 11 endpoints with 8 slots in three zones.
const (
	endpoints  = 11
	entryCount = 3
	meanTime   = 20 * time.Millisecond
	deadline   = 400 * time.Millisecond
	runTime    = 20 * time.Second
	warmUp     = 5 * time.Second
	detour     = 2 * time.Millisecond
	failTime   = 500 * time.Microsecond
	// lostTime is how long an attempt at an endpoint of a lost zone takes.
	lostTime = 100 * time.Millisecond
	slots    = 8
	// urgentShare is the share of arrivals of the urgent class, and
	// cancelsPerSecond how often half of all callers go away.
	urgentShare      = 0.3
	cancelsPerSecond = 1
	// patience is how long a request waits for a slot, so that it can still
	// be answered within its deadline.
	patience     = deadline - 4*meanTime
	callerDelay  = 50 * time.Millisecond
	callerTries  = 3
	slowTimes    = 10
	noisyTimes   = 3
	noisyPeriod  = 2 * time.Second
	noisyOneIn   = 4
	slowEndpoint = 0
)

// capacity is how many requests a second the fleet can answer.
var capacity = slots * endpoints / meanTime.Seconds()

const idPrefix = "endpoint-"

var zones = []string{"kelowna", "vernon", "penticton"}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type request struct {
	arrived time.Duration
	urgent  bool
	retries int
	over    bool
	abort   func()
}

type entry struct {
	policy  endpoint.Policy
	cs      []endpoint.Candidate
	waiting [2][]*request
}

// trial is a queueing fake of the fleet behind the policy's port.
type trial struct {
	fault    Fault
	load     float64
	rng      *rand.Rand
	now      time.Duration
	queue    events
	entries  []*entry
	live     []*request
	urgent   *hdrhistogram.Histogram
	answered int
}

type observer interface {
	Observe(id string, d time.Duration, r caller.Result, httpStatus int, now time.Time)
}

func (s *trial) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *trial) after(d time.Duration, f func()) { heap.Push(&s.queue, event{s.now + d, f}) }

func newTrial(policy PolicyFactory, fault Fault, load float64) *trial {
	s := &trial{fault: fault, load: load, rng: rand.New(rand.NewPCG(1, 1)),
		urgent: hdrhistogram.New(1, 60_000_000, 3)}
	names := zones
	for i := range entryCount {
		m := endpoint.NewMembership(time.Hour, endpoint.WithShare(func(id string, slots int) int {
			return peer.Share(id, slots, names[i], names)
		}))
		for n := range endpoints {
			m.Apply(endpoint.Announcement{ID: fmt.Sprintf(idPrefix+"%d", n), Service: "s", Zone: zones[n%3],
				Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, Seq: 1,
				State: endpoint.Ready, Slots: slots, Connections: 64}, 0, s.clock())
		}
		s.entries = append(s.entries, &entry{policy: policy(names[i], s.rng.IntN), cs: m.View(s.clock()).Candidates("s")})
	}
	return s
}

func (s *trial) run() *trial {
	rate := s.load * capacity
	var arrive func()
	arrive = func() {
		s.arrive(&request{arrived: s.now, urgent: s.rng.Float64() < urgentShare})
		if s.fault == MassCancellation && s.rng.Float64() < cancelsPerSecond/rate {
			s.cancelMany()
		}
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for len(s.queue) > 0 && s.now < runTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *trial) arrive(q *request) {
	e := s.entries[s.rng.IntN(entryCount)]
	class := 1
	if q.urgent {
		class = 0
	}
	e.waiting[class] = append(e.waiting[class], q)
	s.live = append(s.live, q)
	s.dispatch(e)
}

// dispatch sends what may be sent, urgent requests first.
func (s *trial) dispatch(e *entry) {
	for class := range e.waiting {
		for len(e.waiting[class]) > 0 {
			q := e.waiting[class][0]
			if q.over || s.now-q.arrived > patience {
				e.waiting[class] = e.waiting[class][1:]
				s.refuse(q)
				continue
			}
			c := e.policy.Pick(e.cs, s.clock())
			if c == nil {
				return
			}
			e.waiting[class] = e.waiting[class][1:]
			s.send(e, q, c)
		}
	}
}

// refuse ends a request without an answer; in a retry storm its caller comes
// back up to three times.
func (s *trial) refuse(q *request) {
	if q.over {
		return
	}
	q.over = true
	if s.fault == RetryStorm && q.retries < callerTries {
		s.after(callerDelay, func() {
			s.arrive(&request{arrived: s.now, urgent: q.urgent, retries: q.retries + 1})
		})
	}
}

// serviceTime returns how long an endpoint takes and whether it answers.
func (s *trial) serviceTime(e *entry, c *endpoint.Candidate) (time.Duration, bool) {
	d := time.Duration(s.rng.ExpFloat64() * float64(meanTime))
	number, _ := strconv.Atoi(strings.TrimPrefix(c.ID, idPrefix))
	if c.Zone != zones[slices.Index(s.entries, e)] {
		d += detour
	}
	switch {
	case s.fault == SlowEndpoint && number == slowEndpoint:
		d *= slowTimes
	case s.fault == FailingEndpoint && number == slowEndpoint:
		return failTime, false
	case s.fault == Interference && (number+int(s.now/noisyPeriod))%noisyOneIn == 0:
		d *= noisyTimes
	case s.fault == ZoneOutage && c.Zone == zones[0] && s.now > warmUp:
		return lostTime, false
	}
	return d, true
}

func (s *trial) send(e *entry, q *request, c *endpoint.Candidate) {
	d, ok := s.serviceTime(e, c)
	done := false
	q.abort = func() {
		if !done {
			done = true
			c.Load.Release()
			s.after(0, func() { s.dispatch(e) })
		}
	}
	s.after(d, func() {
		if done {
			return
		}
		done = true
		c.Load.Release()
		if o, has := e.policy.(observer); has {
			result := caller.Complete
			if !ok {
				result = caller.Indeterminate
			}
			o.Observe(c.ID, d, result, 200, s.clock())
		}
		s.finish(q, ok)
		s.dispatch(e)
	})
}

func (s *trial) finish(q *request, ok bool) {
	if !ok {
		s.refuse(q)
		return
	}
	q.over = true
	if q.arrived < warmUp {
		return
	}
	if q.urgent {
		_ = s.urgent.RecordValue(max(1, (s.now - q.arrived).Microseconds()))
	}
	if s.now-q.arrived <= deadline {
		s.answered++
	}
}

// cancelMany lets half of all callers go away at once.
func (s *trial) cancelMany() {
	for i, q := range s.live {
		if i%2 == 0 && !q.over {
			q.over = true
			if q.abort != nil {
				q.abort()
			}
		}
	}
	s.live = nil
}

func (s *trial) p(q float64) float64 { return float64(s.urgent.ValueAtQuantile(q)) / 1000 }

// goodput is the share of the fleet's capacity that was answered in time.
func (s *trial) goodput() float64 {
	return float64(s.answered) / (runTime - warmUp).Seconds() / capacity
}
