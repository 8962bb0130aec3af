package worker

// Candidate is a worker that has room for a job.
type Candidate struct {
	Worker, Zone, Rack string
	Capacity, Room     Resources
}

// Ranker compares the workers that have room for a job.
type Ranker interface {
	// Cost of placing the job there; the lowest cost wins, the first worker
	// in a tie.
	Cost(j *Job, size Resources, on Candidate) float64
	// Width is how many workers with room are compared.
	Width() int
}

// FirstFit takes the first worker with room. It is a baseline.
type FirstFit struct{}

// Cost implements Ranker.
func (FirstFit) Cost(*Job, Resources, Candidate) float64 { return 0 }

// Width implements Ranker.
func (FirstFit) Width() int { return 1 }

// allWorkers is a width beyond any number of workers.
const allWorkers = 1 << 30

// Spread takes the emptiest worker. It is a baseline.
type Spread struct{}

// Cost implements Ranker.
func (Spread) Cost(_ *Job, size Resources, on Candidate) float64 {
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

// harmWeight is how much of a VM's room may stay unused to spare all requests
// of its services.
const harmWeight = 10

// Packed takes the worker that is left with the least room after placement,
// and avoids pairs that are predicted to disturb services. Harm may be nil.
type Packed struct{ Harm Harm }

// Cost implements Ranker.
func (p Packed) Cost(j *Job, size Resources, on Candidate) float64 {
	cost := 1 - dominant(on.Capacity.Minus(on.Room).Plus(size), on.Capacity)
	if p.Harm != nil {
		cost += harmWeight * p.Harm.Harm(on.Worker, j.Class)
	}
	return cost
}

// Width implements Ranker.
func (p Packed) Width() int { return packedWidth }
