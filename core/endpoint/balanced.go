package endpoint

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/caller"
)

// Balanced picks by the expected time of one more request: a decaying estimate
// of the endpoint's latency, weighed by the slots in use. It compares a
// few random endpoints of its own availability zone with some from anywhere, so it
// takes a detour only if that gains more than it costs. Outliers, slow or
// failing, get only probes; a fast failure is no latency and attracts nothing.
// Its methods may be called from any goroutine.
type LatencyAware struct {
	zone   string
	detour float64
	weight func(id string) float64
	intN   func(n int) int

	mu       sync.Mutex
	known    map[string]*estimate
	services map[string]*serviceState
	swept    time.Time
}

// serviceState is what Balanced keeps for one service.
type serviceState struct {
	// first and count identify the view that local was built from.
	first    *Candidate
	count    int
	local    []int
	median   float64
	reviewed time.Time
	outliers int
	slow     int
}

// Times of the upkeep of Balanced.
const (
	reviewEvery = 100 * time.Millisecond
	sweepEvery  = time.Minute
	// forgetUnused is how long the estimate of an unused endpoint is kept.
	forgetUnused = 10 * time.Minute
)

// Draws of candidates to compare where a service has more than compareAll; a
// share of an endpoint is a few slots, so that many draws meet a full one.
const (
	compareAll = 32
	localDraws = 8
	otherDraws = 4
)

// Shares of a service's endpoints that may be outliers at a time, as one in so
// many. A slow endpoint still answers, so that fewer of them are given up.
const (
	maxOutliers = 2
	maxSlow     = 4
)

// BalancedOption changes how a Balanced policy chooses.
type LatencyAwareOption func(*LatencyAware)

// WithZone prefers an availability zone; another one costs detour more.
func WithZone(zone string, detour time.Duration) LatencyAwareOption {
	return func(p *LatencyAware) { p.zone, p.detour = zone, detour.Seconds() }
}

// WithWeights sends an endpoint less work the lower its weight is, over 0 and
// up to 1. weight may be called from any goroutine.
func WithWeights(weight func(id string) float64) LatencyAwareOption {
	return func(p *LatencyAware) { p.weight = weight }
}

// WithIntN draws random numbers under n from f, which is called by one
// goroutine at a time.
func WithIntN(f func(n int) int) LatencyAwareOption { return func(p *LatencyAware) { p.intN = f } }

// NewBalanced returns a policy that knows nothing yet.
func NewLatencyAware(opts ...LatencyAwareOption) *LatencyAware {
	p := &LatencyAware{known: make(map[string]*estimate), services: make(map[string]*serviceState),
		intN: rand.IntN, weight: func(string) float64 { return 1 }}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Observe takes in how an attempt at an endpoint ended. An attempt that the
// caller itself cancelled says nothing of the endpoint and is not observed.
func (p *LatencyAware) Observe(id string, d time.Duration, r caller.Result, httpStatus int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.known[id]
	if e == nil {
		return
	}
	limit := 0.0
	for _, s := range p.services {
		limit = max(limit, slowFactor*s.median)
	}
	e.observe(d, failedAttempt(r, httpStatus), limit, now)
}

// Pick implements Policy.
func (p *LatencyAware) Pick(cs []Candidate, now time.Time) *Candidate {
	if len(cs) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(cs, now)
	if c := p.probe(s, cs, now); c != nil {
		return c
	}
	if c := p.draw(s, cs, now); c != nil && takes(c, now) {
		return c
	}
	return p.scan(cs, now)
}

// service returns the state of the candidates' service, reviewed if due.
func (p *LatencyAware) service(cs []Candidate, now time.Time) *serviceState {
	s := p.services[cs[0].Service]
	if s == nil {
		s = &serviceState{}
		p.services[cs[0].Service] = s
	}
	if s.first != &cs[0] || s.count != len(cs) {
		s.first, s.count, s.local = &cs[0], len(cs), nil
		for i := range cs {
			if cs[i].Zone == p.zone {
				s.local = append(s.local, i)
			}
		}
		s.reviewed = time.Time{}
	}
	if now.Sub(s.reviewed) >= reviewEvery {
		s.reviewed = now
		p.review(s, cs, now)
	}
	p.sweep(now)
	return s
}

// estimate returns what is known of a candidate.
func (p *LatencyAware) estimate(c *Candidate, now time.Time) *estimate {
	e := p.known[c.ID]
	if e == nil || e.load != c.Load {
		e = &estimate{load: c.Load, born: now}
		p.known[c.ID] = e
	}
	return e
}

// review computes the median latency and marks the worst outliers.
func (p *LatencyAware) review(s *serviceState, cs []Candidate, now time.Time) {
	var means []float64
	s.outliers, s.slow = 0, 0
	for i := range cs {
		e := p.estimate(&cs[i], now)
		e.used = now
		if e.ejected {
			s.admit(e)
		} else if e.samples >= enough {
			means = append(means, e.mean)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		s.median = means[(len(means)-1)/2]
	}
	for s.outliers < len(cs)/maxOutliers {
		worst := p.worst(s, cs, now)
		if worst == nil {
			return
		}
		worst.eject(now)
		s.admit(worst)
	}
}

// admit counts an outlier.
func (s *serviceState) admit(e *estimate) {
	s.outliers++
	if e.slow {
		s.slow++
	}
}

func (p *LatencyAware) worst(s *serviceState, cs []Candidate, now time.Time) *estimate {
	var worst *estimate
	most := 0.0
	for i := range cs {
		e := p.estimate(&cs[i], now)
		if e.ejected || !e.fails() && s.slow >= max(1, len(cs)/maxSlow) {
			continue
		}
		if bad := e.outlier(s.median); bad > most {
			worst, most = e, bad
		}
	}
	return worst
}

// probe takes an outlier whose next probe is due, or returns nil.
func (p *LatencyAware) probe(s *serviceState, cs []Candidate, now time.Time) *Candidate {
	if s.outliers == 0 {
		return nil
	}
	for i := range cs {
		e := p.estimate(&cs[i], now)
		if e.ejected && !e.probing && !now.Before(e.probe) && takes(&cs[i], now) {
			e.probing = true
			return &cs[i]
		}
	}
	return nil
}

// draw returns the cheapest of a few random candidates, or of all of them if
// they are few.
func (p *LatencyAware) draw(s *serviceState, cs []Candidate, now time.Time) *Candidate {
	var best *Candidate
	var least float64
	consider := func(c *Candidate) {
		e := p.estimate(c, now)
		if e.ejected || !free(c, now) {
			return
		}
		cost := e.cost(c, s.median, now) / p.weight(c.ID)
		if c.Zone != p.zone {
			cost += p.detour
		}
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	if len(cs) <= compareAll {
		start := p.intN(len(cs))
		for i := range cs {
			consider(&cs[(start+i)%len(cs)])
		}
		return best
	}
	others := otherDraws
	if len(s.local) == 0 {
		others += localDraws
	}
	for range min(localDraws, localDraws*len(s.local)) {
		consider(&cs[s.local[p.intN(len(s.local))]])
	}
	for range others {
		consider(&cs[p.intN(len(cs))])
	}
	return best
}

// scan takes any candidate with a free slot that is no outlier.
func (p *LatencyAware) scan(cs []Candidate, now time.Time) *Candidate {
	start := p.intN(len(cs))
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if !p.estimate(c, now).ejected && takes(c, now) {
			return c
		}
	}
	return nil
}

// sweep forgets endpoints that are gone.
func (p *LatencyAware) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for id, e := range p.known {
		if now.Sub(e.used) > forgetUnused {
			delete(p.known, id)
		}
	}
}
