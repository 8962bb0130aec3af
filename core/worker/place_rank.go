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
	Width() int
}

// FirstFit takes the first worker with room. It is a baseline.
type FirstFit struct{}

// Cost implements Ranker.
func (FirstFit) Cost(*Job, Resources, time.Duration, Candidate) float64 { return 0 }

// Width implements Ranker.
func (FirstFit) Width() int { return 1 }

// allWorkers is a width beyond any number of workers.
const allWorkers = 1 << 30

// Spread takes the emptiest worker. It is a baseline.
type Spread struct{}

// Cost implements Ranker.
func (Spread) Cost(_ *Job, size Resources, _ time.Duration, on Candidate) float64 {
	return dominant(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
}

// Width implements Ranker.
func (Spread) Width() int { return allWorkers }

// packedWidth is how many candidates a packing placement compares.
const packedWidth = 16

// Harm predicts what one more task of a class costs the services on a VM: the
// added share of their requests that miss the latency target, 0 to 1.
type Harm interface {
	Harm(worker, class string) float64
}

const (
	// harmWeight is how much of a VM's room may stay unused to spare all
	// requests of its services.
	harmWeight = 10
	// refusedHarm is the harm at which a job is left waiting for another
	// worker, so that a less harmful job takes the room.
	refusedHarm = 0.03
	// patience is how long a job may be left waiting for this reason.
	patience = 15 * time.Minute
)

// Packed takes the worker that is left with the least room after placement,
// and avoids pairs that are predicted to disturb services. Harm may be nil.
type Packed struct{ Harm Harm }

// Cost implements Ranker.
func (p Packed) Cost(j *Job, size Resources, waited time.Duration, on Candidate) float64 {
	cost := 1 - dominant(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
	if p.Harm == nil {
		return cost
	}
	harm := p.Harm.Harm(on.Worker, j.Class)
	if harm > refusedHarm && waited < patience {
		return math.Inf(1)
	}
	return cost + harmWeight*harm
}

// Width implements Ranker.
func (p Packed) Width() int { return packedWidth }
