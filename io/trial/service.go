package trial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygap/core/interference"
	"rosemarygap/core/wire"
)

// Parameters of a simulated endpoint. endpointSlots is the number of requests that
// an endpoint serves at a time, serviceTimeSigma is the standard deviation of the
// logarithm of the service times, and reportInterval is the time between
// measurements.
const (
	endpointSlots    = 8
	serviceTimeSigma = 0.3
	reportInterval   = 10 * time.Second
)

// simEndpoint is a simulated endpoint: a queue served by several slots on a VM.
type simEndpoint struct {
	vm *simVM
	// freeAt is the time at which each slot becomes free, in seconds since the
	// start of the run.
	freeAt [endpointSlots]float64
	// weight is the relative probability that a request is sent to the endpoint.
	weight float64
	// latencies, in seconds, and busySeconds, the sum of the service times, are
	// those of the current report interval.
	latencies   []float64
	busySeconds float64
	// load is the fraction of the slots that were busy in the previous report
	// interval.
	load float64
}

// simService is a simulated service with its endpoints.
type simService struct {
	spec      *Service
	index     int
	endpoints []*simEndpoint
	// latencies, in seconds, are those of the current report interval.
	latencies []float64
	rng       *rand.Rand
	// intervals is the number of completed report intervals, breaches is the
	// number of those above the latency target, and p99s are their 99th
	// percentiles in seconds.
	intervals, breaches int
	p99s                []float64
}

// arrivalRate returns the request rate at time t, in requests per second. The rate
// follows a cosine between MinRate and MaxRate.
func (s *simService) arrivalRate(t time.Duration, period time.Duration) float64 {
	level := (1 - math.Cos(2*math.Pi*t.Seconds()/period.Seconds())) / 2
	return s.spec.MinRate + (s.spec.MaxRate-s.spec.MinRate)*level
}

// simulateSecond serves the requests that arrive in the second that starts at t.
func (s *simService) simulateSecond(t time.Duration, rate float64) {
	slowdowns := make([]float64, len(s.endpoints))
	totalWeight := 0.0
	for i, e := range s.endpoints {
		slowdowns[i] = e.vm.slowdown(s.index, e.load)
		totalWeight += e.weight
	}
	for at := s.rng.ExpFloat64() / rate; at < 1; at += s.rng.ExpFloat64() / rate {
		now := t.Seconds() + at
		i := s.pickEndpoint(totalWeight, now)
		s.serve(s.endpoints[i], now, slowdowns[i])
	}
}

// pickEndpoint returns the index of the endpoint with less pending work among two
// endpoints drawn at random by weight.
func (s *simService) pickEndpoint(totalWeight, now float64) int {
	a, b := s.drawEndpoint(totalWeight), s.drawEndpoint(totalWeight)
	if s.endpoints[b].pendingWork(now) < s.endpoints[a].pendingWork(now) {
		return b
	}
	return a
}

func (s *simService) drawEndpoint(totalWeight float64) int {
	x := s.rng.Float64() * totalWeight
	for i, e := range s.endpoints {
		if x -= e.weight; x < 0 {
			return i
		}
	}
	return len(s.endpoints) - 1
}

// pendingWork returns the sum of the remaining work of all slots, in seconds.
func (e *simEndpoint) pendingWork(now float64) float64 {
	w := 0.0
	for _, f := range e.freeAt {
		w += max(0, f-now)
	}
	return w
}

func (s *simService) serve(e *simEndpoint, now, slowdown float64) {
	slot := 0
	for i, f := range e.freeAt {
		if f < e.freeAt[slot] {
			slot = i
		}
	}
	serviceTime := s.spec.MedianServiceTime.Seconds() * math.Exp(serviceTimeSigma*s.rng.NormFloat64()) * slowdown
	e.freeAt[slot] = max(now, e.freeAt[slot]) + serviceTime
	e.busySeconds += serviceTime
	latency := e.freeAt[slot] - now
	e.latencies = append(e.latencies, latency)
	s.latencies = append(s.latencies, latency)
}

// endInterval ends a report interval and returns the measurements of all
// endpoints.
func (s *simService) endInterval(end time.Time) []interference.Measurement {
	var ms []interference.Measurement
	for _, e := range s.endpoints {
		e.load = min(1, e.busySeconds/reportInterval.Seconds()/endpointSlots)
		if len(e.latencies) > 0 {
			ms = append(ms, interference.Measurement{Service: s.spec.Name, VM: e.vm.id,
				From: end.Add(-reportInterval), To: end, Requests: len(e.latencies),
				P99:  wire.Duration(percentile(e.latencies, 0.99) * float64(time.Second)),
				Load: e.load})
		}
		e.latencies, e.busySeconds = e.latencies[:0], 0
	}
	p99 := percentile(s.latencies, 0.99)
	s.intervals++
	s.p99s = append(s.p99s, p99)
	if p99 > s.spec.Target.Seconds() {
		s.breaches++
	}
	s.latencies = s.latencies[:0]
	return ms
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(p*float64(len(v)-1))]
}
