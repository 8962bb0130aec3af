package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Bands of load: an endpoint's mean share of slots in use, in quarters.
const (
	bands   = 4
	anyBand = -1
)

// Band returns the band of a load from 0 to 1.
func Band(load float64) int {
	return max(0, min(bands-1, int(load*bands)))
}

// prior is what an estimate is before any measurement, and to what it returns
// when measurements stop.
type prior struct {
	variance float64
	forget   time.Duration
}

// Priors of the parts of a prediction, in logarithms of latency. Effects of
// classes start at none.
var (
	levelPrior = prior{4, 24 * time.Hour}
	bandPrior  = prior{0.5, 24 * time.Hour}
	pairPrior  = prior{0.5, 6 * time.Hour}
	shiftPrior = prior{0.1, 6 * time.Hour}
	vmPrior    = prior{0.02, 3 * time.Minute}
)

// Noise of a measured 99th percentile, as a variance: a floor, and a part
// that falls with the number of requests.
const (
	noiseFloor   = 0.02
	noiseRequest = 5.0
)

// term names one additive part of a prediction. The level of a service has
// neither class nor VM.
type term struct {
	service, class, vm string
	band               int
}

func (t term) prior() prior {
	switch {
	case t.vm != "":
		return vmPrior
	case t.class != "" && t.band == anyBand:
		return pairPrior
	case t.class != "":
		return shiftPrior
	case t.band == anyBand:
		return levelPrior
	}
	return bandPrior
}

// estimate is a normal belief about one term.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// model predicts the logarithm of latency over target as a sum of terms, each
// learnt by a Kalman step with a diagonal covariance. A term of which little
// is known takes most of a surprise, and terms that were not exposed none.
type model struct {
	terms map[term]estimate
}

func newModel() *model { return &model{terms: make(map[term]estimate)} }

// get returns the belief about t at now, partly forgotten.
func (m *model) get(t term, now time.Time) estimate {
	p := t.prior()
	e, ok := m.terms[t]
	if !ok {
		return estimate{0, p.variance, now}
	}
	kept := math.Exp(-max(0, now.Sub(e.at).Seconds()) / p.forget.Seconds())
	e.variance = p.variance + (e.variance-p.variance)*kept
	e.at = now
	if t.class != "" || t.vm != "" {
		e.mean *= kept
	}
	return e
}

// part is a term with how strongly it applies, 0 for not at all.
type part struct {
	term   term
	weight float64
}

// exposure is how many tasks of each class were beside an endpoint, on
// average over an interval; throttled ones count in part.
type exposure map[string]float64

// classes returns the classes in order, so that sums of floating-point numbers
// are the same in every run.
func (e exposure) classes() []string { return slices.Sorted(maps.Keys(e)) }

// saturation turns a number of tasks into the strength of their effect, which
// grows less with each further task.
func saturation(tasks float64) float64 { return 2 * tasks / (tasks + 1) }

// parts lists the terms that apply to an endpoint.
func parts(service, vm string, band int, beside exposure) []part {
	ps := make([]part, 0, 3+2*len(beside))
	ps = append(ps, part{term{service: service, band: anyBand}, 1},
		part{term{service: service, band: band}, 1},
		part{term{service: service, vm: vm, band: anyBand}, 1})
	for _, class := range beside.classes() {
		w := saturation(beside[class])
		ps = append(ps, part{term{service: service, class: class, band: anyBand}, w},
			part{term{service: service, class: class, band: band}, w})
	}
	return ps
}

// learn takes in that the parts together gave y, with the given noise.
func (m *model) learn(ps []part, y, noise float64, now time.Time) {
	es := make([]estimate, len(ps))
	mean, variance := 0.0, noise
	for i, p := range ps {
		es[i] = m.get(p.term, now)
		mean += p.weight * es[i].mean
		variance += p.weight * p.weight * es[i].variance
	}
	for i, p := range ps {
		gain := es[i].variance * p.weight / variance
		es[i].mean += gain * (y - mean)
		es[i].variance *= 1 - gain*p.weight
		if p.term.class != "" && p.term.band == anyBand {
			// No class is a help: what looks like one belongs to the level.
			es[i].mean = max(0, es[i].mean)
		}
		m.terms[p.term] = es[i]
	}
}

// predict returns the expected logarithm of latency over target. Classes
// never count as a help.
func (m *model) predict(service, vm string, band int, beside exposure, now time.Time) float64 {
	y := 0.0
	for _, p := range parts(service, vm, band, nil) {
		y += p.weight * m.get(p.term, now).mean
	}
	for _, class := range beside.classes() {
		y += saturation(beside[class]) * m.effect(service, class, band, now)
	}
	return y
}

// effect returns how much slower the service is beside one task of a class,
// as a logarithm, 0 or more.
func (m *model) effect(service, class string, band int, now time.Time) float64 {
	all := m.get(term{service: service, class: class, band: anyBand}, now)
	return max(0, all.mean+m.shift(service, class, band, now))
}

// shift returns how the effect of a class in a band differs from its effect
// in all bands. A band of which little is known is taken to be like the
// nearest lower one that is known.
func (m *model) shift(service, class string, band int, now time.Time) float64 {
	for b := band; b >= 0; b-- {
		e := m.get(term{service: service, class: class, band: b}, now)
		if e.variance < shiftPrior.variance/2 {
			return e.mean
		}
	}
	return 0
}

func noiseOf(requests int) float64 {
	return noiseFloor + noiseRequest/float64(max(1, requests))
}
