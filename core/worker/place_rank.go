package worker

import (
	"math"
	"time"
)

// Candidate is a worker that has room for a job.
type Candidate struct {
	Worker, Zone, Rack string
	Capacity, Room     Resources
}

// Ranker compares the workers that have room for a job.
type Ranker interface {
	// Cost returns the cost of placing a job on a candidate, given how long
	// the job was left waiting although a worker had room. The candidate with
	// the lowest cost is chosen, and the first one in case of a tie. A
	// candidate with an infinite cost is refused, unless the job is urgent.
	Cost(j *Job, size Resources, waited time.Duration, on Candidate) float64
	// MaxCandidates returns how many workers with room are compared.
	MaxCandidates() int
	// IsSpare reports whether jobs that are refused elsewhere cause little
	// interference on a worker. While such jobs wait, the room on the worker
	// is left to them.
	IsSpare(worker string) bool
}

// FirstFit chooses the first worker with room. It is a baseline for comparison.
type FirstFit struct{}

// Cost implements Ranker.
func (FirstFit) Cost(*Job, Resources, time.Duration, Candidate) float64 { return 0 }

// MaxCandidates implements Ranker.
func (FirstFit) MaxCandidates() int { return 1 }

// IsSpare implements Ranker.
func (FirstFit) IsSpare(string) bool { return false }

// allWorkers is a number of candidates larger than any number of workers.
const allWorkers = 1 << 30

// Spread chooses the least utilized worker. It is a baseline for comparison.
type Spread struct{}

// Cost implements Ranker.
func (Spread) Cost(_ *Job, size Resources, _ time.Duration, on Candidate) float64 {
	return dominantShare(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
}

// MaxCandidates implements Ranker.
func (Spread) MaxCandidates() int { return allWorkers }

// IsSpare implements Ranker.
func (Spread) IsSpare(string) bool { return false }

// packedCandidates is how many candidates TightestFit and Packed compare.
const packedCandidates = 16

// TightestFit chooses the worker that would be left with the least room. It is a
// baseline for comparison.
type TightestFit struct{}

// Cost implements Ranker.
func (TightestFit) Cost(_ *Job, size Resources, _ time.Duration, on Candidate) float64 {
	return 1 - dominantShare(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
}

// MaxCandidates implements Ranker.
func (TightestFit) MaxCandidates() int { return packedCandidates }

// IsSpare implements Ranker.
func (TightestFit) IsSpare(string) bool { return false }

// InterferencePredictor predicts how batch tasks affect the services on the VMs of
// workers.
type InterferencePredictor interface {
	// AddedMissRate returns the additional share of requests that one more task
	// of a class makes miss the latency target of their service. It is the sum
	// over the services on the VM, for each of which the share is from 0 to 1.
	AddedMissRate(worker, class string) float64
	// IsSpare reports whether at least one service has an endpoint on the VM,
	// and no service needs its endpoint there.
	IsSpare(worker string) bool
}

const (
	// negligibleMissRate is the added miss rate that is ignored when workers are
	// compared.
	negligibleMissRate = 0.02
	// refusedMissRate is the added miss rate above which a job is left waiting
	// for another worker, so that a job that disturbs less takes the room.
	refusedMissRate = 0.2
	// maxRefusedWait is how long a job may be left waiting although a worker has
	// room.
	maxRefusedWait = 15 * time.Minute
	// maxClassRefusedWait is the same limit while other jobs of the same class
	// are started.
	maxClassRefusedWait = 2 * time.Hour
)

// Packed chooses the first worker with room where the job is predicted not to
// disturb services, or otherwise the worker where it disturbs them least. A worker
// where the added miss rate exceeds refusedMissRate is refused until the job has
// waited for maxRefusedWait. Predictor may be nil; then the first worker with room is
// chosen.
type Packed struct{ Predictor InterferencePredictor }

// Cost implements Ranker.
func (p Packed) Cost(j *Job, _ Resources, waited time.Duration, on Candidate) float64 {
	if p.Predictor == nil {
		return 0
	}
	missRate := p.Predictor.AddedMissRate(on.Worker, j.Class)
	if missRate > refusedMissRate && waited < maxRefusedWait {
		return math.Inf(1)
	}
	return max(0, missRate-negligibleMissRate)
}

// MaxCandidates implements Ranker.
func (p Packed) MaxCandidates() int { return packedCandidates }

// IsSpare implements Ranker.
func (p Packed) IsSpare(worker string) bool { return p.Predictor != nil && p.Predictor.IsSpare(worker) }
