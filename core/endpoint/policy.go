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

// LeastOf picks the candidate of least cost among random draws. It is the
// base of the policies that compare candidates by one number.
type LeastCost[K cmp.Ordered] struct {
	// Draws is how many candidates are compared; 0 compares all.
	Draws int
	Cost  func(c *Candidate, now time.Time) K
	// IntN draws a number under n; nil draws from the runtime's source.
	IntN func(n int) int
}

// Pick implements Policy. Among equals the first one drawn goes first.
func (p LeastCost[K]) Pick(cs []Candidate, now time.Time) *Candidate {
	if len(cs) == 0 {
		return nil
	}
	draw := orRuntime(p.IntN)
	n := p.Draws
	if n == 0 {
		n = len(cs)
	}
	start := draw(len(cs))
	var best *Candidate
	var least K
	for i := range n {
		c := &cs[(start+i)%len(cs)]
		if p.Draws > 0 && i > 0 {
			c = &cs[draw(len(cs))]
		}
		if !free(c, now) {
			continue
		}
		if cost := p.Cost(c, now); best == nil || cost < least {
			best, least = c, cost
		}
	}
	if best != nil && takes(best, now) {
		return best
	}
	return firstFree(cs, draw, now)
}

func orRuntime(f func(int) int) func(int) int {
	if f == nil {
		return rand.IntN
	}
	return f
}

func inFlight(c *Candidate, _ time.Time) int64 { return c.Load.InFlight() }

// TwoChoices picks the less loaded of two random candidates.
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
	return firstFree(cs, orRuntime(p.IntN), now)
}

// RoundRobin picks candidates in turn and passes over full ones.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(cs []Candidate, now time.Time) *Candidate {
	for range cs {
		c := &cs[int(p.next.Add(1)%uint64(len(cs)))]
		if takes(c, now) {
			return c
		}
	}
	return nil
}

func firstFree(cs []Candidate, draw func(int) int, now time.Time) *Candidate {
	start := draw(len(cs))
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if takes(c, now) {
			return c
		}
	}
	return nil
}

// free reports whether a candidate has a slot to take.
func free(c *Candidate, now time.Time) bool {
	return c.Load.Usable(now) && c.Load.Busy() < c.Load.Limit()
}

func takes(c *Candidate, now time.Time) bool {
	return c.Load.Usable(now) && c.Load.Acquire()
}
