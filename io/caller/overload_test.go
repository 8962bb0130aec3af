package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"
	"rosemarygap/io/endpoint"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// site is an entry's server in front of one scripted endpoint.
type site struct {
	end     *scripted
	client  *endpoint.Client
	server  *Server
	control *fixed
}

func newSite(slots, queue int, usual func() step) *site {
	e := &scripted{ran: map[string]int{}, usual: usual}
	c := endpoint.NewClient(0, endpoint.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
		return e.dial(ctx, n, a)
	}))
	f := newFixed(1, slots, queue, time.Now())
	return &site{e, c, NewServer(f, c, hclog.NewNullLogger()), f}
}

// close ends the site after the endpoint's longest request.
func (s *site) close() {
	time.Sleep(time.Minute)
	s.client.Close()
	s.end.close()
	synctest.Wait()
}

// play performs all calls and returns what each caller was told.
func (s *site) play(calls []call) []told {
	out := make([]told, len(calls))
	done := make(chan struct{})
	for i, k := range calls {
		go func() {
			out[i] = perform(s.server.Handler(), fmt.Sprint("request-", i), k)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	return out
}

func (s *site) inFlight() int64 {
	return s.control.snap.Endpoints.Candidates("catalogue")[0].Load.InFlight()
}

func refusalOf(o told) (r ErrorResponse) {
	_ = json.Unmarshal([]byte(o.body), &r)
	return r
}

// A request that waits is either dispatched, or refused while there is still
// time: never at its deadline. Slots are never exceeded and never leak.
func TestQueueNeverHoldsARequestToItsDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		queue := rapid.IntRange(1, 30).Draw(rt, "queue-limit")
		delay := time.Duration(rapid.IntRange(1, 200).Draw(rt, "service-ms")) * time.Millisecond
		frozen := rapid.IntRange(0, 40).Draw(rt, "freeze-after")
		calls := rapid.SliceOfN(rapid.Custom(drawWaiting), 1, 40).Draw(rt, "calls")
		var fault string
		synctest.Test(t, func(*testing.T) {
			n := 0
			s := newSite(slots, queue, func() step {
				if n++; n > frozen {
					return step{at: runThenFreeze}
				}
				return step{frame: "length", delay: delay}
			})
			results := s.play(calls)
			fault = heldBack(s, calls, results, slots)
			s.close()
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func drawWaiting(t *rapid.T) call {
	c := call{method: "GET", idempotent: true,
		at:       time.Duration(rapid.IntRange(0, 300).Draw(t, "at-ms")) * time.Millisecond,
		deadline: time.Duration(rapid.IntRange(300, 3000).Draw(t, "deadline-ms")) * time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "cancels") == 0 {
		c.cancel = time.Duration(rapid.IntRange(1, 250).Draw(t, "cancel-ms")) * time.Millisecond
	}
	return c
}

// Least time before the deadline at which a queued request is refused, and
// bounds of the delay told to the caller.
const (
	leastNotice   = time.Millisecond
	leastRetry    = 50 * time.Millisecond
	greatestRetry = 45 * time.Second
)

func heldBack(s *site, calls []call, results []told, slots int) string {
	for i, o := range results {
		r := refusalOf(o)
		after := r.RetryAfter.Std()
		switch {
		case o.outcome != caller.NotRun || calls[i].cancel > 0:
			continue
		case calls[i].deadline-o.took < leastNotice:
			return fmt.Sprintf("held to its deadline: %+v told %+v", calls[i], o)
		case r.Code != status.ErrQueueFull.Code():
			return fmt.Sprintf("refused with another code: %+v told %+v", calls[i], o)
		case after < leastRetry || after > greatestRetry:
			return fmt.Sprintf("retry-after out of bounds: %+v", o)
		}
	}
	// An endpoint goes on with a request that its caller or entry gave up.
	givenUp := slices.ContainsFunc(results, func(o told) bool { return o.outcome == caller.Unknown })
	if s.end.most > slots && !givenUp {
		return fmt.Sprintf("%d requests at once in %d slots", s.end.most, slots)
	}
	if n := s.inFlight(); n != 0 {
		return fmt.Sprintf("%d slots leaked", n)
	}
	return ""
}

// Hundreds that cancel at once leave the queue and free their slots in the
// same moment, so that the next request need not wait.
func TestCancelledCallersFreeTheirSlotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(8, 1000, func() step { return step{frame: "length", delay: 100 * time.Millisecond} })
		calls := make([]call, 500)
		for i := range calls {
			calls[i] = call{method: "GET", idempotent: true, deadline: time.Minute, cancel: 50 * time.Millisecond}
		}
		calls = append(calls, call{method: "GET", idempotent: true, deadline: time.Second, at: 50*time.Millisecond + 1})
		results := s.play(calls)
		left := s.inFlight()
		s.close()
		is.Equal(results[500].outcome, caller.Answered)
		is.True(results[500].took <= 100*time.Millisecond) // did not wait for a slot
		is.Equal(left, int64(0))
	})
}

// overload runs an open loop at a share of the capacity of 8 slots with a
// mean service time of 20 ms, and returns how many callers got their answer.
func overload(t *testing.T, share float64) (good int, results []told) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(7, 7))
		s := newSite(8, 10000, func() step {
			return step{frame: "length", delay: time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))}
		})
		var calls []call
		for at := time.Duration(0); at < 20*time.Second; {
			calls = append(calls, call{method: "GET", idempotent: true, at: at, deadline: 250 * time.Millisecond})
			at += time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond) / 8 / share)
		}
		results = s.play(calls)
		s.close()
	})
	for _, o := range results {
		if o.outcome == caller.Answered {
			good++
		}
	}
	return good, results
}

// Overload costs no goodput, refusals come early, and those refused are told
// different times to come back.
func TestGoodputIsKeptUnderOverload(t *testing.T) {
	is := is.New(t)
	full, _ := overload(t, 1)
	over, results := overload(t, 1.5)
	t.Logf("answered in time: %d at 100%%, %d at 150%%", full, over)
	is.True(float64(over) >= 0.95*float64(full))
	delays := map[time.Duration]bool{}
	refused := 0
	for _, o := range results {
		if o.outcome == caller.NotRun {
			refused++
			delays[refusalOf(o).RetryAfter.Std()] = true
		}
	}
	is.True(refused > 0 && len(delays) > refused*9/10) // jittered
}

// In a full outage, retries add at most a tenth to the load.
func TestRetriesAddAtMostATenth(t *testing.T) {
	for _, at := range []point{refuseDial, skipThenCut, refuseRun, runThenCut, runThenFreeze} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			dispatches := 0
			s := newSite(1000, 10, func() step {
				dispatches++
				return step{at: at, noEcho: true}
			})
			calls := make([]call, 1000)
			for i := range calls {
				calls[i] = call{method: "POST", body: 1, idempotent: true, at: time.Duration(i) * time.Millisecond, deadline: 3 * time.Second}
			}
			s.play(calls)
			s.close()
			t.Logf("point %d: %d dispatches of %d requests", at, dispatches, len(calls))
			is.True(dispatches <= 1100)
		})
	}
}

// An endpoint that freezes within requests costs idempotent ones a retry
// elsewhere long before their deadline, and the others their deadline, at
// which they are told unknown.
func TestStuckAttemptsEndEarlyOrAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		usual := func() step { return step{frame: "length", delay: 20 * time.Millisecond} }
		ends := []*scripted{{ran: map[string]int{}, usual: usual}, {ran: map[string]int{}, usual: usual}}
		c := endpoint.NewClient(8, endpoint.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
			return ends[a[len(a)-1]-'0'].dial(ctx, n, a)
		}))
		s := &site{end: ends[0], client: c, control: newFixed(2, 8, 100, time.Now())}
		s.server = NewServer(s.control, c, hclog.NewNullLogger())
		healthyCall := call{method: "GET", idempotent: true, deadline: 5 * time.Second}
		for range 400 {
			is.Equal(s.play([]call{healthyCall})[0].outcome, caller.Answered)
		}
		ends[0].close()
		ends[0].usual = func() step { return step{at: runThenFreeze} }
		deadline := 5 * time.Second
		for i := range 20 {
			k := call{method: "POST", body: 1, idempotent: i%2 == 0, deadline: deadline}
			o := s.play([]call{k})[0]
			if k.idempotent {
				is.Equal(o.outcome, caller.Answered)
				is.True(o.took <= deadline/5) // retried
				continue
			}
			is.True(o.outcome == caller.Answered || o.outcome == caller.Unknown && o.took == deadline)
		}
		ends[1].close()
		s.close()
	})
}
