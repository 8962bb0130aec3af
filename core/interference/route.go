package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// avoidedWeight is the weight of an endpoint that requests are routed away from. It is
// not 0, so that the latency of the endpoint is still measured.
const avoidedWeight = 0.004

// peakDecay is the factor by which a peak of load decays in each call of Policy.Decide.
const peakDecay = 0.99995

// Weights is an immutable set of weights for the distribution of the requests of
// services among their endpoints. The weight of an endpoint that is not in the set is 1.
type Weights struct {
	byEndpoint map[endpointKey]float64
}

// Weight returns the weight of the endpoint of a service on a VM, which is greater than
// 0 and at most 1. A nil Weights is an empty set.
func (w *Weights) Weight(service, vm string) float64 {
	if w == nil {
		return 1
	}
	if v, ok := w.byEndpoint[endpointKey{service, vm}]; ok {
		return v
	}
	return 1
}

// Len returns the number of endpoints in the set.
func (w *Weights) Len() int {
	if w == nil {
		return 0
	}
	return len(w.byEndpoint)
}

// routeServices decides which endpoints each service keeps: those that are predicted to
// be least disturbed at peak load, and as many as the peak load needs. The other
// endpoints are used as long as their predicted latency is within the margin.
func (p *Policy) routeServices() *Weights {
	w := &Weights{byEndpoint: make(map[endpointKey]float64)}
	keptVMs := make(map[string]bool)
	for i := 0; i < len(p.endpointOrder); {
		var endpoints []*endpointState
		service := p.endpointOrder[i].service
		for ; i < len(p.endpointOrder) && p.endpointOrder[i].service == service; i++ {
			endpoints = append(endpoints, p.endpoints[p.endpointOrder[i]])
		}
		p.routeService(service, endpoints, keptVMs, w)
	}
	return w
}

// routeService decides which endpoints of one service are kept and which are avoided.
// It prefers the VMs in keptVMs, on which other services keep endpoints.
func (p *Policy) routeService(service string, endpoints []*endpointState, keptVMs map[string]bool, w *Weights) {
	need := p.neededEndpoints(service, endpoints)
	for _, s := range endpoints {
		s.rank = max(s.predicted, p.predictAtPeak(s, ""))
		if s.kept && s.rank <= p.logMargin() {
			s.rank -= keptAdvantage
		}
		if keptVMs[s.vm] {
			s.rank -= sharedVMAdvantage
		}
	}
	slices.SortStableFunc(endpoints, func(a, b *endpointState) int { return cmp.Compare(a.rank, b.rank) })
	for i, s := range endpoints {
		s.kept = i < need
		limit := p.logMargin()
		if s.avoided {
			limit -= returnMargin
		}
		s.avoided = !s.kept && s.predicted > limit
		if s.kept {
			keptVMs[s.vm] = true
		}
		if s.avoided {
			w.byEndpoint[endpointKey{s.service, s.vm}] = avoidedWeight
		}
	}
}

// neededEndpoints returns the number of endpoints that the service needs for its peak
// load if no endpoint is disturbed.
func (p *Policy) neededEndpoints(service string, endpoints []*endpointState) int {
	total := 0.0
	for _, s := range endpoints {
		total += s.load * math.Exp(-s.disturbance)
	}
	p.peaks[service] = max(total, p.peaks[service]*peakDecay)
	return int(math.Ceil(p.peaks[service] / p.settings.MaxLoad))
}

// missSlope is the steepness of the sigmoid by which missRate rises with the predicted
// logarithm of the ratio of latency to target.
const missSlope = 12

// notKeptFactor is the weight of the added miss rate of an endpoint that the service
// does not keep. It is not 0, because the endpoint might be needed again.
const notKeptFactor = 0.005

// AddedMissRate predicts the additional share of requests, summed over the services on
// a VM, that one more task of class makes miss their target at the load
// Settings.MaxLoad. An endpoint that the service does not keep counts little.
func (p *Policy) AddedMissRate(vm, class string) float64 {
	added := 0.0
	for _, service := range p.services {
		s := p.endpoints[endpointKey{service, vm}]
		if s == nil {
			continue
		}
		before := p.predictAtPeak(s, "")
		rate := p.missRate(p.predictAtPeak(s, class)) - p.missRate(before)
		if !s.kept {
			rate *= notKeptFactor
		}
		added += rate
	}
	return added
}

// IsSpare reports whether at least one service has an endpoint on vm, and no service
// needs its endpoint there.
func (p *Policy) IsSpare(vm string) bool {
	spare := false
	for _, service := range p.services {
		if s := p.endpoints[endpointKey{service, vm}]; s != nil {
			if s.kept {
				return false
			}
			spare = true
		}
	}
	return spare
}

// predictAtPeak predicts the logarithm of the ratio of an endpoint's latency to its
// target at the load Settings.MaxLoad with one more task of class, or without a further
// task if class is empty.
func (p *Policy) predictAtPeak(s *endpointState, class string) float64 {
	after := make(exposure)
	if l := p.timelines[s.vm]; l != nil && len(l.spans) > 0 {
		maps.Copy(after, l.spans[len(l.spans)-1].exposure)
	}
	if class != "" {
		after[class]++
	}
	return p.model.predict(s.service, s.vm, Band(p.settings.MaxLoad), after, p.now)
}

// missRate returns the estimated share of requests beyond the target, as a smooth
// function of the predicted logarithm of the ratio of latency to target. The share is
// taken as one half at Settings.Margin.
func (p *Policy) missRate(predicted float64) float64 {
	return 1 / (1 + math.Exp(-missSlope*(predicted-p.logMargin())))
}
