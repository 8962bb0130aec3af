package endpoint

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/caller"
)

// LatencyAware picks the endpoint with the lowest expected time of one more
// request: a decaying estimate of the endpoint's latency, weighted by the slots
// in use. It adds the cross-zone cost to endpoints in other availability zones. Of
// a service with many endpoints it compares only a few random ones of its own zone
// and some from any zone. If none of these has a free slot, it picks any endpoint
// that has one.
// Outliers, which are slow or failing endpoints, receive only probes. Failures
// do not enter the latency estimate, so an endpoint that fails fast attracts no
// requests. The methods may be called from any goroutine.
type LatencyAware struct {
	zone string
	// crossZoneCost is added to the cost of an endpoint in another zone, in
	// seconds.
	crossZoneCost float64
	weight        func(id string) float64
	intN          func(n int) int

	mu        sync.Mutex
	estimates map[string]*estimate
	services  map[string]*serviceState
	sweptAt   time.Time
}

// serviceState is the state of LatencyAware for one service.
type serviceState struct {
	// localIndexes are the indexes of the candidates in the policy's own zone.
	// firstCandidate and candidateCount identify the view that they refer to.
	firstCandidate    *Candidate
	candidateCount    int
	localIndexes      []int
	medianLatency     float64
	outliersUpdatedAt time.Time
	outliers          int
	slowOutliers      int
}

// Intervals of the maintenance of a LatencyAware policy.
const (
	outlierUpdateInterval = 100 * time.Millisecond
	sweepInterval         = time.Minute
	// unusedRetention is how long the estimate of an unused endpoint is kept.
	unusedRetention = 10 * time.Minute
)

// Numbers of random candidates to compare if a service has more than
// compareAllLimit. They are not smaller because an entry's share of an endpoint
// is only a few slots, so that many of the candidates drawn are full.
const (
	compareAllLimit = 32
	localDraws      = 8
	anyZoneDraws    = 4
)

// Divisors that limit the outliers of a service: at most one in outlierDivisor
// endpoints is an outlier at a time, and at most one in slowOutlierDivisor, or a
// single one, is a slow outlier. Slow endpoints have the lower limit because they
// still answer.
const (
	outlierDivisor     = 2
	slowOutlierDivisor = 4
)

// LatencyAwareOption configures a LatencyAware policy.
type LatencyAwareOption func(*LatencyAware)

// WithZone makes the policy prefer an availability zone. An endpoint in another
// zone costs crossZoneCost more.
func WithZone(zone string, crossZoneCost time.Duration) LatencyAwareOption {
	return func(p *LatencyAware) { p.zone, p.crossZoneCost = zone, crossZoneCost.Seconds() }
}

// WithWeights makes the policy send fewer requests to endpoints of lower weight.
// A weight is greater than 0 and at most 1. weight may be called from any
// goroutine.
func WithWeights(weight func(id string) float64) LatencyAwareOption {
	return func(p *LatencyAware) { p.weight = weight }
}

// WithIntN makes the policy draw random numbers in [0, n) from f, which is
// called by one goroutine at a time.
func WithIntN(f func(n int) int) LatencyAwareOption { return func(p *LatencyAware) { p.intN = f } }

// NewLatencyAware returns a policy without estimates.
func NewLatencyAware(opts ...LatencyAwareOption) *LatencyAware {
	p := &LatencyAware{estimates: make(map[string]*estimate), services: make(map[string]*serviceState),
		intN: rand.IntN, weight: func(string) float64 { return 1 }}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Observe records how an attempt at an endpoint ended. It must not be called for
// an attempt that the caller cancelled, which says nothing about the endpoint.
func (p *LatencyAware) Observe(id string, d time.Duration, r caller.Result, httpStatus int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.estimates[id]
	if e == nil {
		return
	}
	// Estimates do not record the service of their endpoint, so the limit is the
	// highest one of all services.
	limit := 0.0
	for _, s := range p.services {
		limit = max(limit, slowFactor*s.medianLatency)
	}
	e.observe(d, isFailure(r, httpStatus), limit, now)
}

// Pick implements Policy.
func (p *LatencyAware) Pick(cs []Candidate, now time.Time) *Candidate {
	if len(cs) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serviceState(cs, now)
	if c := p.takeProbe(s, cs, now); c != nil {
		return c
	}
	if c := p.cheapest(s, cs, now); c != nil && tryAcquire(c, now) {
		return c
	}
	return p.takeAny(cs, now)
}

// serviceState returns the state of the candidates' service, after updating its
// outliers if this is due.
func (p *LatencyAware) serviceState(cs []Candidate, now time.Time) *serviceState {
	s := p.services[cs[0].Service]
	if s == nil {
		s = &serviceState{}
		p.services[cs[0].Service] = s
	}
	if s.firstCandidate != &cs[0] || s.candidateCount != len(cs) {
		s.firstCandidate, s.candidateCount, s.localIndexes = &cs[0], len(cs), nil
		for i := range cs {
			if cs[i].Zone == p.zone {
				s.localIndexes = append(s.localIndexes, i)
			}
		}
		s.outliersUpdatedAt = time.Time{}
	}
	if now.Sub(s.outliersUpdatedAt) >= outlierUpdateInterval {
		s.outliersUpdatedAt = now
		p.updateOutliers(s, cs, now)
	}
	p.deleteUnused(now)
	return s
}

// estimate returns the estimate of a candidate. It creates a new one for an
// unknown endpoint or a new incarnation.
func (p *LatencyAware) estimate(c *Candidate, now time.Time) *estimate {
	e := p.estimates[c.ID]
	if e == nil || e.load != c.Load {
		e = &estimate{load: c.Load, createdAt: now}
		p.estimates[c.ID] = e
	}
	return e
}

// updateOutliers computes the median latency and ejects the worst outliers.
func (p *LatencyAware) updateOutliers(s *serviceState, cs []Candidate, now time.Time) {
	var means []float64
	s.outliers, s.slowOutliers = 0, 0
	for i := range cs {
		e := p.estimate(&cs[i], now)
		e.lastCandidateAt = now
		if e.ejected {
			s.countOutlier(e)
		} else if e.samples >= minSamples {
			means = append(means, e.mean)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		s.medianLatency = means[(len(means)-1)/2]
	}
	for s.outliers < len(cs)/outlierDivisor {
		worst := p.worstOutlier(s, cs, now)
		if worst == nil {
			return
		}
		worst.eject(now)
		s.countOutlier(worst)
	}
}

// countOutlier adds e to the counts of outliers.
func (s *serviceState) countOutlier(e *estimate) {
	s.outliers++
	if e.slow {
		s.slowOutliers++
	}
}

// worstOutlier returns the estimate of the worst outlier that may be ejected, or
// nil.
func (p *LatencyAware) worstOutlier(s *serviceState, cs []Candidate, now time.Time) *estimate {
	var worst *estimate
	worstScore := 0.0
	for i := range cs {
		e := p.estimate(&cs[i], now)
		if e.ejected || !e.isFailing() && s.slowOutliers >= max(1, len(cs)/slowOutlierDivisor) {
			continue
		}
		if score := e.outlierScore(s.medianLatency); score > worstScore {
			worst, worstScore = e, score
		}
	}
	return worst
}

// takeProbe takes a slot of an outlier whose next probe is due, or returns nil.
func (p *LatencyAware) takeProbe(s *serviceState, cs []Candidate, now time.Time) *Candidate {
	if s.outliers == 0 {
		return nil
	}
	for i := range cs {
		e := p.estimate(&cs[i], now)
		if e.ejected && !e.probing && !now.Before(e.nextProbe) && tryAcquire(&cs[i], now) {
			e.probing = true
			return &cs[i]
		}
	}
	return nil
}

// cheapest returns the candidate with the lowest cost among a few random ones, or
// among all of them if they are few.
func (p *LatencyAware) cheapest(s *serviceState, cs []Candidate, now time.Time) *Candidate {
	var best *Candidate
	var leastCost float64
	consider := func(c *Candidate) {
		e := p.estimate(c, now)
		if e.ejected || !hasFreeSlot(c, now) {
			return
		}
		cost := e.cost(c, s.medianLatency, now) / p.weight(c.ID)
		if c.Zone != p.zone {
			cost += p.crossZoneCost
		}
		if best == nil || cost < leastCost {
			best, leastCost = c, cost
		}
	}
	if len(cs) <= compareAllLimit {
		start := p.intN(len(cs))
		for i := range cs {
			consider(&cs[(start+i)%len(cs)])
		}
		return best
	}
	anyZone := anyZoneDraws
	if len(s.localIndexes) == 0 {
		anyZone += localDraws
	}
	for range min(localDraws, localDraws*len(s.localIndexes)) {
		consider(&cs[s.localIndexes[p.intN(len(s.localIndexes))]])
	}
	for range anyZone {
		consider(&cs[p.intN(len(cs))])
	}
	return best
}

// takeAny takes a slot of any candidate that is not an outlier, or returns nil.
func (p *LatencyAware) takeAny(cs []Candidate, now time.Time) *Candidate {
	start := p.intN(len(cs))
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if !p.estimate(c, now).ejected && tryAcquire(c, now) {
			return c
		}
	}
	return nil
}

// deleteUnused deletes the estimates of endpoints that have not been candidates
// for unusedRetention.
func (p *LatencyAware) deleteUnused(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for id, e := range p.estimates {
		if now.Sub(e.lastCandidateAt) > unusedRetention {
			delete(p.estimates, id)
		}
	}
}
