package endpoint_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// The fleet of the brief: 11 endpoints with 8 slots in three zones.
const (
	trialEndpoints = 11
	trialEntries   = 3
	trialMean      = 20 * time.Millisecond
	trialDeadline  = 400 * time.Millisecond
	trialTime      = 20 * time.Second
	trialWarm      = 5 * time.Second
	trialDetour    = 2 * time.Millisecond
	failTime       = 500 * time.Microsecond
)

var trialZones = []string{"kelowna", "vernon", "penticton"}

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

type trialRequest struct {
	arrived time.Duration
	urgent  bool
	retries int
	over    bool
	abort   func()
}

type trialEntry struct {
	policy  endpoint.Policy
	cs      []endpoint.Candidate
	waiting [2][]*trialRequest
}

// trial is a queueing fake of the fleet behind the policy's port.
type trial struct {
	fault    string
	load     float64
	rng      *rand.Rand
	now      time.Duration
	queue    events
	entries  []*trialEntry
	live     []*trialRequest
	urgent   *hdrhistogram.Histogram
	answered int
}

type observer interface {
	Observe(id string, d time.Duration, r caller.Result, httpStatus int, now time.Time)
}

func (s *trial) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *trial) after(d time.Duration, f func()) { heap.Push(&s.queue, event{s.now + d, f}) }

type newPolicy func(zone string, intN func(int) int) endpoint.Policy

func newTrial(policy newPolicy, fault string, load float64) *trial {
	s := &trial{fault: fault, load: load, rng: rand.New(rand.NewPCG(1, 1)),
		urgent: hdrhistogram.New(1, 60_000_000, 3)}
	names := trialZones
	for i := range trialEntries {
		m := endpoint.NewMembership(time.Hour, endpoint.WithShare(func(id string, slots int) int {
			return peer.Share(id, slots, names[i], names)
		}))
		for n := range trialEndpoints {
			m.Apply(endpoint.Announcement{ID: fmt.Sprintf("endpoint-%d", n), Service: "s", Zone: trialZones[n%3],
				Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, Seq: 1,
				State: endpoint.Ready, Slots: 8, Connections: 64}, 0, s.clock())
		}
		s.entries = append(s.entries, &trialEntry{policy: policy(names[i], s.rng.IntN), cs: m.View(s.clock()).Candidates("s")})
	}
	return s
}

func (s *trial) run() *trial {
	rate := s.load * 8 * trialEndpoints / trialMean.Seconds()
	var arrive func()
	arrive = func() {
		s.arrive(&trialRequest{arrived: s.now, urgent: s.rng.Float64() < 0.3})
		if s.fault == "cancels" && s.rng.Float64() < 1/rate {
			s.cancelMany()
		}
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for len(s.queue) > 0 && s.now < trialTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *trial) arrive(q *trialRequest) {
	e := s.entries[s.rng.IntN(trialEntries)]
	class := 1
	if q.urgent {
		class = 0
	}
	e.waiting[class] = append(e.waiting[class], q)
	s.live = append(s.live, q)
	s.dispatch(e)
}

// dispatch sends what may be sent, urgent requests first.
func (s *trial) dispatch(e *trialEntry) {
	for class := range e.waiting {
		for len(e.waiting[class]) > 0 {
			q := e.waiting[class][0]
			if q.over || s.now-q.arrived > trialDeadline-4*trialMean {
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
func (s *trial) refuse(q *trialRequest) {
	if q.over {
		return
	}
	q.over = true
	if s.fault == "retry-storm" && q.retries < 3 {
		s.after(50*time.Millisecond, func() {
			s.arrive(&trialRequest{arrived: s.now, urgent: q.urgent, retries: q.retries + 1})
		})
	}
}

// serviceTime returns how long an endpoint takes and whether it answers.
func (s *trial) serviceTime(e *trialEntry, c *endpoint.Candidate) (time.Duration, bool) {
	d := time.Duration(s.rng.ExpFloat64() * float64(trialMean))
	number := int(c.ID[len(c.ID)-1]-'0') + 10*(len(c.ID)-len("endpoint-0"))
	if s.entries[0].cs[0].Zone != "" && c.Zone != trialZones[indexOf(s.entries, e)] {
		d += trialDetour
	}
	switch {
	case s.fault == "slow" && number == 0:
		d *= 10
	case s.fault == "fails" && number == 0:
		return failTime, false
	case s.fault == "interference" && (number+int(s.now/(2*time.Second)))%4 == 0:
		d *= 3
	case s.fault == "zone" && c.Zone == trialZones[0] && s.now > trialWarm:
		return 100 * time.Millisecond, false
	}
	return d, true
}

func indexOf(es []*trialEntry, e *trialEntry) int {
	for i := range es {
		if es[i] == e {
			return i
		}
	}
	return -1
}

func (s *trial) send(e *trialEntry, q *trialRequest, c *endpoint.Candidate) {
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
			result := caller.Whole
			if !ok {
				result = caller.Lost
			}
			o.Observe(c.ID, d, result, 200, s.clock())
		}
		s.finish(q, ok)
		s.dispatch(e)
	})
}

func (s *trial) finish(q *trialRequest, ok bool) {
	if !ok {
		s.refuse(q)
		return
	}
	q.over = true
	if q.arrived < trialWarm {
		return
	}
	if q.urgent {
		_ = s.urgent.RecordValue(max(1, (s.now - q.arrived).Microseconds()))
	}
	if s.now-q.arrived <= trialDeadline {
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
	return float64(s.answered) / (trialTime - trialWarm).Seconds() / (8 * trialEndpoints / trialMean.Seconds())
}

func balanced(zone string, intN func(int) int) endpoint.Policy {
	return endpoint.NewBalanced(endpoint.WithZone(zone, trialDetour), endpoint.WithIntN(intN))
}

func random(_ string, intN func(int) int) endpoint.Policy { return endpoint.Random{IntN: intN} }

func roundRobin(string, func(int) int) endpoint.Policy { return &endpoint.RoundRobin{} }

func leastInFlight(_ string, intN func(int) int) endpoint.Policy {
	return endpoint.LeastInFlight{IntN: intN}
}

// One slow endpoint raises the tail of the fleet by at most 1.3, and overload
// costs at most 5% of the goodput.
func TestGoalsOfTheChoiceOfEndpoint(t *testing.T) {
	is := is.New(t)
	healthy, slow := newTrial(balanced, "none", 0.8).run(), newTrial(balanced, "slow", 0.8).run()
	t.Logf("p99 %.1f ms, with a slow endpoint %.1f ms", healthy.p(99), slow.p(99))
	is.True(slow.p(99) <= 1.3*healthy.p(99))
	full, over := newTrial(balanced, "none", 1).run(), newTrial(balanced, "none", 1.5).run()
	t.Logf("goodput at 100%% %.3f, at 150%% %.3f", full.goodput(), over.goodput())
	is.True(over.goodput() >= 0.95*full.goodput())
}

// TestPolicyTable prints the table of docs/MEASUREMENTS.md.
func TestPolicyTable(t *testing.T) {
	faults, loads := []string{"slow", "fails"}, []float64{0.8}
	if os.Getenv("ROSEMARYGAP_TABLE") != "" {
		faults = []string{"none", "slow", "fails", "interference", "zone", "cancels", "retry-storm"}
		loads = []float64{0.5, 0.8, 0.95, 1.5}
	}
	for _, f := range faults {
		for _, l := range loads {
			base := newTrial(random, f, l).run()
			rr := newTrial(roundRobin, f, l).run()
			lif := newTrial(leastInFlight, f, l).run()
			b := newTrial(balanced, f, l).run()
			row := fmt.Sprintf("| %s | %.0f%% |", f, 100*l)
			for _, r := range []*trial{base, rr, lif, b} {
				row += fmt.Sprintf(" %.0f / %.0f / %.2f |", r.p(99), r.p(99.9), r.goodput())
			}
			t.Log(row)
			if b.goodput() < 0.95*max(base.goodput(), rr.goodput(), lif.goodput()) {
				t.Errorf("%s at %.0f%%: goodput is lower than that of a baseline", f, 100*l)
			}
		}
	}
}
