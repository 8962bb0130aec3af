package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The load of an endpoint, which is its mean share of slots in use, is divided into
// bands of equal width. allBands denotes a term that applies in every band.
const (
	bandCount = 4
	allBands  = -1
)

// Band returns the band of a load between 0 and 1.
func Band(load float64) int {
	return max(0, min(bandCount-1, int(load*bandCount)))
}

// prior is the variance of an estimate before any measurement, and the time constant
// with which the estimate returns to it without further measurements.
type prior struct {
	variance  float64
	decayTime time.Duration
}

// Priors of the terms of a prediction, in logarithms of latency. The prior mean of
// every term is 0, so a class has no effect before any measurement.
var (
	baselinePrior  = prior{4, 24 * time.Hour}
	bandPrior      = prior{0.5, 24 * time.Hour}
	classPrior     = prior{0.5, 6 * time.Hour}
	classBandPrior = prior{0.1, 6 * time.Hour}
	vmPrior        = prior{0.02, 3 * time.Minute}
)

// The noise of a measured 99th percentile, as a variance, is the sum of noiseFloor and
// of requestNoise divided by the number of requests.
const (
	noiseFloor   = 0.02
	requestNoise = 5.0
)

// term identifies one additive term of a prediction. The baseline of a service has
// neither a class nor a VM.
type term struct {
	service, class, vm string
	band               int
}

func (t term) prior() prior {
	switch {
	case t.vm != "":
		return vmPrior
	case t.class != "" && t.band == allBands:
		return classPrior
	case t.class != "":
		return classBandPrior
	case t.band == allBands:
		return baselinePrior
	}
	return bandPrior
}

// estimate is a normal distribution of the value of one term.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// model predicts the logarithm of the ratio of latency to target as a sum of terms. The
// terms are learned by Kalman filter updates with a diagonal covariance: terms with a
// large variance take most of a prediction error, and terms that did not apply to the
// measurement take none of it.
type model struct {
	terms map[term]estimate
}

func newModel() *model { return &model{terms: make(map[term]estimate)} }

// estimateAt returns the estimate of t at now, decayed towards its prior. The means of
// terms with neither a class nor a VM do not decay.
func (m *model) estimateAt(t term, now time.Time) estimate {
	p := t.prior()
	e, ok := m.terms[t]
	if !ok {
		return estimate{0, p.variance, now}
	}
	retained := math.Exp(-max(0, now.Sub(e.at).Seconds()) / p.decayTime.Seconds())
	e.variance = p.variance + (e.variance-p.variance)*retained
	e.at = now
	if t.class != "" || t.vm != "" {
		e.mean *= retained
	}
	return e
}

// weightedTerm is a term with the strength with which it applies; 0 means not at all.
type weightedTerm struct {
	term   term
	weight float64
}

// exposure is the number of tasks of each class that run on a VM, which may be an
// average over an interval. A throttled task counts as a fraction.
type exposure map[string]float64

// classes returns the classes in sorted order, so that floating-point sums are
// deterministic.
func (e exposure) classes() []string { return slices.Sorted(maps.Keys(e)) }

// saturation returns the strength of the combined effect of a number of tasks, relative
// to that of one task. Each further task adds less to it.
func saturation(tasks float64) float64 { return 2 * tasks / (tasks + 1) }

// applicableTerms returns the terms that apply to an endpoint, with their weights.
func applicableTerms(service, vm string, band int, exposed exposure) []weightedTerm {
	terms := make([]weightedTerm, 0, 3+2*len(exposed))
	terms = append(terms, weightedTerm{term{service: service, band: allBands}, 1},
		weightedTerm{term{service: service, band: band}, 1},
		weightedTerm{term{service: service, vm: vm, band: allBands}, 1})
	for _, class := range exposed.classes() {
		w := saturation(exposed[class])
		terms = append(terms, weightedTerm{term{service: service, class: class, band: allBands}, w},
			weightedTerm{term{service: service, class: class, band: band}, w})
	}
	return terms
}

// learn updates the terms from a measurement y of their weighted sum with the given
// noise variance.
func (m *model) learn(terms []weightedTerm, y, noise float64, now time.Time) {
	es := make([]estimate, len(terms))
	mean, variance := 0.0, noise
	for i, t := range terms {
		es[i] = m.estimateAt(t.term, now)
		mean += t.weight * es[i].mean
		variance += t.weight * t.weight * es[i].variance
	}
	for i, t := range terms {
		gain := es[i].variance * t.weight / variance
		es[i].mean += gain * (y - mean)
		es[i].variance *= 1 - gain*t.weight
		if t.term.class != "" && t.term.band == allBands {
			// No class speeds a service up. An apparent speed-up is part of
			// the baseline.
			es[i].mean = max(0, es[i].mean)
		}
		m.terms[t.term] = es[i]
	}
}

// predict returns the expected logarithm of the ratio of latency to target. The effect
// of a class is never negative.
func (m *model) predict(service, vm string, band int, exposed exposure, now time.Time) float64 {
	y := 0.0
	for _, t := range applicableTerms(service, vm, band, nil) {
		y += t.weight * m.estimateAt(t.term, now).mean
	}
	for _, class := range exposed.classes() {
		y += saturation(exposed[class]) * m.effect(service, class, band, now)
	}
	return y
}

// effect returns the logarithm of the factor by which one task of a class on the same
// VM slows the service down. It is never negative.
func (m *model) effect(service, class string, band int, now time.Time) float64 {
	all := m.estimateAt(term{service: service, class: class, band: allBands}, now)
	return max(0, all.mean+m.bandDifference(service, class, band, now))
}

// bandDifference returns the difference between the effect of a class in one band and
// its effect in all bands. If little is known about the band, the value of the nearest
// lower band with enough measurements is used.
func (m *model) bandDifference(service, class string, band int, now time.Time) float64 {
	for b := band; b >= 0; b-- {
		e := m.estimateAt(term{service: service, class: class, band: b}, now)
		if e.variance < classBandPrior.variance/2 {
			return e.mean
		}
	}
	return 0
}

func noiseVariance(requests int) float64 {
	return noiseFloor + requestNoise/float64(max(1, requests))
}
