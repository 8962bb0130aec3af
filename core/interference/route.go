package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// avoidedWeight is what remains for an endpoint that requests are routed away
// from, so that its latency is still measured.
const avoidedWeight = 0.004

// peakKept is how much of a peak of load is left after each tick.
const peakKept = 0.99995

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

// route decides which endpoints each service keeps: the ones that are expected
// to be least disturbed at the peak of load, as many as that peak needs. The
// others are used while they are predicted within the margin.
func (p *Policy) route() *Weights {
	w := &Weights{bySite: make(map[siteKey]float64)}
	keeping := make(map[string]bool)
	for i := 0; i < len(p.order); {
		var sites []*site
		service := p.order[i].service
		for ; i < len(p.order) && p.order[i].service == service; i++ {
			sites = append(sites, p.sites[p.order[i]])
		}
		p.routeService(service, sites, keeping, w)
	}
	return w
}

// routeService keeps endpoints of one service, first on the VMs that services
// before it keep.
func (p *Policy) routeService(service string, sites []*site, keeping map[string]bool, w *Weights) {
	need := p.needed(service, sites)
	for _, s := range sites {
		s.rank = max(s.predicted, p.outlookAt(s, ""))
		if s.kept && s.rank <= p.margin() {
			s.rank -= sticky
		}
		if keeping[s.vm] {
			s.rank -= shared
		}
	}
	slices.SortStableFunc(sites, func(a, b *site) int { return cmp.Compare(a.rank, b.rank) })
	for i, s := range sites {
		s.kept = i < need
		limit := p.margin()
		if s.avoided {
			limit -= returning
		}
		s.avoided = !s.kept && s.predicted > limit
		if s.kept {
			keeping[s.vm] = true
		}
		if s.avoided {
			w.bySite[siteKey{s.service, s.vm}] = avoidedWeight
		}
	}
}

// needed returns how many endpoints carry the peak of the service's load when
// none is disturbed.
func (p *Policy) needed(service string, sites []*site) int {
	total := 0.0
	for _, s := range sites {
		total += s.load * math.Exp(-s.disturbed)
	}
	p.peaks[service] = max(total, p.peaks[service]*peakKept)
	return int(math.Ceil(p.peaks[service] / p.settings.MaxLoad))
}

// missSlope is how sharply requests begin to miss the target around it.
const missSlope = 12

// avoidedHarm is the part of harm that counts on a VM whose endpoint is
// routed away from: it might be needed again.
const avoidedHarm = 0.005

// Harm predicts the share of requests that one more task of class on a VM
// makes miss their target at the usual peak of load.
func (p *Policy) AddedMissRate(vm, class string) float64 {
	harm := 0.0
	for _, service := range p.services {
		s := p.sites[siteKey{service, vm}]
		if s == nil {
			continue
		}
		before := p.outlookAt(s, "")
		h := p.misses(p.outlookAt(s, class)) - p.misses(before)
		if !s.kept {
			h *= avoidedHarm
		}
		harm += h
	}
	return harm
}

// Spare reports whether no service needs its endpoint on vm, and at least one
// has such an endpoint.
func (p *Policy) IsSpare(vm string) bool {
	spare := false
	for _, service := range p.services {
		if s := p.sites[siteKey{service, vm}]; s != nil {
			if s.kept {
				return false
			}
			spare = true
		}
	}
	return spare
}

// outlookAt predicts a site at its peak of load with one more task of class,
// or with none if class is empty.
func (p *Policy) outlookAt(s *site, class string) float64 {
	after := make(exposure)
	if l := p.timelines[s.vm]; l != nil && len(l.stretches) > 0 {
		maps.Copy(after, l.stretches[len(l.stretches)-1].beside)
	}
	if class != "" {
		after[class]++
	}
	return p.model.predict(s.service, s.vm, Band(p.settings.MaxLoad), after, p.now)
}

// misses is a smooth share of requests beyond the target.
func (p *Policy) misses(predicted float64) float64 {
	return 1 / (1 + math.Exp(-missSlope*(predicted-p.margin())))
}
