package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Throttle limits a task to a share of its processors, in thousandths; 0 removes the
// limit.
type Throttle struct {
	Job        string
	ShareMilli int
}

// Decision contains the countermeasures that a tick of the policy requests.
type Decision struct {
	Weights   *Weights
	Throttles []Throttle
	// Evictions lists the jobs whose attempts should be stopped and resumed
	// later.
	Evictions []string
}

const (
	// endpointTTL is how long the state of an endpoint is kept without a
	// measurement.
	endpointTTL = 3 * time.Minute
	// keptAdvantage is by how much, as a logarithm, the predicted latency of an
	// endpoint that its service keeps may exceed that of another endpoint before
	// the service keeps the other one instead. It does not apply to an endpoint
	// that is predicted to exceed Settings.Margin. sharedVMAdvantage is the same
	// for an endpoint on a VM on which another service keeps an endpoint, and
	// applies at any prediction.
	keptAdvantage     = 0.6
	sharedVMAdvantage = 0.3
	// returnMargin is by how much, as a logarithm, the prediction for an avoided
	// endpoint must be below Settings.Margin before requests are routed to it
	// again.
	returnMargin = 0.15
	// releaseMargin is by how much, as a logarithm, the prediction without a
	// throttle must be below Settings.Margin before the throttle is removed.
	releaseMargin = 0.25
	// settleTime is the time after which the effect of a countermeasure is
	// visible in measurements: the delay of a measurement and the length of the
	// interval that it covers.
	settleTime = 70 * time.Second
	// maxEvictions is the number of evictions after which a job is not evicted
	// again.
	maxEvictions = 3
)

// throttleSteps are the shares of its processors, in thousandths, to which an
// interfering task is limited one after the other.
var throttleSteps = []int{500, 250}

// Decide runs one tick. It records the running tasks of each VM, and returns the
// countermeasures for services that are predicted to exceed the margin: requests are
// routed to the endpoints that are disturbed least, tasks are throttled on the VMs of the
// endpoints that are needed nevertheless, and evicted where throttles do not suffice.
func (p *Policy) Decide(tasks []Task, now time.Time) Decision {
	p.now = now
	byVM := p.recordTasks(tasks, now)
	p.updatePredictions(byVM, now)
	d := Decision{Weights: p.routeServices()}
	p.budget.refill(now, p.settings)
	p.dropEndedTasks(tasks)
	for _, vm := range sortedVMs(byVM) {
		p.relieveVM(&d, vm, byVM[vm], now)
	}
	return d
}

func insertKey(ks []endpointKey, k endpointKey) []endpointKey {
	i, _ := slices.BinarySearchFunc(ks, k, compareKeys)
	return slices.Insert(ks, i, k)
}

func compareKeys(a, b endpointKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.vm, b.vm))
}

func sortedVMs(m map[string][]Task) []string {
	vms := make([]string, 0, len(m))
	for vm := range m {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// recordTasks records the exposure on each VM in its timeline, drops the state of
// endpoints without recent measurements, and returns the tasks by VM.
func (p *Policy) recordTasks(tasks []Task, now time.Time) map[string][]Task {
	byVM := make(map[string][]Task)
	for _, t := range tasks {
		byVM[t.VM] = append(byVM[t.VM], t)
	}
	for vm, l := range p.timelines {
		if byVM[vm] == nil {
			l.record(exposure{}, now)
		}
	}
	for vm, ts := range byVM {
		l := p.timelines[vm]
		if l == nil {
			l = &timeline{}
			p.timelines[vm] = l
		}
		l.record(totalExposure(ts), now)
	}
	for k, s := range p.endpoints {
		if now.Sub(s.lastMeasured) > endpointTTL {
			delete(p.endpoints, k)
			p.endpointOrder = slices.DeleteFunc(p.endpointOrder, func(o endpointKey) bool { return o == k })
		}
	}
	return byVM
}

// totalExposure returns the exposure to all of the tasks.
func totalExposure(ts []Task) exposure {
	e := make(exposure)
	for i := range ts {
		e[ts[i].Class] += ts[i].exposureShare()
	}
	return e
}

// updatePredictions predicts the latency of each endpoint with the tasks that now run
// on its VM, at the load of the busiest endpoint of the service: an endpoint that
// requests are routed away from would have that load if they were routed back.
func (p *Policy) updatePredictions(byVM map[string][]Task, now time.Time) {
	busiest := make(map[string]float64)
	for _, s := range p.endpoints {
		busiest[s.service] = max(busiest[s.service], s.load)
	}
	for _, s := range p.endpoints {
		band, exposed := Band(busiest[s.service]), totalExposure(byVM[s.vm])
		s.predicted = p.model.predict(s.service, s.vm, band, exposed, now)
		s.disturbance = s.predicted - p.model.predict(s.service, s.vm, band, nil, now)
	}
}

func (p *Policy) logMargin() float64 { return math.Log(p.settings.Margin) }

// relieveVM throttles or evicts tasks on a VM if a kept endpoint on the VM is predicted
// to exceed the margin. Otherwise it removes throttles that are not needed.
func (p *Policy) relieveVM(d *Decision, vm string, ts []Task, now time.Time) {
	s := p.worstEndpoint(vm)
	if s == nil || !s.kept || s.predicted <= p.logMargin() {
		p.releaseThrottles(d, s, ts, now)
		return
	}
	interfering := p.interferingTasks(s, ts, now)
	for i := range interfering {
		t := &interfering[i]
		if next := nextThrottle(t.Throttle); next != t.Throttle {
			if now.Sub(p.releasedAt[t.Job]) < settleTime {
				continue
			}
			d.Throttles = append(d.Throttles, Throttle{t.Job, next})
			t.Throttle = next
			p.throttledAt[t.Job] = now
			if p.predictWith(s, ts, interfering, now) <= p.logMargin() {
				return
			}
		}
	}
	p.evict(d, s, interfering, now)
}

// worstEndpoint returns the endpoint on vm with the highest predicted latency in
// relation to its target. A kept endpoint takes precedence over others.
func (p *Policy) worstEndpoint(vm string) *endpointState {
	var worst *endpointState
	for _, k := range p.endpointOrder {
		s := p.endpoints[k]
		if k.vm != vm {
			continue
		}
		if worst == nil || s.kept && !worst.kept || s.kept == worst.kept && s.predicted > worst.predicted {
			worst = s
		}
	}
	return worst
}

// interferingTasks returns the tasks that slow the service down and may be throttled or
// evicted, sorted by decreasing predicted effect.
func (p *Policy) interferingTasks(s *endpointState, ts []Task, now time.Time) []Task {
	var out []Task
	effect := make(map[string]float64)
	for _, t := range ts {
		effect[t.Class] = p.model.effect(s.service, t.Class, Band(s.load), now)
		if !t.Urgent && !t.Evicting && effect[t.Class] > minEffect {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Task) int {
		return cmp.Or(cmp.Compare(effect[b.Class]*b.exposureShare(), effect[a.Class]*a.exposureShare()),
			cmp.Compare(a.Evictions, b.Evictions), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// minEffect is the effect of a class, as a logarithm, up to which its tasks are neither
// throttled nor evicted.
const minEffect = 0.1

func nextThrottle(shareMilli int) int {
	for _, s := range throttleSteps {
		if shareMilli == 0 || shareMilli > s {
			return s
		}
	}
	return shareMilli
}

// predictWith predicts the logarithm of the ratio of an endpoint's latency to its target
// if the throttles of the changed tasks are in force.
func (p *Policy) predictWith(s *endpointState, ts, changed []Task, now time.Time) float64 {
	after := slices.Clone(ts)
	for i := range after {
		for _, c := range changed {
			if c.Job == after[i].Job {
				after[i] = c
			}
		}
	}
	return p.model.predict(s.service, s.vm, Band(s.load), totalExposure(after), now)
}

// evict evicts the task with the largest effect whose throttle has had settleTime to
// take effect, if the service is predicted beyond its target and was measured beyond it
// since the throttle began. At most one task of a VM is evicted within settleTime.
func (p *Policy) evict(d *Decision, s *endpointState, interfering []Task, now time.Time) {
	if s.predicted <= 0 || now.Sub(p.lastEviction[s.vm]) < settleTime {
		return
	}
	for _, t := range interfering {
		since, ok := p.throttledAt[t.Job]
		if !ok || now.Sub(since) < settleTime || !s.lastBreach.After(since) || t.Evictions >= maxEvictions {
			continue
		}
		if p.budget.take() {
			p.lastEviction[s.vm] = now
			d.Evictions = append(d.Evictions, t.Job)
		}
		return
	}
}

// releaseThrottles removes the throttles of a VM one by one, as long as the prediction
// without them stays below the margin by releaseMargin, or no service keeps its
// endpoint there.
func (p *Policy) releaseThrottles(d *Decision, s *endpointState, ts []Task, now time.Time) {
	for i := range ts {
		t := ts[i]
		if t.Throttle == 0 || now.Sub(p.throttledAt[t.Job]) < settleTime && s != nil && s.kept {
			continue
		}
		t.Throttle = 0
		if s != nil && s.kept && p.predictWith(s, ts, []Task{t}, now) > p.logMargin()-releaseMargin {
			continue
		}
		d.Throttles = append(d.Throttles, Throttle{t.Job, 0})
		delete(p.throttledAt, t.Job)
		p.releasedAt[t.Job] = now
		ts[i] = t
	}
}

// dropEndedTasks drops the state of jobs that are no longer running.
func (p *Policy) dropEndedTasks(tasks []Task) {
	running := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		running[t.Job] = true
	}
	for _, m := range []map[string]time.Time{p.throttledAt, p.releasedAt} {
		for job := range m {
			if !running[job] {
				delete(m, job)
			}
		}
	}
}

// evictionBudget is a token bucket that limits evictions.
type evictionBudget struct {
	tokens     float64
	lastRefill time.Time
}

func (b *evictionBudget) refill(now time.Time, s Settings) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(s.Burst, b.tokens+float64(now.Sub(b.lastRefill))/float64(s.EvictionInterval))
	}
	b.lastRefill = now
}

func (b *evictionBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
