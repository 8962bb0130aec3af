package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"rosemarygap/core/interference"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// epoch is the begin of every run's time.
var epoch = time.Unix(0, 0).UTC()

// step is the tick of a run.
const step = time.Second

// late is a measurement with its time of arrival.
type late struct {
	interference.Measurement
	arrives time.Time
}

// run is one trial in progress.
type run struct {
	scenario *Scenario
	policy   Policy
	// random draws jobs and delays draws how late measurements are, apart, so
	// that every policy gets the same jobs.
	random  *rand.Rand
	delays  *rand.Rand
	cell    *worker.Cell
	learner *interference.Policy
	vms     []*fakeVM
	queues  []*queue
	jobs    map[string]*truth
	started map[string]time.Time
	pending []late
	nextJob float64
	result  Result
}

// Run runs one scenario under a policy for a time.
func Run(s Scenario, p Policy, seed uint64, length time.Duration) Result {
	r := newRun(&s, p, seed)
	for at := time.Duration(0); at < length; at += step {
		r.tick(at)
	}
	return r.finish(seed, length)
}

func newRun(s *Scenario, p Policy, seed uint64) *run {
	r := &run{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 1)), delays: rand.New(rand.NewPCG(seed, 99)),
		jobs: make(map[string]*truth), started: make(map[string]time.Time)}
	r.cell = worker.NewCell(0, worker.Timings{Grant: 6 * time.Second, Hold: time.Hour})
	urgent := make(map[string]bool)
	for _, c := range s.Classes {
		urgent[c.Name] = c.Urgent
	}
	r.cell.SetClasses(urgent)
	r.cell.Apply(r.cell.OpeningRecord(epoch))
	r.cell.Open(1, epoch)
	if p.LearnsInterference {
		r.learner = interference.New(interference.WithMargin(s.Margin))
		targets := make(map[string]time.Duration)
		for _, q := range s.Services {
			targets[q.Name] = q.Target
		}
		r.learner.SetTargets(targets)
		r.policy.Ranker = worker.Packed{Predictor: r.learner}
	}
	r.cell.SetRanker(r.policy.Ranker)
	r.addFleet(seed)
	return r
}

func (r *run) addFleet(seed uint64) {
	for i := range r.scenario.WorkerCount {
		v := &fakeVM{id: fmt.Sprintf("vm-%02d", i), scenario: r.scenario}
		r.vms = append(r.vms, v)
		r.announce(i, epoch)
	}
	for i := range r.scenario.Services {
		q := &queue{spec: &r.scenario.Services[i], index: i, random: rand.New(rand.NewPCG(seed, uint64(i)+2))}
		for _, v := range r.vms[:q.spec.EndpointCount] {
			q.endpoints = append(q.endpoints, &endpoint{vm: v, weight: 1})
		}
		r.queues = append(r.queues, q)
	}
}

// announce tells the cell of the VM with index i.
func (r *run) announce(i int, now time.Time) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	r.cell.RegisterWorker(r.vms[i].id, "zone", fmt.Sprint("rack-", i/3), a, now)
}

// tick runs one second of the whole deployment.
func (r *run) tick(at time.Duration) {
	now := epoch.Add(at)
	for i := range r.vms {
		r.announce(i, now)
	}
	r.submit(at)
	r.receive(now)
	r.decide(now)
	rs := r.cell.Plan(now)
	r.cell.ApplyCommitted(rs)
	r.cell.VerifyBegin()
	r.cell.VerifyEnd(now)
	r.noteStarts(rs, now)
	for _, cmd := range r.cell.Commands(now, nil) {
		v := r.vms[slices.IndexFunc(r.vms, func(v *fakeVM) bool { return v.id == cmd.Worker })]
		r.cell.Receive(cmd, v.lease(cmd, r.jobs, now), now)
	}
	for _, v := range r.vms {
		r.result.WorkSeconds += v.advance(step).Seconds()
	}
	for _, q := range r.queues {
		q.second(at, q.rate(at, r.scenario.LoadPeriod))
	}
	if (at+step)%interval == 0 {
		r.measure(now.Add(step))
	}
}

// submit adds the jobs that arrive in the second that begins at at.
func (r *run) submit(at time.Duration) {
	for ; r.nextJob < at.Seconds(); r.nextJob += r.random.ExpFloat64() / r.scenario.ArrivalRate {
		r.add(r.drawClass(), at)
	}
	if at%r.scenario.BurstPeriod == r.scenario.BurstPeriod/2 {
		for i, c := range r.scenario.Classes {
			for range c.BurstSize {
				r.add(i, at)
			}
		}
	}
}

func (r *run) drawClass() int {
	x := r.random.Float64()
	for i, c := range r.scenario.Classes {
		if x -= c.ArrivalShare; x < 0 {
			return i
		}
	}
	return 0
}

// wrong are the factors by which declared sizes differ from the true ones.
var wrong = []float64{0.1, 0.5, 1, 1, 2, 10}

// add submits a job of a class with a declared size that may be far off.
func (r *run) add(class int, at time.Duration) {
	c := &r.scenario.Classes[class]
	factor := wrong[r.random.IntN(len(wrong))]
	id := fmt.Sprintf("job-%06d", len(r.jobs))
	total := c.RunTime.Seconds() * math.Exp(0.5*r.random.NormFloat64())
	r.jobs[id] = &truth{class: class, total: wire.Duration(total * float64(time.Second)).Std(), urgent: c.Urgent}
	j := worker.Job{ID: id, Team: fmt.Sprint("team-", len(r.jobs)%3), Class: c.Name,
		Need: worker.Resources{Processors: min(r.scenario.VMCapacity.Processors, int(float64(c.Processors)*factor)),
			Memory: min(r.scenario.VMCapacity.Memory, int64(float64(c.Memory)*factor)), Slots: 1}}
	if _, err := r.cell.Submit(j, epoch.Add(at)); err != nil {
		panic(err) // ids are unique
	}
}

func (r *run) noteStarts(rs []worker.Record, now time.Time) {
	for _, rec := range rs {
		if rec.Kind != worker.KindStarted || rec.Attempt != 1 || !r.jobs[rec.ID].urgent {
			continue
		}
		r.started[rec.ID] = now
	}
}

// measure ends an interval; what was measured arrives later.
func (r *run) measure(end time.Time) {
	for _, q := range r.queues {
		for _, m := range q.measure(end) {
			delay := r.scenario.MinReportDelay + time.Duration(r.delays.Int64N(int64(r.scenario.MaxReportDelay-r.scenario.MinReportDelay)))
			r.pending = append(r.pending, late{m, end.Add(delay)})
		}
	}
}

// receive hands over the measurements that have arrived by now.
func (r *run) receive(now time.Time) {
	r.pending = slices.DeleteFunc(r.pending, func(l late) bool {
		if l.arrives.After(now) {
			return false
		}
		if r.learner != nil {
			r.learner.Observe(l.Measurement, now)
		}
		if r.policy.EvictsOnBreach {
			r.evictFor(l.Measurement)
		}
		return true
	})
}

// evictFor evicts the largest task of the VM if m is beyond its target.
func (r *run) evictFor(m interference.Measurement) {
	i := slices.IndexFunc(r.scenario.Services, func(s Service) bool { return s.Name == m.Service })
	if m.P99.Std() <= r.scenario.Services[i].Target {
		return
	}
	best, most := "", 0
	for t := range r.cell.Tasks {
		p := r.scenario.Classes[r.jobs[t.Job].class].Processors
		if t.Worker == m.VM && !t.Urgent && !t.Evicting && p > most {
			best, most = t.Job, p
		}
	}
	r.cell.Evict(best)
}

// decide runs the policy of interference.
func (r *run) decide(now time.Time) {
	if r.learner == nil {
		return
	}
	var tasks []interference.Task
	for t := range r.cell.Tasks {
		tasks = append(tasks, interference.Task{Job: t.Job, Class: t.Class, VM: t.Worker, Urgent: t.Urgent,
			Evicting: t.Evicting, Evictions: t.Evictions, Throttle: t.Throttle})
	}
	d := r.learner.Decide(tasks, now)
	for _, t := range d.Throttles {
		r.cell.Throttle(t.Job, t.ShareMilli)
		r.result.Throttles++
	}
	for _, job := range d.Evictions {
		r.cell.Evict(job)
	}
	for _, q := range r.queues {
		for _, e := range q.endpoints {
			e.weight = d.Weights.Weight(q.spec.Name, e.vm.id)
		}
	}
}
