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
	// Cost of placing the job there after it was left waiting although there
	// was room; the lowest cost wins,
	// the first worker in a tie. An infinite cost refuses the worker.
	Cost(j *Job, size Resources, waited time.Duration, on Candidate) float64
	// Width is how many workers with room are compared.
	MaxCandidates() int
	// Spare reports whether a worker is where jobs that are refused
	// elsewhere do little harm; while such jobs wait, its room is theirs.
	IsSpare(worker string) bool
}

// FirstFit takes the first worker with room. It is a baseline.
type FirstFit struct{}

// Cost implements Ranker.
func (FirstFit) Cost(*Job, Resources, time.Duration, Candidate) float64 { return 0 }

// Width implements Ranker.
func (FirstFit) MaxCandidates() int { return 1 }

// Spare implements Ranker.
func (FirstFit) IsSpare(string) bool { return false }

// allWorkers is a width beyond any number of workers.
const allWorkers = 1 << 30

// Spread takes the emptiest worker. It is a baseline.
type Spread struct{}

// Cost implements Ranker.
func (Spread) Cost(_ *Job, size Resources, _ time.Duration, on Candidate) float64 {
	return dominant(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
}

// Width implements Ranker.
func (Spread) MaxCandidates() int { return allWorkers }

// Spare implements Ranker.
func (Spread) IsSpare(string) bool { return false }

// packedWidth is how many candidates a packing placement compares.
const packedWidth = 16

// TightestFit takes the worker that is left with the least room. It is a
// baseline.
type TightestFit struct{}

// Cost implements Ranker.
func (TightestFit) Cost(_ *Job, size Resources, _ time.Duration, on Candidate) float64 {
	return 1 - dominant(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
}

// Width implements Ranker.
func (TightestFit) MaxCandidates() int { return packedWidth }

// Spare implements Ranker.
func (TightestFit) IsSpare(string) bool { return false }

// Harm predicts what one more task of a class costs the services on a VM: the
// added share of their requests that miss the latency target, 0 to 1.
type InterferencePredictor interface {
	AddedMissRate(worker, class string) float64
	// Spare reports whether no service needs its endpoint on the VM, and at
	// least one has such an endpoint.
	IsSpare(worker string) bool
}

const (
	// negligibleHarm does not count when workers are compared.
	negligibleHarm = 0.02
	// refusedHarm is the harm at which a job is left waiting for another
	// worker, so that a less harmful job takes the room.
	refusedHarm = 0.2
	// patience is how long a job may be left waiting for this reason.
	patience = 15 * time.Minute
	// longPatience is the same while other jobs of its class are started.
	longPatience = 2 * time.Hour
)

// Packed takes the first worker with room where the job is predicted not to
// disturb services, or else the one where it disturbs them least. Harm may be
// nil.
type Packed struct{ Predictor InterferencePredictor }

// Cost implements Ranker.
func (p Packed) Cost(j *Job, _ Resources, waited time.Duration, on Candidate) float64 {
	if p.Predictor == nil {
		return 0
	}
	harm := p.Predictor.AddedMissRate(on.Worker, j.Class)
	if harm > refusedHarm && waited < patience {
		return math.Inf(1)
	}
	return max(0, harm-negligibleHarm)
}

// Width implements Ranker.
func (p Packed) MaxCandidates() int { return packedWidth }

// Spare implements Ranker.
func (p Packed) IsSpare(worker string) bool { return p.Predictor != nil && p.Predictor.IsSpare(worker) }
