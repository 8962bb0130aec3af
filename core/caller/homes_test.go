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

// act makes one drawn thing happen.
func (w *world) act(t *rapid.T) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	n := w.nodes[i]
	defer func() {
		w.log = append(w.log, fmt.Sprintf("%v at %d: up %v frozen %v cutstore %v down %v cut %v leases %v", w.now.Format("15:04:05.000"), i, n.up, n.frozen, n.cutFromStore, w.down, w.cut, w.leases))
	}()
	switch rapid.SampledFrom([]string{"new", "new", "repeat", "repeat", "repeat", "untimed", "wait", "wait", "wait", "long",
		"kill", "leave", "start", "freeze", "wake", "cut", "heal", "cut-store", "heal-store", "down", "up", "slow"}).Draw(t, "act") {
	case "new":
		ahead := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "ahead-ms")) * time.Millisecond
		w.ids = append(w.ids, w.newTimedID(w.now.Add(ahead)))
		w.request(w.ids[len(w.ids)-1], i)
	case "untimed":
		w.serial++
		w.ids = append(w.ids, fmt.Sprint("booking-", w.serial))
		w.request(w.ids[len(w.ids)-1], i)
	case "repeat":
		if len(w.ids) > 0 {
			w.request(w.ids[len(w.ids)-1-rapid.IntRange(0, min(3, len(w.ids)-1)).Draw(t, "which")], i)
		}
	case "wait":
		w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case "long":
		w.advance(time.Duration(rapid.SampledFrom([]int{8, 30, 300, 900, 4000}).Draw(t, "s")) * time.Second)
	case "kill":
		n.up = false
	case "start":
		if !n.up {
			w.start(i)
		}
	case "leave":
		w.leave(n)
	case "freeze", "wake":
		n.frozen = !n.frozen
	case "cut", "heal":
		j := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")
		k := [2]int{min(i, j), max(i, j)}
		w.cut[k] = !w.cut[k] && i != j
	case "cut-store", "heal-store":
		n.cutFromStore = !n.cutFromStore
	case "down":
		w.down = rapid.Bool().Draw(t, "is-down")
	case "slow":
		n.slow = true
	case "up":
		w.down = false
	}
}

// twice reports whether an id was dispatched twice. A repeat without a time in
// its id is recognised for the longest deadline only.
func twice(id string, arrivals []time.Time) bool {
	_, timed := idTime(id)
	slices.SortFunc(arrivals, time.Time.Compare)
	for i := 1; i < len(arrivals); i++ {
		if timed || arrivals[i].Sub(arrivals[i-1]) < testLimit {
			return true
		}
	}
	return false
}

// Whatever happens to entries, the store and the network between them, an id
// is dispatched at most once.
func TestAnIDIsDispatchedOnceThroughChurn(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "entries"))
		for _, n := range w.nodes {
			n.offset = time.Duration(rapid.IntRange(-900, 900).Draw(t, "clock-ms")) * time.Millisecond
		}
		for range rapid.IntRange(5, 60).Draw(t, "acts") {
			w.act(t)
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				if len(w.tries) > 0 {
					w.step(rapid.IntRange(0, len(w.tries)-1).Draw(t, "try"))
				}
			}
		}
		for id, arrivals := range w.ran {
			if twice(id, arrivals) {
				t.Fatalf("%s was dispatched for requests of %v\n%s", id, arrivals, strings.Join(w.log, "\n"))
			}
		}
		granted += len(w.ran)
	})
	if granted == 0 {
		t.Fatal("nothing was ever dispatched")
	}
	t.Logf("%d ids dispatched", granted)
}

// finish runs all tries to their end.
func (w *world) finish() {
	for len(w.tries) > 0 {
		w.step(len(w.tries) - 1)
	}
}

// While entries are healthy, and while they are replaced one at a time, no
// first request with an id is refused; nor in an outage of the store that all
// entries see.
func TestFirstRequestsAreGrantedWhileEntriesAreHealthy(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	ask := func(what string) {
		t.Helper()
		for i := range w.nodes {
			if !w.nodes[i].up {
				continue
			}
			w.serial++
			w.request(w.newTimedID(w.now), i)
			w.request(fmt.Sprint("booking-", w.serial), i)
			w.finish()
		}
		if len(w.denied) > 0 {
			t.Fatalf("%s: %v", what, w.denied)
		}
	}
	w.advance(testVerify)
	ask("at the start")
	w.advance(2 * ClaimRetention)
	for i := range 3 {
		w.leave(w.nodes[i])
		w.advance(testVerify)
		ask("after a planned stop")
		w.start(i)
		ask("right after a start, before the others see it")
		w.advance(testVerify)
		ask("after a start")
	}
	w.nodes[0].up = false
	w.advance(2 * testLease)
	ask("after a kill")
	w.start(0)
	ask("after a restart")
	w.advance(testVerify)
	w.down = true
	for range 10 {
		w.advance(5 * time.Minute)
		ask("in an outage of the store")
	}
	w.down = false
	w.advance(30 * testVerify)
	ask("after an outage of the store")
	for _, n := range w.nodes {
		w.advance(testVerify)
		w.leave(n)
	}
	w.advance(time.Minute)
	w.start(0)
	w.advance(10 * testVerify)
	w.serial++
	w.request(w.newTimedID(w.now), 0)
	w.finish()
	is.Equal(len(w.denied), 0) // after all were stopped as planned
	is.True(len(w.ran) > 50)
}

// An entry that is cut off from the store acts with the consent of the members
// that it knew, but not if one of them acts on other members by now: the new
// ones may have granted the claim without it.
func TestConsentInAnOutageNeedsTheSameMembers(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.advance(testVerify)
	a := w.nodes[0]
	a.cutFromStore = true
	w.advance(2 * testLease)
	for i := 2; i < 4; i++ {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
		w.cut[[2]int{0, i}] = true
	}
	w.advance(time.Minute)
	for range 200 {
		id := w.newTimedID(w.now)
		w.request(id, 3)
		w.finish()
		w.request(id, 0)
		w.finish()
		is.True(!twice(id, w.ran[id]))
	}
	is.Equal(len(w.ran), 200)
}

// Requests with one id that reach all entries at the same moment: exactly one
// is dispatched, in whichever order their steps interleave.
func TestSimultaneousRepeatsDispatchOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "entries"))
		w.advance(2 * ClaimRetention)
		id := "booking"
		if rapid.Bool().Draw(t, "timed") {
			id = w.newTimedID(w.now)
		}
		for i := range w.nodes {
			w.request(id, i)
		}
		for len(w.tries) > 0 {
			w.step(rapid.IntRange(0, len(w.tries)-1).Draw(t, "try"))
		}
		if n := len(w.ran[id]); n != 1 {
			t.Fatalf("dispatched %d times, refused %v", n, w.denied)
		}
	})
}

// A claim that was decided for earlier members is not granted once others have
// joined: they may have granted the id to each other.
func TestAPlanForEarlierMembersGrantsNothing(t *testing.T) {
	is := is.New(t)
	w := &world{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), cut: map[[2]int]bool{},
		leases: map[Member]time.Time{}, ran: map[string][]time.Time{}}
	w.nodes = []*node{{}}
	w.start(0)
	alone := w.nodes[0].homes
	c := Claim{"booking", "booking", "first", w.nodes[0].member}
	is.Equal(alone.Begin(c, w.now), Granted)
	p := alone.PlanGrant(c, w.now)
	is.Equal(p.Verdict, Granted)
	is.Equal(len(p.Peers), 0)
	w.nodes = append(w.nodes, &node{})
	w.start(1)
	w.advance(testVerify)
	is.Equal(alone.Resolve(c, p, nil, w.now), Unsure)
}
