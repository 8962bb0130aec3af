// Package interference learns how much batch classes slow down the services on shared
// VMs, and decides on countermeasures: routing weights, throttles and evictions.
//
// Invariants:
//   - A measurement is attributed to the tasks that ran in its interval, no matter when
//     it arrives.
//   - Urgent tasks are neither throttled nor evicted.
//   - Evictions never exceed their budget.
//
// A Policy is owned by the control goroutine and does no I/O.
package interference

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarygap/core/wire"
)

// Measurement is the latency and load of one endpoint in a past interval.
type Measurement struct {
	Service string `json:"service"`
	// VM is the VM on which the endpoint runs.
	VM   string    `json:"vm"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Requests is the number of requests answered in the interval.
	Requests int `json:"requests"`
	// P99 is the 99th percentile of the latency of these requests.
	P99 wire.Duration `json:"p99"`
	// Load is the mean share of the endpoint's slots in use, from 0 to 1.
	Load float64 `json:"load"`
}

// Task is a running attempt of a batch job.
type Task struct {
	Job, Class, VM string
	Urgent         bool
	// Evicting is true once the eviction of the task was decided.
	Evicting  bool
	Evictions int
	// Throttle is the share of its processors that the task may use, in
	// thousandths; 0 means all.
	Throttle int
}

// exposureShare returns the fraction of the task's effect that remains under its
// throttle.
func (t *Task) exposureShare() float64 {
	if t.Throttle == 0 {
		return 1
	}
	return float64(t.Throttle) / fullShareMilli
}

// fullShareMilli is the share of all processors of a task, in thousandths.
const fullShareMilli = 1000

// endpointState is the measured and predicted state of one endpoint.
type endpointState struct {
	service, vm  string
	load         float64
	lastMeasured time.Time
	// lastBreach is the end of the latest interval in which the latency exceeded
	// the target.
	lastBreach time.Time
	// kept is true while the service needs the endpoint for its peak load.
	kept bool
	// avoided is true while requests are routed away from the endpoint.
	avoided bool
	// predicted is the predicted logarithm of the ratio of latency to target.
	predicted float64
	// disturbance is the part of predicted that batch tasks cause.
	disturbance float64
	// rank sorts the endpoints of a service, the least disturbed first.
	rank float64
}

type endpointKey struct{ service, vm string }

// Policy is the state of the learned model and of the countermeasures in force.
type Policy struct {
	settings Settings
	// targets are the latency targets by service, and services the sorted names
	// of these services.
	targets  map[string]time.Duration
	services []string
	model    *model
	// timelines contains the timeline of each VM.
	timelines map[string]*timeline
	// endpointOrder contains the keys of endpoints in sorted order.
	endpoints     map[endpointKey]*endpointState
	endpointOrder []endpointKey
	// throttledAt and releasedAt are the times, by job, at which a throttle was
	// last set and removed.
	throttledAt map[string]time.Time
	releasedAt  map[string]time.Time
	budget      evictionBudget
	// lastEviction is the time of the latest eviction by VM.
	lastEviction map[string]time.Time
	// peaks maps services to the slowly decaying peak of their load without
	// disturbance, as a number of fully used endpoints.
	peaks map[string]float64
	// now is the time of the latest call of Decide.
	now time.Time
}

// Settings contains the parameters of the trade-off between the latency of services and
// batch work.
type Settings struct {
	// Margin is the ratio of predicted latency to target above which
	// countermeasures are taken.
	Margin float64
	// MaxLoad is the load up to which the kept endpoints of a service may be
	// used.
	MaxLoad float64
	// EvictionInterval is the mean time between evictions that the budget
	// allows, and Burst the number of evictions that it allows at once.
	EvictionInterval time.Duration
	Burst            float64
}

// Option changes a setting.
type Option func(*Settings)

// WithMargin sets Settings.Margin.
func WithMargin(m float64) Option { return func(s *Settings) { s.Margin = m } }

// WithEvictionBudget sets the mean time between evictions, and the number of evictions
// allowed at once.
func WithEvictionBudget(every time.Duration, burst float64) Option {
	return func(s *Settings) { s.EvictionInterval, s.Burst = every, burst }
}

// New returns a policy without any measurements.
func New(opts ...Option) *Policy {
	s := Settings{Margin: 0.8, MaxLoad: 0.55, EvictionInterval: time.Minute, Burst: 3}
	for _, o := range opts {
		o(&s)
	}
	return &Policy{
		settings:     s,
		targets:      make(map[string]time.Duration),
		model:        newModel(),
		timelines:    make(map[string]*timeline),
		endpoints:    make(map[endpointKey]*endpointState),
		throttledAt:  make(map[string]time.Time),
		releasedAt:   make(map[string]time.Time),
		lastEviction: make(map[string]time.Time),
		peaks:        make(map[string]float64),
		budget:       evictionBudget{tokens: s.Burst},
	}
}

// SetTargets sets the latency targets of services.
func (p *Policy) SetTargets(targets map[string]time.Duration) {
	p.targets = targets
	p.services = slices.Sorted(maps.Keys(targets))
}

// Observe learns from a measurement and reports whether the measurement was valid and
// could be attributed to tasks.
func (p *Policy) Observe(m Measurement, now time.Time) bool {
	target := p.targets[m.Service]
	l := p.timelines[m.VM]
	if target <= 0 || m.Requests <= 0 || m.P99 <= 0 || m.To.After(now) {
		return false
	}
	if l == nil {
		l = &timeline{}
		l.record(exposure{}, now)
		p.timelines[m.VM] = l
	}
	exposed, ok := l.meanExposure(m.From, m.To)
	if !ok {
		return false
	}
	y := math.Log(m.P99.Std().Seconds() / target.Seconds())
	terms := applicableTerms(m.Service, m.VM, Band(m.Load), exposed)
	p.model.learn(terms, y, noiseVariance(m.Requests), now)
	p.updateEndpoint(m, y > 0)
	return true
}

// updateEndpoint updates the load and the last breach of an endpoint from a
// measurement.
func (p *Policy) updateEndpoint(m Measurement, breach bool) {
	k := endpointKey{m.Service, m.VM}
	s := p.endpoints[k]
	if s == nil {
		s = &endpointState{service: m.Service, vm: m.VM, kept: true}
		p.endpoints[k] = s
		p.endpointOrder = insertKey(p.endpointOrder, k)
	}
	if breach && m.To.After(s.lastBreach) {
		s.lastBreach = m.To
	}
	if m.To.After(s.lastMeasured) {
		s.lastMeasured, s.load = m.To, m.Load
	}
}
