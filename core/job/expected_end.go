package job

import (
	"slices"
	"time"
)

// assumedTaskTime is the assumed run time of a task without an estimate.
const assumedTaskTime = time.Second

// minWorkerSpeed is the lowest average speed of a worker by which expected run times
// are computed; the average may be close to 0.
const minWorkerSpeed = 0.05

// timeOn returns how long a task of the scorer's step is expected to run on w.
func (r *scorer) timeOn(w *workerRow) time.Duration {
	d := times(r.runTime, r.cell.rackFactor(r.step, w))
	if w.speed.isSlow() {
		d = times(d, 1/max(w.speed.average, minWorkerSpeed))
	}
	return r.cell.coldTime(w, d, r.now)
}

// recordPlaced updates what depends on the tasks of a scored worker after one of the
// step was assigned to it.
func (r *scorer) recordPlaced(o *scoredWorker) {
	r.setScore(o)
	r.rooms = nil
	if r.spread != nil {
		r.spread.add(o.worker)
	}
}

// Ranks of a worker on which a task is not expected to make proper progress, or has
// failed before. They outweigh the expected end.
const (
	rankInterferes = 1 << iota
	rankRemote
	rankFailed
)

// setEnd sets the expected run time and the rank of a worker.
func (r *scorer) setEnd(o *scoredWorker) {
	o.time, o.rank, o.tieScore = r.timeOn(o.worker), 0, o.score
	if o.worker.speed.isSlow() {
		o.tieScore += slowPenalty
	}
	if o.interferes {
		o.rank |= rankInterferes
	}
	if r.isRemote(o.worker) {
		o.tieScore += remoteDataPenalty
		if !r.cell.usesExpectedEnd(r.step) {
			o.rank |= rankRemote
		}
	}
}

// isRemote reports whether w is not in the rack that holds the data of the step.
func (r *scorer) isRemote(w *workerRow) bool {
	return r.step.Rack != "" && !slices.Contains(w.Labels, r.step.Rack)
}

// tiedTimePermille is up to which multiple of the shortest expected time, in
// thousandths, the times of two workers count as equal: estimates are wrong by more.
const tiedTimePermille = 1100

// chooseEarliest returns the worker on which t is expected to end first. Among those
// with nearly the same time, the one with the highest score wins, and among equal ones
// that whose rack has the fewest tasks of the step.
func (r *scorer) chooseEarliest(scored []scoredWorker, k *candidate, t *taskRow) *scoredWorker {
	rankOf := func(o *scoredWorker) int {
		if slices.Contains(t.failedOn, o.worker.ID) {
			return o.rank | rankFailed
		}
		return o.rank
	}
	var first *scoredWorker
	for i := range scored {
		o := &scored[i]
		if !r.isEligible(o, k, t) {
			continue
		}
		if first == nil || rankOf(o) < rankOf(first) || rankOf(o) == rankOf(first) && o.time < first.time {
			first = o
		}
	}
	if first == nil {
		return nil
	}
	rank, limit, best := rankOf(first), first.time*tiedTimePermille/1000, first
	for i := range scored {
		o := &scored[i]
		if o == best || rankOf(o) != rank || o.time > limit || o.tieScore < best.tieScore || !r.isEligible(o, k, t) {
			continue
		}
		if o.tieScore > best.tieScore || r.cell.usesExpectedEnd(r.step) && r.spreadOf(k).isLess(o.worker, best.worker) {
			best = o
		}
	}
	return best
}
