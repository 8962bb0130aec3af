package endpoint

import (
	"math"
	"time"

	"rosemarygap/core/caller"
)

// Parameters of the estimates.
const (
	// ewmaWeight is the weight of the newest sample in the moving averages.
	ewmaWeight = 0.1
	// minSamples is the number of samples that an estimate needs before it
	// can mark its endpoint as an outlier.
	minSamples = 5
	// slowFactor is the ratio to the median latency of the service above which
	// an endpoint is an outlier, and maxFailureRatio the share of failed
	// requests above which it is one.
	slowFactor      = 5
	maxFailureRatio = 0.5
	// readmitProbes is how many consecutive probes must succeed before an
	// outlier is readmitted.
	readmitProbes = 3
	// The first probe of an outlier is sent after minProbeInterval. The
	// interval doubles with each failed probe, up to maxProbeInterval.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// slowStartPeriod is how long the cost of a new endpoint is raised, from
	// slowStartFactor times its own cost down to its own cost.
	slowStartPeriod = 2 * time.Second
	slowStartFactor = 4
	// decayTime is the time constant with which an estimate without new
	// samples returns to the median.
	decayTime = 500 * time.Millisecond
	// defaultMean is the mean latency in seconds that is assumed while the
	// service has no median.
	defaultMean = 0.005
)

// estimate is what this entry has measured of one endpoint.
type estimate struct {
	// load identifies the incarnation of the endpoint. A new incarnation gets
	// a new estimate.
	load      *Load
	createdAt time.Time
	// lastCandidateAt is when the endpoint was last seen among the candidates of
	// its service or was readmitted.
	lastCandidateAt time.Time
	// mean is the moving average of the latency of successful attempts, in
	// seconds.
	mean    float64
	samples int
	// sampledAt is when the mean was last updated.
	sampledAt time.Time
	// failureRatio is the moving average of the share of failed attempts.
	failureRatio float64
	attempts     int

	// ejected is true while the endpoint is an outlier, which receives only
	// probes.
	ejected bool
	// slow is true for a slow outlier and false for a failing one.
	slow           bool
	probing        bool
	probeSuccesses int
	probeInterval  time.Duration
	nextProbe      time.Time
}

// observe records one attempt. If the endpoint is ejected, the attempt counts as
// a probe, and limit is the highest latency in seconds that counts as success; 0
// means no limit.
func (e *estimate) observe(d time.Duration, failed bool, limit float64, now time.Time) {
	if e.ejected {
		e.observeProbe(!failed && (limit == 0 || d.Seconds() <= limit), now)
		return
	}
	e.attempts++
	w := max(ewmaWeight, 1/float64(e.attempts))
	if failed {
		e.failureRatio += w * (1 - e.failureRatio)
		return
	}
	e.failureRatio -= w * e.failureRatio
	e.samples++
	e.sampledAt = now
	e.mean += max(ewmaWeight, 1/float64(e.samples)) * (d.Seconds() - e.mean)
}

// observeProbe records the result of an attempt at an ejected endpoint: a probe,
// or an attempt that was dispatched before the endpoint was ejected.
func (e *estimate) observeProbe(succeeded bool, now time.Time) {
	e.probing = false
	if succeeded {
		e.probeSuccesses++
		e.nextProbe = now
	} else {
		e.probeSuccesses = 0
		e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
		e.nextProbe = now.Add(e.probeInterval)
	}
	if e.probeSuccesses >= readmitProbes {
		load := e.load
		*e = estimate{load: load, createdAt: now, lastCandidateAt: now, probeInterval: e.probeInterval}
	}
}

// eject marks the endpoint as an outlier and schedules its first probe.
func (e *estimate) eject(now time.Time) {
	e.ejected, e.probing, e.probeSuccesses = true, false, 0
	e.slow = !e.isFailing()
	e.probeInterval = max(e.probeInterval, minProbeInterval)
	e.nextProbe = now.Add(e.probeInterval)
}

// isFailing reports whether the share of failed attempts is above the limit.
func (e *estimate) isFailing() bool {
	return e.attempts >= minSamples && e.failureRatio > maxFailureRatio
}

// outlierScore returns how much worse the endpoint is than its service, whose
// median latency is given in seconds. 0 means that it is not an outlier.
func (e *estimate) outlierScore(median float64) float64 {
	if e.isFailing() {
		return slowFactor * (1 + e.failureRatio)
	}
	if e.samples >= minSamples && median > 0 && e.mean > slowFactor*median {
		return e.mean / median
	}
	return 0
}

// cost returns the expected time of one more request at c, in seconds.
func (e *estimate) cost(c *Candidate, median float64, now time.Time) float64 {
	mean := median
	if mean == 0 {
		mean = defaultMean
	}
	if e.samples >= minSamples {
		// An endpoint that receives no requests gets no new samples, so its
		// estimate decays to the median.
		freshness := math.Exp(-now.Sub(e.sampledAt).Seconds() / decayTime.Seconds())
		mean += (e.mean - mean) * freshness
	}
	utilization := float64(c.Load.InFlight()+1) / float64(max(1, c.Load.Limit()))
	// The success ratio has a lower bound, so that the cost stays finite.
	cost := mean * (1 + utilization) / max(1-e.failureRatio, ewmaWeight)
	if age := now.Sub(e.createdAt); age < slowStartPeriod {
		cost *= 1 + (slowStartFactor-1)*(1-float64(age)/float64(slowStartPeriod))
	}
	return cost
}

// isFailure reports whether an attempt counts as a failure of its endpoint.
func isFailure(r caller.Result, httpStatus int) bool {
	return r != caller.Complete || httpStatus >= 500
}
