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

// simulationStart is the simulated time at which every run starts.
var simulationStart = time.Unix(0, 0).UTC()

// tickLength is the simulated time of one tick.
const tickLength = time.Second

// delayedMeasurement is a measurement that is delivered later, at arrivesAt.
type delayedMeasurement struct {
	interference.Measurement
	arrivesAt time.Time
}

// simulation is the state of one run.
type simulation struct {
	scenario *Scenario
	policy   Policy
	// jobRand generates jobs and delayRand generates measurement delays. They
	// are separate so that every policy gets the same jobs. Each generator of a
	// run, including those of the services, has the seed of the run and its own
	// stream number.
	jobRand      *rand.Rand
	delayRand    *rand.Rand
	cell         *worker.Cell
	interference *interference.Policy
	vms          []*simVM
	services     []*simService
	jobs         map[string]*simJob
	// started contains the time of the first start of each urgent job.
	started map[string]time.Time
	pending []delayedMeasurement
	// nextArrival is the arrival time of the next job outside bursts, in
	// seconds since the start of the run.
	nextArrival float64
	result      Result
}

// Run simulates a scenario under a policy for the given simulated duration.
func Run(s Scenario, p Policy, seed uint64, duration time.Duration) Result {
	r := newSimulation(&s, p, seed)
	for at := time.Duration(0); at < duration; at += tickLength {
		r.tick(at)
	}
	return r.summarize(seed, duration)
}

func newSimulation(s *Scenario, p Policy, seed uint64) *simulation {
	r := &simulation{scenario: s, policy: p, jobRand: rand.New(rand.NewPCG(seed, 1)), delayRand: rand.New(rand.NewPCG(seed, 99)),
		jobs: make(map[string]*simJob), started: make(map[string]time.Time)}
	r.cell = worker.NewCell(0, worker.Timings{Grant: 6 * time.Second, Hold: time.Hour})
	urgent := make(map[string]bool)
	for _, c := range s.Classes {
		urgent[c.Name] = c.Urgent
	}
	r.cell.SetClasses(urgent)
	r.cell.Apply(r.cell.OpeningRecord(simulationStart))
	r.cell.Open(1, simulationStart)
	if p.LearnsInterference {
		r.interference = interference.New(interference.WithMargin(s.Margin))
		targets := make(map[string]time.Duration)
		for _, service := range s.Services {
			targets[service.Name] = service.Target
		}
		r.interference.SetTargets(targets)
		r.policy.Ranker = worker.Packed{Predictor: r.interference}
	}
	r.cell.SetRanker(r.policy.Ranker)
	r.addFleet(seed)
	return r
}

func (r *simulation) addFleet(seed uint64) {
	for i := range r.scenario.WorkerCount {
		v := &simVM{id: fmt.Sprintf("vm-%02d", i), scenario: r.scenario}
		r.vms = append(r.vms, v)
		r.registerWorker(i, simulationStart)
	}
	for i := range r.scenario.Services {
		service := &simService{spec: &r.scenario.Services[i], index: i, rng: rand.New(rand.NewPCG(seed, uint64(i)+2))}
		for _, v := range r.vms[:service.spec.EndpointCount] {
			service.endpoints = append(service.endpoints, &simEndpoint{vm: v, weight: 1})
		}
		r.services = append(r.services, service)
	}
}

// registerWorker registers the VM with index i at the cell.
func (r *simulation) registerWorker(i int, now time.Time) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	r.cell.RegisterWorker(r.vms[i].id, "zone", fmt.Sprint("rack-", i/3), a, now)
}

// tick simulates one second of the scenario, starting at the time at.
func (r *simulation) tick(at time.Duration) {
	now := simulationStart.Add(at)
	for i := range r.vms {
		r.registerWorker(i, now)
	}
	r.submitArrivals(at)
	r.deliverMeasurements(now)
	r.applyInterferencePolicy(now)
	rs := r.cell.Plan(now)
	r.cell.ApplyCommitted(rs)
	r.cell.VerifyBegin()
	r.cell.VerifyEnd(now)
	r.recordStarts(rs, now)
	for _, cmd := range r.cell.Commands(now, nil) {
		v := r.vms[slices.IndexFunc(r.vms, func(v *simVM) bool { return v.id == cmd.Worker })]
		r.cell.Receive(cmd, v.renewLease(cmd, r.jobs, now), now)
	}
	for _, v := range r.vms {
		r.result.WorkSeconds += v.advance(tickLength).Seconds()
	}
	for _, service := range r.services {
		service.simulateSecond(at, service.arrivalRate(at, r.scenario.LoadPeriod))
	}
	if (at+tickLength)%reportInterval == 0 {
		r.endInterval(now.Add(tickLength))
	}
}

// submitArrivals submits the jobs that arrived before the time at, and a burst of
// jobs in the middle of each burst period.
func (r *simulation) submitArrivals(at time.Duration) {
	for ; r.nextArrival < at.Seconds(); r.nextArrival += r.jobRand.ExpFloat64() / r.scenario.ArrivalRate {
		r.submitJob(r.drawClass(), at)
	}
	if at%r.scenario.BurstPeriod == r.scenario.BurstPeriod/2 {
		for i, c := range r.scenario.Classes {
			for range c.BurstSize {
				r.submitJob(i, at)
			}
		}
	}
}

func (r *simulation) drawClass() int {
	x := r.jobRand.Float64()
	for i, c := range r.scenario.Classes {
		if x -= c.ArrivalShare; x < 0 {
			return i
		}
	}
	return 0
}

// sizeErrorFactors are the ratios of declared to actual job sizes.
var sizeErrorFactors = []float64{0.1, 0.5, 1, 1, 2, 10}

// submitJob submits a job of a class. Its declared size may differ from its actual
// size by a factor of sizeErrorFactors. Its run time has a log-normal distribution
// with the median Class.RunTime, and 0.5 is the standard deviation of the logarithm.
func (r *simulation) submitJob(class int, at time.Duration) {
	c := &r.scenario.Classes[class]
	factor := sizeErrorFactors[r.jobRand.IntN(len(sizeErrorFactors))]
	id := fmt.Sprintf("job-%06d", len(r.jobs))
	seconds := c.RunTime.Seconds() * math.Exp(0.5*r.jobRand.NormFloat64())
	r.jobs[id] = &simJob{class: class, runTime: wire.Duration(seconds * float64(time.Second)).Std(), urgent: c.Urgent}
	j := worker.Job{ID: id, Team: fmt.Sprint("team-", len(r.jobs)%3), Class: c.Name,
		Need: worker.Resources{Processors: min(r.scenario.VMCapacity.Processors, int(float64(c.Processors)*factor)),
			Memory: min(r.scenario.VMCapacity.Memory, int64(float64(c.Memory)*factor)), Slots: 1}}
	if _, err := r.cell.Submit(j, simulationStart.Add(at)); err != nil {
		panic(err) // cannot happen: job ids are unique
	}
}

func (r *simulation) recordStarts(rs []worker.Record, now time.Time) {
	for _, rec := range rs {
		if rec.Kind != worker.KindStarted || rec.Attempt != 1 || !r.jobs[rec.ID].urgent {
			continue
		}
		r.started[rec.ID] = now
	}
}

// endInterval ends a report interval of all services and queues the measurements
// for delayed delivery.
func (r *simulation) endInterval(end time.Time) {
	for _, service := range r.services {
		for _, m := range service.endInterval(end) {
			delay := r.scenario.MinReportDelay + time.Duration(r.delayRand.Int64N(int64(r.scenario.MaxReportDelay-r.scenario.MinReportDelay)))
			r.pending = append(r.pending, delayedMeasurement{m, end.Add(delay)})
		}
	}
}

// deliverMeasurements passes the measurements that have arrived by now to the
// interference policy and to the baseline policy that evicts on breaches.
func (r *simulation) deliverMeasurements(now time.Time) {
	r.pending = slices.DeleteFunc(r.pending, func(l delayedMeasurement) bool {
		if l.arrivesAt.After(now) {
			return false
		}
		if r.interference != nil {
			r.interference.Observe(l.Measurement, now)
		}
		if r.policy.EvictsOnBreach {
			r.evictOnBreach(l.Measurement)
		}
		return true
	})
}

// evictOnBreach evicts the non-urgent task that uses the most processors of the VM
// if the measurement exceeds the target of its service.
func (r *simulation) evictOnBreach(m interference.Measurement) {
	i := slices.IndexFunc(r.scenario.Services, func(s Service) bool { return s.Name == m.Service })
	if m.P99.Std() <= r.scenario.Services[i].Target {
		return
	}
	job, processors := "", 0
	for t := range r.cell.Tasks {
		used := r.scenario.Classes[r.jobs[t.Job].class].Processors
		if t.Worker == m.VM && !t.Urgent && !t.Evicting && used > processors {
			job, processors = t.Job, used
		}
	}
	r.cell.Evict(job)
}

// applyInterferencePolicy runs one tick of the interference policy and applies its
// throttles, evictions and endpoint weights.
func (r *simulation) applyInterferencePolicy(now time.Time) {
	if r.interference == nil {
		return
	}
	var tasks []interference.Task
	for t := range r.cell.Tasks {
		tasks = append(tasks, interference.Task{Job: t.Job, Class: t.Class, VM: t.Worker, Urgent: t.Urgent,
			Evicting: t.Evicting, Evictions: t.Evictions, Throttle: t.Throttle})
	}
	d := r.interference.Decide(tasks, now)
	for _, t := range d.Throttles {
		r.cell.Throttle(t.Job, t.ShareMilli)
		r.result.Throttles++
	}
	for _, job := range d.Evictions {
		r.cell.Evict(job)
	}
	for _, service := range r.services {
		for _, e := range service.endpoints {
			e.weight = d.Weights.Weight(service.spec.Name, e.vm.id)
		}
	}
}
