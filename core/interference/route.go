package interference

import (
	"cmp"
	"math"
	"slices"
)

// avoidedWeight is what remains for an endpoint that requests are routed away
// from, so that its latency is still measured.
const avoidedWeight = 0.01

// Weights advises how requests of a service are shared among its endpoints.
// It is immutable. The weight of an endpoint without advice is 1.
type Weights struct {
	bySite map[siteKey]float64
}

// Weight returns the weight of the endpoint of a service on a VM, over 0 and
// up to 1. A nil Weights advises nothing.
func (w *Weights) Weight(service, vm string) float64 {
	if w == nil {
		return 1
	}
	if v, ok := w.bySite[siteKey{service, vm}]; ok {
		return v
	}
	return 1
}

// Len returns the number of endpoints with advice.
func (w *Weights) Len() int {
	if w == nil {
		return 0
	}
	return len(w.bySite)
}

// route decides which endpoints each service keeps: the ones predicted within
// the margin, and as many of the others, the best first, as the load needs.
func (p *Policy) route() *Weights {
	w := &Weights{bySite: make(map[siteKey]float64)}
	for i := 0; i < len(p.order); {
		end := i
		var sites []*site
		for end < len(p.order) && p.order[end].service == p.order[i].service {
			sites = append(sites, p.sites[p.order[end]])
			end++
		}
		p.routeService(sites, w)
		i = end
	}
	return w
}

func (p *Policy) routeService(sites []*site, w *Weights) {
	total := 0.0
	for _, s := range sites {
		total += s.load
	}
	need := int(math.Ceil(total / p.settings.Busy))
	slices.SortStableFunc(sites, func(a, b *site) int { return cmp.Compare(a.rank(), b.rank()) })
	for i, s := range sites {
		s.kept = i < need || s.rank() <= p.margin()
		if !s.kept {
			w.bySite[siteKey{s.service, s.vm}] = avoidedWeight
		}
	}
}

// rank orders sites; a kept one is preferred to an equal one.
func (s *site) rank() float64 {
	if s.kept {
		return s.predicted - sticky
	}
	return s.predicted
}

// missSlope is how sharply requests begin to miss the target around it.
const missSlope = 6

// avoidedHarm is the part of harm that counts on a VM whose endpoint is
// routed away from: it might be needed again.
const avoidedHarm = 0.05

// Harm predicts the share of requests that one more task of class on a VM
// makes miss their target.
func (p *Policy) Harm(vm, class string) float64 {
	harm := 0.0
	for service := range p.targets {
		s := p.sites[siteKey{service, vm}]
		if s == nil {
			continue
		}
		h := p.misses(s.predicted+p.added(s, class)) - p.misses(s.predicted)
		if !s.kept {
			h *= avoidedHarm
		}
		harm += h
	}
	return harm
}

// added is the effect of one more task of class at a site.
func (p *Policy) added(s *site, class string) float64 {
	n := 0.0
	if l := p.timelines[s.vm]; l != nil && len(l.stretches) > 0 {
		n = l.stretches[len(l.stretches)-1].beside[class]
	}
	e := p.model.effect(s.service, class, Band(s.load), p.now)
	return (saturation(n+1) - saturation(n)) * e
}

// misses is a smooth share of requests beyond the target.
func (p *Policy) misses(predicted float64) float64 {
	return 1 / (1 + math.Exp(-missSlope*(predicted-p.margin())))
}
