package endpoint

import (
	"cmp"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Policy picks the endpoint for the next dispatch and takes one of its slots.
// It returns nil if no candidate has a free slot.
type Policy interface {
	Pick(cs []Candidate, now time.Time) *Candidate
}

// LeastCost picks the candidate with the lowest cost among random ones. Policies
// that compare candidates by one number are built on it.
type LeastCost[K cmp.Ordered] struct {
	// Draws is how many random candidates are compared; 0 compares all.
	Draws int
	Cost  func(c *Candidate, now time.Time) K
	// IntN returns a random number in [0, n); nil means rand.IntN.
	IntN func(n int) int
}

// Pick implements Policy. Among candidates of equal cost it picks the first one
// drawn.
func (p LeastCost[K]) Pick(cs []Candidate, now time.Time) *Candidate {
	if len(cs) == 0 {
		return nil
	}
	draw := orDefaultIntN(p.IntN)
	n := p.Draws
	if n == 0 {
		n = len(cs)
	}
	start := draw(len(cs))
	var best *Candidate
	var leastCost K
	for i := range n {
		c := &cs[(start+i)%len(cs)]
		if p.Draws > 0 && i > 0 {
			c = &cs[draw(len(cs))]
		}
		if !hasFreeSlot(c, now) {
			continue
		}
		if cost := p.Cost(c, now); best == nil || cost < leastCost {
			best, leastCost = c, cost
		}
	}
	if best != nil && tryAcquire(best, now) {
		return best
	}
	return takeFirstFree(cs, draw, now)
}

func orDefaultIntN(f func(int) int) func(int) int {
	if f == nil {
		return rand.IntN
	}
	return f
}

func inFlight(c *Candidate, _ time.Time) int64 { return c.Load.InFlight() }

// TwoChoices draws two random candidates and picks the one with fewer requests in
// progress.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(cs []Candidate, now time.Time) *Candidate {
	return LeastCost[int64]{Draws: 2, Cost: inFlight}.Pick(cs, now)
}

// LeastInFlight picks the candidate with the fewest requests in progress.
type LeastInFlight struct{ IntN func(n int) int }

// Pick implements Policy.
func (p LeastInFlight) Pick(cs []Candidate, now time.Time) *Candidate {
	return LeastCost[int64]{Cost: inFlight, IntN: p.IntN}.Pick(cs, now)
}

// Random picks any candidate with a free slot.
type Random struct{ IntN func(n int) int }

// Pick implements Policy.
func (p Random) Pick(cs []Candidate, now time.Time) *Candidate {
	if len(cs) == 0 {
		return nil
	}
	return takeFirstFree(cs, orDefaultIntN(p.IntN), now)
}

// RoundRobin picks candidates in turn and skips full ones.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(cs []Candidate, now time.Time) *Candidate {
	for range cs {
		c := &cs[int(p.next.Add(1)%uint64(len(cs)))]
		if tryAcquire(c, now) {
			return c
		}
	}
	return nil
}

// takeFirstFree takes a slot of the first candidate that has one, starting at a
// random position, or returns nil.
func takeFirstFree(cs []Candidate, draw func(int) int, now time.Time) *Candidate {
	start := draw(len(cs))
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if tryAcquire(c, now) {
			return c
		}
	}
	return nil
}

// hasFreeSlot reports whether a candidate is usable and has a free slot.
func hasFreeSlot(c *Candidate, now time.Time) bool {
	return c.Load.Usable(now) && c.Load.Busy() < c.Load.Limit()
}

// tryAcquire takes a slot of a usable candidate and reports whether it did.
func tryAcquire(c *Candidate, now time.Time) bool {
	return c.Load.Usable(now) && c.Load.Acquire()
}
