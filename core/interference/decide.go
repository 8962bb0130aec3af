package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Throttle limits a task to a share of its processors, in thousandths; 0 ends
// the limit.
type Throttle struct {
	Job        string
	ShareMilli int
}

// Decision is what a tick of the policy asks for.
type Decision struct {
	Weights   *Weights
	Throttles []Throttle
	// Evictions are jobs whose attempts should be stopped and resumed later.
	Evictions []string
}

const (
	// siteLife is how long an endpoint counts without a measurement.
	siteLife = 3 * time.Minute
	// sticky is how much worse, as a logarithm, a kept endpoint may be than
	// one that is not kept before they change places; shared is the same for
	// one whose VM another service keeps.
	sticky = 0.6
	shared = 0.3
	// returning is how far within the margin an avoided endpoint must be
	// before requests are routed back to it.
	returning = 0.15
	// releaseBelow is how far below the margin a prediction without the
	// throttle must be, as a logarithm, before the throttle ends.
	releaseBelow = 0.25
	// settle is how long a measure is left to show its effect: the delay of
	// measurements and an interval.
	settle = 70 * time.Second
	// maxEvictions protects a job that was evicted this often.
	maxEvictions = 3
)

// throttleSteps are the shares that a culprit is limited to, in turn.
var throttleSteps = []int{500, 250}

// Decide runs one tick: it notes what runs where, and takes the cheapest
// measure that is expected to keep each service within its target.
func (p *Policy) Decide(tasks []Task, now time.Time) Decision {
	p.now = now
	byVM := p.noteTasks(tasks, now)
	p.predict(byVM, now)
	d := Decision{Weights: p.route()}
	p.budget.refill(now, p.settings)
	p.forgetTasks(tasks)
	for _, vm := range sortedVMs(byVM) {
		p.relieve(&d, vm, byVM[vm], now)
	}
	return d
}

func insertKey(ks []siteKey, k siteKey) []siteKey {
	i, _ := slices.BinarySearchFunc(ks, k, compareSites)
	return slices.Insert(ks, i, k)
}

func compareSites(a, b siteKey) int {
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

// noteTasks records the tasks of each VM in its timeline.
func (p *Policy) noteTasks(tasks []Task, now time.Time) map[string][]Task {
	byVM := make(map[string][]Task)
	for _, t := range tasks {
		byVM[t.VM] = append(byVM[t.VM], t)
	}
	for vm, l := range p.timelines {
		if byVM[vm] == nil {
			l.note(exposure{}, now)
		}
	}
	for vm, ts := range byVM {
		l := p.timelines[vm]
		if l == nil {
			l = &timeline{}
			p.timelines[vm] = l
		}
		l.note(beside(ts), now)
	}
	for k, s := range p.sites {
		if now.Sub(s.measured) > siteLife {
			delete(p.sites, k)
			p.order = slices.DeleteFunc(p.order, func(o siteKey) bool { return o == k })
		}
	}
	return byVM
}

// beside sums the exposure of tasks.
func beside(ts []Task) exposure {
	e := make(exposure)
	for i := range ts {
		e[ts[i].Class] += ts[i].share()
	}
	return e
}

// predict estimates each site with the tasks beside it now, at the load of the
// service's busiest endpoint: one that requests are routed away from would be
// as busy if they were routed back.
func (p *Policy) predict(byVM map[string][]Task, now time.Time) {
	busiest := make(map[string]float64)
	for _, s := range p.sites {
		busiest[s.service] = max(busiest[s.service], s.load)
	}
	for _, s := range p.sites {
		band, with := Band(busiest[s.service]), beside(byVM[s.vm])
		s.predicted = p.model.predict(s.service, s.vm, band, with, now)
		s.disturbed = s.predicted - p.model.predict(s.service, s.vm, band, nil, now)
	}
}

func (p *Policy) margin() float64 { return math.Log(p.settings.Margin) }

// relieve throttles or evicts on a VM whose service is kept there and is
// predicted to miss its target, and ends throttles that are not needed.
func (p *Policy) relieve(d *Decision, vm string, ts []Task, now time.Time) {
	s := p.worst(vm)
	if s == nil || !s.kept || s.predicted <= p.margin() {
		p.release(d, s, ts, now)
		return
	}
	culprits := p.culprits(s, ts, now)
	for i := range culprits {
		t := &culprits[i]
		if next := nextStep(t.Throttle); next != t.Throttle {
			if now.Sub(p.released[t.Job]) < settle {
				continue
			}
			d.Throttles = append(d.Throttles, Throttle{t.Job, next})
			t.Throttle = next
			p.throttled[t.Job] = now
			if p.outlook(s, ts, culprits, now) <= p.margin() {
				return
			}
		}
	}
	p.evict(d, s, culprits, now)
}

// worst returns the site of vm that is furthest beyond its target, kept ones
// first.
func (p *Policy) worst(vm string) *site {
	var worst *site
	for _, k := range p.order {
		s := p.sites[k]
		if k.vm != vm {
			continue
		}
		if worst == nil || s.kept && !worst.kept || s.kept == worst.kept && s.predicted > worst.predicted {
			worst = s
		}
	}
	return worst
}

// culprits returns the tasks that slow the service, the likeliest first.
func (p *Policy) culprits(s *site, ts []Task, now time.Time) []Task {
	var out []Task
	effect := make(map[string]float64)
	for _, t := range ts {
		effect[t.Class] = p.model.effect(s.service, t.Class, Band(s.load), now)
		if !t.Urgent && !t.Evicting && effect[t.Class] > minEffect {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Task) int {
		return cmp.Or(cmp.Compare(effect[b.Class]*b.share(), effect[a.Class]*a.share()),
			cmp.Compare(a.Evictions, b.Evictions), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// minEffect is the smallest effect, as a logarithm, of a class that is acted
// upon.
const minEffect = 0.1

func nextStep(milli int) int {
	for _, s := range throttleSteps {
		if milli == 0 || milli > s {
			return s
		}
	}
	return milli
}

// outlook predicts the site with the throttles of changed in force.
func (p *Policy) outlook(s *site, ts, changed []Task, now time.Time) float64 {
	after := slices.Clone(ts)
	for i := range after {
		for _, c := range changed {
			if c.Job == after[i].Job {
				after[i] = c
			}
		}
	}
	return p.model.predict(s.service, s.vm, Band(s.load), beside(after), now)
}

// evict stops the likeliest culprit if throttles were given time and the
// service was measured beyond its target since.
func (p *Policy) evict(d *Decision, s *site, culprits []Task, now time.Time) {
	if s.predicted <= 0 || now.Sub(p.evicted[s.vm]) < settle {
		return
	}
	for _, t := range culprits {
		since, ok := p.throttled[t.Job]
		if !ok || now.Sub(since) < settle || !s.breached.After(since) || t.Evictions >= maxEvictions {
			continue
		}
		if p.budget.take() {
			p.evicted[s.vm] = now
			d.Evictions = append(d.Evictions, t.Job)
		}
		return
	}
}

// release ends the throttles of a VM one step at a time, while the prediction
// without them stays well within the margin or nobody needs them.
func (p *Policy) release(d *Decision, s *site, ts []Task, now time.Time) {
	for i := range ts {
		t := ts[i]
		if t.Throttle == 0 || now.Sub(p.throttled[t.Job]) < settle && s != nil && s.kept {
			continue
		}
		t.Throttle = 0
		if s != nil && s.kept && p.outlook(s, ts, []Task{t}, now) > p.margin()-releaseBelow {
			continue
		}
		d.Throttles = append(d.Throttles, Throttle{t.Job, 0})
		delete(p.throttled, t.Job)
		p.released[t.Job] = now
		ts[i] = t
	}
}

// forgetTasks drops what is kept for jobs that no longer run.
func (p *Policy) forgetTasks(tasks []Task) {
	running := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		running[t.Job] = true
	}
	for _, m := range []map[string]time.Time{p.throttled, p.released} {
		for job := range m {
			if !running[job] {
				delete(m, job)
			}
		}
	}
}

// budget limits evictions by a token bucket.
type budget struct {
	tokens   float64
	refilled time.Time
}

func (b *budget) refill(now time.Time, s Settings) {
	if !b.refilled.IsZero() {
		b.tokens = min(s.Burst, b.tokens+float64(now.Sub(b.refilled))/float64(s.EvictionInterval))
	}
	b.refilled = now
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
