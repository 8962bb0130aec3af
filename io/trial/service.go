package trial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygap/core/interference"
	"rosemarygap/core/wire"
)

// Shape of a fake endpoint and of its service times.
const (
	endpointSlots = 8
	sigma         = 0.3
	interval      = 10 * time.Second
)

// endpoint is a queue with several slots on a VM.
type endpoint struct {
	vm *fakeVM
	// free is when each slot is free again, in seconds of the run.
	free      [endpointSlots]float64
	weight    float64
	latencies []float64
	busy      float64
	load      float64
}

// queue is a service with its endpoints.
type queue struct {
	spec      *Service
	index     int
	endpoints []*endpoint
	all       []float64
	random    *rand.Rand
	// Results of the intervals so far.
	intervals, breaches int
	p99s                []float64
}

// rate is the arrivals a second at t.
func (q *queue) rate(t time.Duration, period time.Duration) float64 {
	wave := (1 - math.Cos(2*math.Pi*t.Seconds()/period.Seconds())) / 2
	return q.spec.MinRate + (q.spec.MaxRate-q.spec.MinRate)*wave
}

// second serves the arrivals of the second that begins at t.
func (q *queue) second(t time.Duration, rate float64) {
	slower := make([]float64, len(q.endpoints))
	sum := 0.0
	for i, e := range q.endpoints {
		slower[i] = e.vm.slower(q.index, e.load)
		sum += e.weight
	}
	for at := q.random.ExpFloat64() / rate; at < 1; at += q.random.ExpFloat64() / rate {
		now := t.Seconds() + at
		i := q.pick(sum, now)
		q.serve(q.endpoints[i], now, slower[i])
	}
}

// pick takes the less busy of two endpoints drawn by weight.
func (q *queue) pick(sum, now float64) int {
	a, b := q.draw(sum), q.draw(sum)
	if q.endpoints[b].waiting(now) < q.endpoints[a].waiting(now) {
		return b
	}
	return a
}

func (q *queue) draw(sum float64) int {
	x := q.random.Float64() * sum
	for i, e := range q.endpoints {
		if x -= e.weight; x < 0 {
			return i
		}
	}
	return len(q.endpoints) - 1
}

// waiting is the work that the slots still have.
func (e *endpoint) waiting(now float64) float64 {
	w := 0.0
	for _, f := range e.free {
		w += max(0, f-now)
	}
	return w
}

func (q *queue) serve(e *endpoint, now, slower float64) {
	slot := 0
	for i, f := range e.free {
		if f < e.free[slot] {
			slot = i
		}
	}
	need := q.spec.MedianServiceTime.Seconds() * math.Exp(sigma*q.random.NormFloat64()) * slower
	e.free[slot] = max(now, e.free[slot]) + need
	e.busy += need
	latency := e.free[slot] - now
	e.latencies = append(e.latencies, latency)
	q.all = append(q.all, latency)
}

// measure ends an interval and returns what was measured at each endpoint.
func (q *queue) measure(end time.Time) []interference.Measurement {
	var ms []interference.Measurement
	for _, e := range q.endpoints {
		e.load = min(1, e.busy/interval.Seconds()/endpointSlots)
		if len(e.latencies) > 0 {
			ms = append(ms, interference.Measurement{Service: q.spec.Name, VM: e.vm.id,
				From: end.Add(-interval), To: end, Requests: len(e.latencies),
				P99:  wire.Duration(percentile(e.latencies, 0.99) * float64(time.Second)),
				Load: e.load})
		}
		e.latencies, e.busy = e.latencies[:0], 0
	}
	p99 := percentile(q.all, 0.99)
	q.intervals++
	q.p99s = append(q.p99s, p99)
	if p99 > q.spec.Target.Seconds() {
		q.breaches++
	}
	q.all = q.all[:0]
	return ms
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(p*float64(len(v)-1))]
}
