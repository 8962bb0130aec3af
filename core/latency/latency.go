// Package latency keeps a short history of each service's latency at one
// entry, for operators to compare with the target.
//
// Invariant: a Recorder holds at most one histogram and Windows points for
// each service, whatever the traffic. One mutex guards its state.
package latency

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Length and number of the windows that are kept.
const (
	WindowLength = 10 * time.Second
	WindowCount  = 30
)

// Range and precision of a histogram, in microseconds.
const (
	lowest       = 1
	highest      = int64(10 * time.Minute / time.Microsecond)
	significance = 2
)

// Point is what happened to a service's requests in one window.
type Point struct {
	Began time.Time `json:"began"`
	// Answered counts whole answers; P50 and P99 are of these alone.
	Answered int64         `json:"answered"`
	P50      wire.Duration `json:"p50"`
	P99      wire.Duration `json:"p99"`
	// Refused counts all other outcomes.
	Refused int64 `json:"refused"`
}

// Service is the history of one service, oldest point first.
type Service struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// series is the current window of a service and the points before it.
type series struct {
	current Point
	h       *hdrhistogram.Histogram
	past    []Point
}

// Recorder records latencies. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	services map[string]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{services: make(map[string]*series)} }

// Observe takes in one request that ended at now after d. The caller names
// configured services only, so that the recorder stays small.
func (r *Recorder) Observe(service string, d time.Duration, answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		s = &series{h: hdrhistogram.New(lowest, highest, significance)}
		s.current.Began = now.Truncate(WindowLength)
		r.services[service] = s
	}
	s.roll(now)
	if !answered {
		s.current.Refused++
		return
	}
	s.current.Answered++
	_ = s.h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Services returns the history of each service, sorted by name.
func (r *Recorder) Services(now time.Time) []Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Service, 0, len(r.services))
	for name, s := range r.services {
		s.roll(now)
		out = append(out, Service{name, append(slices.Clone(s.past), s.point())})
	}
	slices.SortFunc(out, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// point returns the current window so far.
func (s *series) point() Point {
	p := s.current
	p.P50 = microseconds(s.h.ValueAtQuantile(50))
	p.P99 = microseconds(s.h.ValueAtQuantile(99))
	return p
}

func microseconds(v int64) wire.Duration {
	return wire.Duration(time.Duration(v) * time.Microsecond)
}

// roll closes the windows that ended before now.
func (s *series) roll(now time.Time) {
	began := now.Truncate(WindowLength)
	if began.Sub(s.current.Began) > WindowCount*WindowLength {
		s.past = nil
		s.current = Point{Began: began.Add(-WindowCount * WindowLength)}
		s.h.Reset()
	}
	for s.current.Began.Before(began) {
		s.past = append(s.past, s.point())
		if n := len(s.past) - WindowCount + 1; n > 0 {
			s.past = slices.Delete(s.past, 0, n)
		}
		s.current = Point{Began: s.current.Began.Add(WindowLength)}
		s.h.Reset()
	}
}
