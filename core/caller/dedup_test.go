package caller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarygap/io/golden"
)

// TestMain gives the property tests a fixed seed and their usual number of
// cases, unless the command line says otherwise.
func TestMain(m *testing.M) { golden.FixSeed(m, "3000") }

// applyRandomAction draws one action or fault for a random node and applies it.
// Both actions of the pairs freeze and wake, cut and heal, and cut-store and
// heal-store switch the same state to its opposite.
func (s *simulation) applyRandomAction(t *rapid.T) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	n := s.nodes[i]
	defer func() {
		s.log = append(s.log, fmt.Sprintf("%v node %d: up %v frozen %v store unreachable %v store down %v partitioned %v leases %v", s.now.Format("15:04:05.000"), i, n.up, n.frozen, n.storeUnreachable, s.storeDown, s.partitioned, s.leases))
	}()
	switch rapid.SampledFrom([]string{"new", "new", "repeat", "repeat", "repeat", "untimed", "wait", "wait", "wait", "long",
		"kill", "leave", "start", "freeze", "wake", "cut", "heal", "cut-store", "heal-store", "down", "up", "slow"}).Draw(t, "action") {
	case "new":
		ahead := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "ahead-ms")) * time.Millisecond
		s.ids = append(s.ids, s.newTimedID(s.now.Add(ahead)))
		s.sendRequest(s.ids[len(s.ids)-1], i)
	case "untimed":
		s.serial++
		s.ids = append(s.ids, fmt.Sprint("booking-", s.serial))
		s.sendRequest(s.ids[len(s.ids)-1], i)
	case "repeat":
		if len(s.ids) > 0 {
			s.sendRequest(s.ids[len(s.ids)-1-rapid.IntRange(0, min(3, len(s.ids)-1)).Draw(t, "which")], i)
		}
	case "wait":
		s.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case "long":
		s.advance(time.Duration(rapid.SampledFrom([]int{8, 30, 300, 900, 4000}).Draw(t, "s")) * time.Second)
	case "kill":
		n.up = false
	case "start":
		if !n.up {
			s.startNode(i)
		}
	case "leave":
		s.stopNode(n)
	case "freeze", "wake":
		n.frozen = !n.frozen
	case "cut", "heal":
		j := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")
		k := [2]int{min(i, j), max(i, j)}
		s.partitioned[k] = !s.partitioned[k] && i != j
	case "cut-store", "heal-store":
		n.storeUnreachable = !n.storeUnreachable
	case "down":
		s.storeDown = rapid.Bool().Draw(t, "is-down")
	case "slow":
		n.slowStore = true
	case "up":
		s.storeDown = false
	}
}

// dispatchedTwice reports whether an id was dispatched twice. For an id without
// a timestamp, only repeats within the longest deadline count, because the
// protocol recognizes no later ones.
func dispatchedTwice(id string, arrivals []time.Time) bool {
	_, timed := idTime(id)
	slices.SortFunc(arrivals, time.Time.Compare)
	for i := 1; i < len(arrivals); i++ {
		if timed || arrivals[i].Sub(arrivals[i-1]) < testMaxDeadline {
			return true
		}
	}
	return false
}

// TestAnIDIsDispatchedOnceThroughChurn checks that an id is dispatched at most
// once under random crashes, restarts, freezes, network partitions and outages
// of the store.
func TestAnIDIsDispatchedOnceThroughChurn(t *testing.T) {
	dispatchedIDs := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "entries"))
		for _, n := range s.nodes {
			n.clockOffset = time.Duration(rapid.IntRange(-900, 900).Draw(t, "clock-ms")) * time.Millisecond
		}
		for range rapid.IntRange(5, 60).Draw(t, "actions") {
			s.applyRandomAction(t)
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				if len(s.attempts) > 0 {
					s.step(rapid.IntRange(0, len(s.attempts)-1).Draw(t, "attempt"))
				}
			}
		}
		for id, arrivals := range s.dispatched {
			if dispatchedTwice(id, arrivals) {
				t.Fatalf("%s was dispatched for requests of %v\n%s", id, arrivals, strings.Join(s.log, "\n"))
			}
		}
		dispatchedIDs += len(s.dispatched)
	})
	if dispatchedIDs == 0 {
		t.Fatal("no request was dispatched in any test case")
	}
	t.Logf("%d ids dispatched", dispatchedIDs)
}

// runAttempts runs all attempts to their end.
func (s *simulation) runAttempts() {
	for len(s.attempts) > 0 {
		s.step(len(s.attempts) - 1)
	}
}

// TestFirstRequestsAreGrantedWhileEntriesAreHealthy checks that no first request
// with an id is refused while entries are healthy, while they are replaced one
// at a time, and during a store outage that affects all entries.
func TestFirstRequestsAreGrantedWhileEntriesAreHealthy(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	checkGranted := func(what string) {
		t.Helper()
		for i := range s.nodes {
			if !s.nodes[i].up {
				continue
			}
			s.serial++
			s.sendRequest(s.newTimedID(s.now), i)
			s.sendRequest(fmt.Sprint("booking-", s.serial), i)
			s.runAttempts()
		}
		if len(s.denied) > 0 {
			t.Fatalf("%s: %v", what, s.denied)
		}
	}
	s.advance(testKeepAliveInterval)
	checkGranted("after the initial start")
	s.advance(2 * ClaimRetention)
	for i := range 3 {
		s.stopNode(s.nodes[i])
		s.advance(testKeepAliveInterval)
		checkGranted("after a planned stop")
		s.startNode(i)
		checkGranted("right after a start, before the others see it")
		s.advance(testKeepAliveInterval)
		checkGranted("after a start")
	}
	s.nodes[0].up = false
	s.advance(2 * testLeaseTTL)
	checkGranted("after a kill")
	s.startNode(0)
	checkGranted("after a restart")
	s.advance(testKeepAliveInterval)
	s.storeDown = true
	for range 10 {
		s.advance(5 * time.Minute)
		checkGranted("in an outage of the store")
	}
	s.storeDown = false
	s.advance(30 * testKeepAliveInterval)
	checkGranted("after an outage of the store")
	for _, n := range s.nodes {
		s.advance(testKeepAliveInterval)
		s.stopNode(n)
	}
	s.advance(time.Minute)
	s.startNode(0)
	s.advance(10 * testKeepAliveInterval)
	s.serial++
	s.sendRequest(s.newTimedID(s.now), 0)
	s.runAttempts()
	is.Equal(len(s.denied), 0) // granted after a planned stop of all entries
	is.True(len(s.dispatched) > 50)
}

// TestConsentInAnOutageNeedsTheSameMembers checks that an entry without a
// connection to the store does not grant a claim if one of the members that
// consent already uses another view. Members that joined later may have granted
// the claim without asking the entry.
func TestConsentInAnOutageNeedsTheSameMembers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2)
	s.advance(testKeepAliveInterval)
	isolated := s.nodes[0]
	isolated.storeUnreachable = true
	s.advance(2 * testLeaseTTL)
	for i := 2; i < 4; i++ {
		s.nodes = append(s.nodes, &node{})
		s.startNode(i)
		s.partitioned[[2]int{0, i}] = true
	}
	s.advance(time.Minute)
	for range 200 {
		id := s.newTimedID(s.now)
		s.sendRequest(id, 3)
		s.runAttempts()
		s.sendRequest(id, 0)
		s.runAttempts()
		is.True(!dispatchedTwice(id, s.dispatched[id]))
	}
	is.Equal(len(s.dispatched), 200)
}

// TestSimultaneousRepeatsDispatchOne checks that exactly one of several requests
// that reach all entries at the same time with one id is dispatched, in
// whichever order their steps interleave.
func TestSimultaneousRepeatsDispatchOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 4).Draw(t, "entries"))
		s.advance(2 * ClaimRetention)
		id := "booking"
		if rapid.Bool().Draw(t, "timed") {
			id = s.newTimedID(s.now)
		}
		for i := range s.nodes {
			s.sendRequest(id, i)
		}
		for len(s.attempts) > 0 {
			s.step(rapid.IntRange(0, len(s.attempts)-1).Draw(t, "attempt"))
		}
		if n := len(s.dispatched[id]); n != 1 {
			t.Fatalf("dispatched %d times, want 1; refusals: %v", n, s.denied)
		}
	})
}

// TestAPlanForEarlierMembersGrantsNothing checks that a plan made under an
// earlier view grants nothing once another member has joined, because the
// members of the new view may have granted a claim of the id among themselves.
func TestAPlanForEarlierMembersGrantsNothing(t *testing.T) {
	is := is.New(t)
	s := &simulation{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), partitioned: map[[2]int]bool{},
		leases: map[Member]time.Time{}, dispatched: map[string][]time.Time{}}
	s.nodes = []*node{{}}
	s.startNode(0)
	first := s.nodes[0].dedup
	c := Claim{"booking", "booking", "first", s.nodes[0].member}
	is.Equal(first.Begin(c, s.now), Granted)
	p := first.PlanGrant(c, s.now)
	is.Equal(p.Verdict, Granted)
	is.Equal(len(p.Peers), 0)
	s.nodes = append(s.nodes, &node{})
	s.startNode(1)
	s.advance(testKeepAliveInterval)
	is.Equal(first.Resolve(c, p, nil, s.now), Unsure)
}
