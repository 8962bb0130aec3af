package job

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reply returns the reply to a report of an agent.
func (c *Cell) Reply(r *Report, now time.Time) Reply {
	out := Reply{Epoch: c.epoch, Generation: c.generationOf(r.Agent), Base: r.Delta.Number, EndsDurable: c.hasDurableGoneEnds(r)}
	w := c.workers.Get(r.Agent)
	if w == nil {
		return out
	}
	out.Worker, out.Incarnation = w.ID, w.Incarnation
	out.Acknowledged = w.durableEnds
	out.Freshness = &Freshness{CancellationsAge: Age(c.cancellationsKnownAt, now), Partial: len(w.pending) > 0}
	if !r.ReceivedAt.IsZero() {
		out.Freshness.Held = now.Sub(r.ReceivedAt)
	}
	if e := &c.evacuations; e.bound > 0 {
		age := Age(e.knownAt, now)
		out.Freshness.EvacuationsAge, out.Freshness.ZoneEvacuated = &age, e.isEvacuated(w.Zone)
	}
	if !w.canGrantLease() {
		// Without a lease the worker would refuse to start tasks.
		return out
	}
	out.LeaseUntil = w.confirmedClock.clock + maxLeaseExtension
	if c.roster[r.Agent].durable && len(w.pending) > 0 && !w.delivery.excludes(r.LongPoll, now) {
		w.delivery = delivery{w.record.sequence, r.LongPoll, now}
		out.addOrders(w.pending, r.SharedPayloads)
		out.Freshness.Partial = false
	}
	c.addInterference(&out, r, w)
	if r.Delta.Base > 0 {
		for _, name := range r.Delta.UnknownTraits {
			c.addTraits(&out, name)
		}
		return out
	}
	for i := range r.Running {
		c.addTraits(&out, r.Running[i].Task)
	}
	return out
}

// addInterference adds the table of interference on w unless the agent holds it.
func (c *Cell) addInterference(out *Reply, r *Report, w *workerRow) {
	out.Interference = c.interferenceOn(w)
	if !r.Delta.Enabled {
		return
	}
	out.InterferenceVersion = interferenceVersion(out.Interference)
	if out.InterferenceVersion == r.Delta.KnownInterference {
		out.Interference = nil
	}
}

// interferenceVersion returns a hash of a table of interference, or 0 if it is empty.
func interferenceVersion(table map[string]map[string]float64) uint64 {
	if len(table) == 0 {
		return 0
	}
	var b []byte
	for _, serving := range slices.Sorted(maps.Keys(table)) {
		row := table[serving]
		b = appendName(b, serving)
		b = binary.LittleEndian.AppendUint64(b, uint64(len(row)))
		for _, image := range slices.Sorted(maps.Keys(row)) {
			b = appendName(b, image)
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(row[image]))
		}
	}
	return max(1, xxhash.Sum64(b))
}

// appendName appends name with its length, so that the boundaries of names are part of
// the hash.
func appendName(b []byte, name string) []byte {
	return append(binary.LittleEndian.AppendUint64(b, uint64(len(name))), name...)
}

// traits returns the traits of the step's tasks.
func (s *Step) traits() TaskTraits { return TaskTraits{s.BestEffort, s.TailTarget, s.Image} }

func (c *Cell) addTraits(out *Reply, name string) {
	_, s, t := c.findTask(name)
	if t == nil || !s.spec.BestEffort && s.spec.TailTarget == 0 {
		return
	}
	if out.Traits == nil {
		out.Traits = map[string]TaskTraits{}
	}
	out.Traits[name] = s.spec.traits()
}

// HasOrders reports whether there are orders that may be sent to the agent in the
// reply to a long poll.
func (c *Cell) HasOrders(agent string, now time.Time) bool {
	w := c.workers.Get(agent)
	return w != nil && len(w.pending) > 0 && w.canGrantLease() && c.roster[agent].durable && !w.delivery.excludes(true, now)
}

// canGrantLease reports whether the ownership was confirmed after a report of
// the worker's current incarnation, so that the worker can be granted a lease.
func (w *workerRow) canGrantLease() bool {
	return w.confirmedClock.incarnation == w.Incarnation && w.confirmedClock.clock > 0
}

// NeedsOwnershipCheck reports whether a worker needs an ownership check before
// it can be granted its first lease.
func (c *Cell) NeedsOwnershipCheck() bool {
	for _, w := range c.workers.All {
		if w.listed && !w.ended && !w.canGrantLease() {
			return true
		}
	}
	return false
}
