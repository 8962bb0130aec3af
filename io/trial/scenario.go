// Package trial compares the production placement and interference policies with
// baseline policies on the same seeds. Batch jobs are placed by a worker.Cell, as in
// production. Simulated VMs run its commands, and a small queueing model simulates the
// services. Only tools use this package; the rosemarygap program does not link it. A
// run owns all of its state and depends only on its scenario, policy, seed and
// duration.
package trial

import (
	"time"

	"rosemarygap/core/worker"
)

// Service is a latency-critical service of a scenario.
type Service struct {
	Name string
	// Target is the target for the 99th percentile of the latencies.
	Target time.Duration
	// MedianServiceTime is the median service time of a request on a VM without
	// interference.
	MedianServiceTime time.Duration
	// EndpointCount is the number of endpoints. They run on the first VMs, one
	// on each.
	EndpointCount int
	// MinRate and MaxRate bound the arrival rate, in requests per second.
	MinRate, MaxRate float64
}

// Class is a batch class of a scenario.
type Class struct {
	Name string
	// Slowdowns are the factors by which each service, in the order of
	// Scenario.Services, slows down at full load when two or more tasks of the
	// class run on the same VM.
	Slowdowns []float64
	// ArrivalShare is the fraction of the arrivals outside bursts that belong
	// to the class.
	ArrivalShare float64
	// BurstSize is the number of jobs of the class in each burst.
	BurstSize int
	Urgent    bool
	// Processors, in thousandths, and Memory, in MiB, are the actual usage of a
	// task.
	Processors int
	Memory     int64
	// RunTime is the median run time of a job at full speed.
	RunTime time.Duration
}

// ScoreWeights are the weights of the parts of a score. They sum to 1.
type ScoreWeights struct{ Latency, Throughput, Evictions float64 }

// Scenario describes a deployment and its load.
type Scenario struct {
	Name         string
	ScoreWeights ScoreWeights
	// Margin is the ratio of predicted latency to target above which the
	// interference policy acts.
	Margin      float64
	WorkerCount int
	VMCapacity  worker.Resources
	Services    []Service
	Classes     []Class
	// ArrivalRate is the number of jobs per second outside bursts. It exceeds
	// what the VMs can run.
	ArrivalRate float64
	// BurstPeriod is the time between bursts of jobs, and LoadPeriod is the time
	// between peaks of the request rate.
	BurstPeriod, LoadPeriod time.Duration
	// MinReportDelay and MaxReportDelay bound the delay after which the policy
	// receives a measurement.
	MinReportDelay, MaxReportDelay time.Duration
}

var vmCapacity = worker.Resources{Processors: 16000, Memory: 60000, Accelerators: 0, Slots: 8}

func newScenario(name string, weights ScoreWeights, margin float64, services []Service) Scenario {
	return Scenario{
		Name: name, ScoreWeights: weights, Margin: margin, WorkerCount: 11, VMCapacity: vmCapacity, Services: services,
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

// KettleValley returns a scenario named after the deployment Kettle Valley. Its score
// favours throughput and few evictions.
func KettleValley() Scenario {
	return newScenario("kettle-valley", ScoreWeights{0.2, 0.5, 0.3}, 0.75, []Service{
		{"catalogue", 240 * time.Millisecond, 60 * time.Millisecond, 11, 130, 420},
		{"judge-sheets", 320 * time.Millisecond, 80 * time.Millisecond, 6, 40, 130},
	})
}

// DarlingDowns returns a scenario named after the deployment Darling Downs. Its score
// favours low tail latency.
func DarlingDowns() Scenario {
	return newScenario("darling-downs", ScoreWeights{0.7, 0.2, 0.1}, 0.7, []Service{
		{"enquiries", 200 * time.Millisecond, 50 * time.Millisecond, 11, 160, 500},
		{"locomotives", 300 * time.Millisecond, 80 * time.Millisecond, 6, 30, 130},
	})
}

// Policy is the combination of placement and eviction policies that a run uses.
type Policy struct {
	Name   string
	Ranker worker.Ranker
	// LearnsInterference enables the interference policy.
	LearnsInterference bool
	// EvictsOnBreach evicts the non-urgent task that uses the most processors
	// of the VM of an endpoint whenever a measurement of the endpoint exceeds the
	// target.
	EvictsOnBreach bool
}

// Policies returns the production policy, followed by the baseline policies.
func Policies() []Policy {
	return []Policy{
		{Name: "learned", Ranker: worker.Packed{}, LearnsInterference: true},
		{Name: "tightest-fit", Ranker: worker.TightestFit{}},
		{Name: "first-fit", Ranker: worker.FirstFit{}},
		{Name: "spread", Ranker: worker.Spread{}},
		{Name: "evict-each-breach", Ranker: worker.Spread{}, EvictsOnBreach: true},
	}
}
