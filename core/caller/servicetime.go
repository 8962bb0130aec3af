package caller

import "time"

// Parameters of the estimates.
const (
	// ewmaDivisor is the inverse of the weight of a new sample in the moving
	// averages.
	ewmaDivisor = 16
	// initialMean is the mean service time before the first answer.
	initialMean = 20 * time.Millisecond
	// timeoutDeviations is how many mean deviations above the mean an attempt
	// may take before it counts as stuck.
	timeoutDeviations = 8
	minAttemptTimeout = 50 * time.Millisecond
	// stallIntervals is how many expected intervals may pass without a freed
	// slot before the estimated interval grows.
	stallIntervals = 8
	// requiredDeviations is how many mean deviations above the mean a queued
	// request is given for its own run.
	requiredDeviations = 2
)

// ServiceTimeEstimator estimates how long a request of this entry occupies a
// slot at the endpoints of a service, and how often a slot becomes free. Its
// owner serializes calls to its methods.
type ServiceTimeEstimator struct {
	mean       time.Duration
	deviation  time.Duration
	slotsInUse int
	// lastFreed is when a slot last became free or, if this is later, when a
	// slot was taken or a request began to wait while no slot was in use.
	lastFreed time.Time
}

// SlotTaken records that a slot was taken.
func (e *ServiceTimeEstimator) SlotTaken(now time.Time) {
	if e.slotsInUse == 0 {
		e.lastFreed = now
	}
	e.slotsInUse++
}

// SlotFreed records that a slot was freed after serviceTime. Only complete
// answers enter the averages, because a failure may come at once or at the
// deadline.
func (e *ServiceTimeEstimator) SlotFreed(serviceTime time.Duration, complete bool, now time.Time) {
	e.slotsInUse--
	e.lastFreed = now
	if !complete {
		return
	}
	if e.mean == 0 {
		e.mean, e.deviation = serviceTime, serviceTime/2
		return
	}
	e.deviation += ((serviceTime - e.mean).Abs() - e.deviation) / ewmaDivisor
	e.mean += (serviceTime - e.mean) / ewmaDivisor
}

// Mean returns the mean time for which a slot is occupied.
func (e *ServiceTimeEstimator) Mean() time.Duration {
	if e.mean == 0 {
		return initialMean
	}
	return e.mean
}

// AttemptTimeout returns the time after which an attempt counts as stuck. Until
// the first complete answer it returns one second.
func (e *ServiceTimeEstimator) AttemptTimeout() time.Duration {
	if e.mean == 0 {
		return time.Second
	}
	return max(e.mean+timeoutDeviations*e.deviation, minAttemptTimeout)
}

// WaitBegan records that a request begins to wait while no other one waits.
func (e *ServiceTimeEstimator) WaitBegan(now time.Time) {
	if e.slotsInUse == 0 {
		e.lastFreed = now
	}
}

// ReleaseInterval returns the estimated time from one release of a slot to the
// next. It grows once no slot has become free for longer than random variation
// explains.
func (e *ServiceTimeEstimator) ReleaseInterval(now time.Time) time.Duration {
	usual := e.Mean() / time.Duration(max(e.slotsInUse, 1))
	if gap := now.Sub(e.lastFreed); gap > stallIntervals*usual {
		return gap
	}
	return usual
}

// RequiredTime returns the time that a request should have left before its
// deadline when it gets its slot, so that endpoints rarely work on requests
// whose answers come too late.
func (e *ServiceTimeEstimator) RequiredTime() time.Duration {
	return e.Mean() + requiredDeviations*e.deviation
}
