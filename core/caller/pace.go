package caller

import "time"

// Weights of the moving averages: one part in paceWeight is new.
const (
	paceWeight = 16
	// firstLatency is assumed before the first answer.
	firstLatency = 20 * time.Millisecond
	// timeoutSpread is how many mean deviations above the mean an attempt
	// may take before it counts as stuck.
	timeoutSpread = 8
	minTimeout    = 50 * time.Millisecond
	// stallGap is how many usual intervals may pass without a free slot
	// before the pace counts as slowed.
	stallGap = 8
	// spareSpread is how many mean deviations above the mean a queued
	// request is given for its own run.
	spareSpread = 2
)

// Pace measures how fast the endpoints of a service finish requests of this
// entry. Its owner serialises calls.
type ServiceTimeEstimator struct {
	mean      time.Duration
	deviation time.Duration
	busy      int
	last      time.Time
}

// Begin notes that a slot was taken.
func (p *ServiceTimeEstimator) SlotTaken(now time.Time) {
	if p.busy == 0 {
		p.last = now
	}
	p.busy++
}

// End notes that a slot was freed after held. Only whole answers tell how long
// answers take: a failure may come at once or at the deadline.
func (p *ServiceTimeEstimator) SlotFreed(held time.Duration, whole bool, now time.Time) {
	p.busy--
	p.last = now
	if !whole {
		return
	}
	if p.mean == 0 {
		p.mean, p.deviation = held, held/2
		return
	}
	p.deviation += ((held - p.mean).Abs() - p.deviation) / paceWeight
	p.mean += (held - p.mean) / paceWeight
}

// Latency returns the mean time for which a slot is held.
func (p *ServiceTimeEstimator) Mean() time.Duration {
	if p.mean == 0 {
		return firstLatency
	}
	return p.mean
}

// Timeout returns the time after which an attempt is taken for stuck.
func (p *ServiceTimeEstimator) AttemptTimeout() time.Duration {
	if p.mean == 0 {
		return time.Second
	}
	return max(p.mean+timeoutSpread*p.deviation, minTimeout)
}

// Block notes that a request begins to wait, with no other one waiting.
func (p *ServiceTimeEstimator) WaitBegan(now time.Time) {
	if p.busy == 0 {
		p.last = now
	}
}

// Interval returns the measured time between two slots that become free. It
// grows once none has become free for longer than chance explains.
func (p *ServiceTimeEstimator) ReleaseInterval(now time.Time) time.Duration {
	usual := p.Mean() / time.Duration(max(p.busy, 1))
	if gap := now.Sub(p.last); gap > stallGap*usual {
		return gap
	}
	return usual
}

// Needs returns the time that a request should still have when it gets its
// slot, so that the endpoint's work is rarely for nothing.
func (p *ServiceTimeEstimator) RequiredTime() time.Duration {
	return p.Mean() + spareSpread*p.deviation
}
