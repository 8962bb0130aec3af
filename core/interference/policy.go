// Package interference learns how batch classes slow services down on the VMs
// that they share, and decides what to do about it.
//
// Invariants: a measurement counts for the tasks that ran in the interval in
// which it was taken, whenever it arrives; urgent tasks are neither throttled
// nor evicted; evictions never exceed their budget. A Policy belongs to the
// control goroutine and does no I/O.
package interference

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarygap/core/wire"
)

// Measurement is the latency of one endpoint in an interval of the past.
type Measurement struct {
	Service string `json:"service"`
	// VM is where the endpoint runs.
	VM   string    `json:"vm"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Requests were answered in the interval.
	Requests int `json:"requests"`
	// P99 is the 99th percentile of their latency.
	P99 wire.Duration `json:"p99"`
	// Load is the mean share of the endpoint's slots in use, 0 to 1.
	Load float64 `json:"load"`
}

// Task is a running batch attempt.
type Task struct {
	Job, Class, VM string
	Urgent         bool
	// Evicting is true from the decision to stop the task.
	Evicting  bool
	Evictions int
	// Throttle is its share of processors in thousandths, 0 for all.
	Throttle int
}

// share returns how much of the task's effect is left by its throttle.
func (t *Task) share() float64 {
	if t.Throttle == 0 {
		return 1
	}
	return float64(t.Throttle) / fullThrottle
}

// fullThrottle is the whole of a task's processors, in thousandths.
const fullThrottle = 1000

// site is an endpoint as its measurements show it.
type site struct {
	service, vm string
	load        float64
	measured    time.Time
	// breached is the end of the latest interval beyond the target.
	breached time.Time
	// kept is true while the service needs the endpoint.
	kept bool
	// avoided is true while requests are routed away from it.
	avoided bool
	// predicted is the logarithm of latency over target, as of now.
	predicted float64
	// disturbed is the part of it that batch tasks cause.
	disturbed float64
	// rank orders the endpoints of a service, the least disturbed first.
	rank float64
}

type siteKey struct{ service, vm string }

// Policy is the state of learning and of the measures in force.
type Policy struct {
	settings  Settings
	targets   map[string]time.Duration
	services  []string
	model     *model
	timelines map[string]*timeline
	sites     map[siteKey]*site
	order     []siteKey
	throttled map[string]time.Time
	released  map[string]time.Time
	budget    budget
	evicted   map[string]time.Time
	// peaks are the highest undisturbed loads of services of late, in
	// endpoints.
	peaks map[string]float64
	now   time.Time
}

// Settings weigh latency against batch work.
type Settings struct {
	// Margin is the share of the target at which action begins.
	Margin float64
	// Busy is the highest load at which the endpoints that requests are
	// kept on may run.
	MaxLoad float64
	// EvictionEvery is the mean time between evictions that the budget
	// allows; Burst is how many may come at once.
	EvictionInterval time.Duration
	Burst            float64
}

// Option changes a setting.
type Option func(*Settings)

// WithMargin sets the share of the target at which action begins.
func WithMargin(m float64) Option { return func(s *Settings) { s.Margin = m } }

// WithBudget sets the mean time between evictions and how many may come at
// once.
func WithEvictionBudget(every time.Duration, burst float64) Option {
	return func(s *Settings) { s.EvictionInterval, s.Burst = every, burst }
}

// New returns a policy that has learnt nothing.
func New(opts ...Option) *Policy {
	s := Settings{Margin: 0.8, MaxLoad: 0.55, EvictionInterval: time.Minute, Burst: 3}
	for _, o := range opts {
		o(&s)
	}
	return &Policy{
		settings:  s,
		targets:   make(map[string]time.Duration),
		model:     newModel(),
		timelines: make(map[string]*timeline),
		sites:     make(map[siteKey]*site),
		throttled: make(map[string]time.Time),
		released:  make(map[string]time.Time),
		evicted:   make(map[string]time.Time),
		peaks:     make(map[string]float64),
		budget:    budget{tokens: s.Burst},
	}
}

// SetTargets sets the latency targets of services.
func (p *Policy) SetTargets(targets map[string]time.Duration) {
	p.targets = targets
	p.services = slices.Sorted(maps.Keys(targets))
}

// Observe takes in a measurement and reports whether it could be attributed.
func (p *Policy) Observe(m Measurement, now time.Time) bool {
	target := p.targets[m.Service]
	l := p.timelines[m.VM]
	if target <= 0 || m.Requests <= 0 || m.P99 <= 0 || m.To.After(now) {
		return false
	}
	if l == nil {
		l = &timeline{}
		l.note(exposure{}, now)
		p.timelines[m.VM] = l
	}
	beside, ok := l.between(m.From, m.To)
	if !ok {
		return false
	}
	y := math.Log(m.P99.Std().Seconds() / target.Seconds())
	ps := parts(m.Service, m.VM, Band(m.Load), beside)
	p.model.learn(ps, y, noiseOf(m.Requests), now)
	p.noteSite(m, y > 0)
	return true
}

// noteSite keeps the newest load of an endpoint.
func (p *Policy) noteSite(m Measurement, breach bool) {
	k := siteKey{m.Service, m.VM}
	s := p.sites[k]
	if s == nil {
		s = &site{service: m.Service, vm: m.VM, kept: true}
		p.sites[k] = s
		p.order = insertKey(p.order, k)
	}
	if breach && m.To.After(s.breached) {
		s.breached = m.To
	}
	if m.To.After(s.measured) {
		s.measured, s.load = m.To, m.Load
	}
}
