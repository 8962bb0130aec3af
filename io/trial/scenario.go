// Package trial runs the real placement and the real policy of interference
// against a small queueing fake at the worker port, beside baselines on the
// same seeds. It is a tool; the program does not link it. A run owns all of
// its state and depends on nothing but its scenario, policy and seed.
package trial

import (
	"time"

	"rosemarygap/core/worker"
)

// Service is a latency-critical service of a scenario.
type Service struct {
	Name   string
	Target time.Duration
	// Median is the service time of a request on an undisturbed VM.
	MedianServiceTime time.Duration
	// Endpoints run on the first VMs.
	EndpointCount int
	// Low and High bound the arrivals, in requests a second.
	MinRate, MaxRate float64
}

// Class is a batch class of a scenario.
type Class struct {
	Name string
	// Slower is how many times slower each service is, in the scenario's
	// order, beside two or more tasks at full load.
	Slowdowns []float64
	// Weight is the class's share of ordinary arrivals.
	ArrivalShare float64
	// Wave is how many jobs come at once with each wave.
	BurstSize int
	Urgent    bool
	// Processors, in thousandths, and Memory, in MiB, are what a task uses.
	Processors int
	Memory     int64
	RunTime    time.Duration
}

// Importance weighs what a deployment measures; the values sum to 1.
type ScoreWeights struct{ Latency, Throughput, Evictions float64 }

// Scenario is one deployment with its load.
type Scenario struct {
	Name         string
	ScoreWeights ScoreWeights
	// Margin is the share of the target at which the policy acts.
	Margin      float64
	WorkerCount int
	VMCapacity  worker.Resources
	Services    []Service
	Classes     []Class
	// Arrivals are ordinary jobs a second, more than the VMs can run.
	ArrivalRate float64
	// WavePeriod separates waves of jobs, LoadPeriod peaks of requests.
	BurstPeriod, LoadPeriod time.Duration
	// MinDelay and MaxDelay bound how late measurements arrive.
	MinReportDelay, MaxReportDelay time.Duration
}

var vm = worker.Resources{Processors: 16000, Memory: 60000, Accelerators: 0, Slots: 8}

func scenario(name string, i ScoreWeights, margin float64, services []Service) Scenario {
	return Scenario{
		Name: name, ScoreWeights: i, Margin: margin, WorkerCount: 11, VMCapacity: vm, Services: services,
		ArrivalRate: 0.45, BurstPeriod: 20 * time.Minute, LoadPeriod: time.Hour,
		MinReportDelay: 10 * time.Second, MaxReportDelay: time.Minute,
		Classes: []Class{
			{Name: "quiet", Slowdowns: []float64{1, 1.1}, ArrivalShare: 0.5, Processors: 1500, Memory: 3000, RunTime: 4 * time.Minute},
			{Name: "steady", Slowdowns: []float64{1.2, 1}, ArrivalShare: 0.28, Processors: 2000, Memory: 4000, RunTime: 5 * time.Minute},
			{Name: "scan", Slowdowns: []float64{4, 1.5}, ArrivalShare: 0.1, BurstSize: 12, Processors: 2000, Memory: 6000, RunTime: 4 * time.Minute},
			{Name: "sort", Slowdowns: []float64{2.5, 3.5}, ArrivalShare: 0.1, BurstSize: 12, Processors: 2500, Memory: 5000, RunTime: 3 * time.Minute},
			{Name: "proof", Slowdowns: []float64{1, 1}, ArrivalShare: 0.02, Urgent: true, Processors: 1000, Memory: 2000, RunTime: time.Minute},
		},
	}
}

// KettleValley weighs throughput and evictions.
func KettleValley() Scenario {
	return scenario("kettle-valley", ScoreWeights{0.2, 0.5, 0.3}, 0.75, []Service{
		{"catalogue", 240 * time.Millisecond, 60 * time.Millisecond, 11, 130, 420},
		{"judge-sheets", 320 * time.Millisecond, 80 * time.Millisecond, 6, 40, 130},
	})
}

// DarlingDowns weighs tail latency.
func DarlingDowns() Scenario {
	return scenario("darling-downs", ScoreWeights{0.7, 0.2, 0.1}, 0.7, []Service{
		{"enquiries", 200 * time.Millisecond, 50 * time.Millisecond, 11, 160, 500},
		{"locomotives", 300 * time.Millisecond, 80 * time.Millisecond, 6, 30, 130},
	})
}

// Policy is what a run decides by.
type Policy struct {
	Name   string
	Ranker worker.Ranker
	// Learns uses the policy of interference.
	LearnsInterference bool
	// EvictsEachBreach evicts the largest task beside an endpoint whenever
	// a measurement is beyond the target.
	EvictsOnBreach bool
}

// Policies returns the policy that is in use first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "learned", Ranker: worker.Packed{}, LearnsInterference: true},
		{Name: "tightest-fit", Ranker: worker.TightestFit{}},
		{Name: "first-fit", Ranker: worker.FirstFit{}},
		{Name: "spread", Ranker: worker.Spread{}},
		{Name: "evict-each-breach", Ranker: worker.Spread{}, EvictsOnBreach: true},
	}
}
