package agent

import (
	"slices"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/job"
)

// Limits on what one heartbeat may change. Other changes count once they are repeated.
const (
	// maxSequenceStep is by how much the sequence number may grow beyond one for each
	// minHeartbeatInterval. A heartbeat that gets no answer is sent again.
	maxSequenceStep      = 8
	minHeartbeatInterval = 100 * time.Millisecond
	// maxShrinkFactor is the factor by which the capacity may shrink. A smaller capacity counts
	// at once, as too many tasks would be started otherwise.
	maxShrinkFactor = 4
	// repeatInterval is the least time between an implausible heartbeat and the one that
	// repeats it. Heartbeats that a partition has held up arrive together.
	repeatInterval = time.Second
)

// plausibility is what was learned from the heartbeats of an incarnation to tell its own from
// those of another writer. The zero value is that before the first heartbeat.
type plausibility struct {
	// sequence is the number of the newest heartbeat that counted, which arrived at
	// receivedAt. It is 0 before the first one.
	sequence   int64
	receivedAt time.Time
	// capacity is the largest one that counted, by resource.
	capacity job.Resources
	// odd is the newest heartbeat in a series that did not count, and oddSince when the series
	// began, or zero.
	odd      job.Worker
	oddAt    time.Time
	oddSince time.Time
}

// admit reports whether a heartbeat of the incarnation that old describes counts.
func (p *plausibility) admit(w, old *job.Worker, now time.Time) bool {
	if p.sequence == 0 || p.follows(w.Sequence, p.sequence, p.receivedAt, now) && describesSame(w, old) && p.isPlausible(w.Capacity, old.Capacity) {
		p.record(w, now)
		return true
	}
	repeats := !p.oddSince.IsZero() && p.follows(w.Sequence, p.odd.Sequence, p.oddAt, now) && describesSame(w, &p.odd) && w.Capacity == p.odd.Capacity
	if !repeats {
		p.oddSince = now
	}
	p.odd, p.oddAt = *w, now
	if repeats && now.Sub(p.oddSince) >= repeatInterval {
		p.record(w, now)
		return true
	}
	return false
}

// follows reports whether sequence can be the number of a heartbeat after an earlier one.
func (p *plausibility) follows(sequence, earlier int64, earlierAt, now time.Time) bool {
	return sequence > earlier && sequence-earlier <= maxSequenceStep+int64(clock.Elapsed(earlierAt, now)/minHeartbeatInterval)
}

func (p *plausibility) record(w *job.Worker, now time.Time) {
	p.sequence, p.receivedAt = w.Sequence, now
	p.capacity = p.capacity.Max(w.Capacity)
	p.oddSince = time.Time{}
}

// isPlausible reports whether the capacity can have changed from old to c.
func (p *plausibility) isPlausible(c, old job.Resources) bool {
	shrunk := func(c, old int64) bool { return c < old/maxShrinkFactor }
	return c.Fits(p.capacity) && !shrunk(int64(c.Processors), int64(old.Processors)) && !shrunk(c.Memory, old.Memory) &&
		!shrunk(int64(c.Accelerators), int64(old.Accelerators))
}

// describesSame reports whether a and b agree in what does not change during an incarnation.
func describesSame(a, b *job.Worker) bool {
	return a.Service == b.Service && a.Zone == b.Zone && a.VM == b.VM && a.Address == b.Address && slices.Equal(a.Labels, b.Labels)
}
