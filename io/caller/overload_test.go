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

// testEntry is an entry's server with one scripted endpoint.
type testEntry struct {
	endpoint *scriptedEndpoint
	client   *endpoint.Client
	server   *Server
	control  *fakeControl
}

func newTestEntry(slots, queueLimit int, defaultStep func() step) *testEntry {
	e := &scriptedEndpoint{runs: map[string]int{}, defaultStep: defaultStep}
	c := endpoint.NewClient(0, endpoint.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
		return e.dial(ctx, n, a)
	}))
	control := newFakeControl(1, slots, queueLimit, time.Now())
	return &testEntry{e, c, NewServer(control, c, hclog.NewNullLogger()), control}
}

// close stops the entry and its endpoint after the longest request has ended.
func (s *testEntry) close() {
	time.Sleep(time.Minute)
	s.client.Close()
	s.endpoint.close()
	synctest.Wait()
}

// sendAll sends all calls concurrently and returns their results.
func (s *testEntry) sendAll(calls []call) []callResult {
	results := make([]callResult, len(calls))
	done := make(chan struct{})
	for i, k := range calls {
		go func() {
			results[i] = sendCall(s.server.Handler(), fmt.Sprint("request-", i), k)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	return results
}

func (s *testEntry) inFlight() int64 {
	return s.control.snap.Endpoints.Candidates("catalogue")[0].Load.InFlight()
}

func errorResponseOf(result callResult) (r ErrorResponse) {
	_ = json.Unmarshal([]byte(result.body), &r)
	return r
}

// TestQueueNeverHoldsARequestToItsDeadline checks that a queued request is
// either dispatched, or rejected before its deadline so that its caller can
// still go elsewhere, and that slots are neither exceeded nor leaked.
func TestQueueNeverHoldsARequestToItsDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		queueLimit := rapid.IntRange(1, 30).Draw(rt, "queue-limit")
		serviceTime := time.Duration(rapid.IntRange(1, 200).Draw(rt, "service-ms")) * time.Millisecond
		freezeAfter := rapid.IntRange(0, 40).Draw(rt, "freeze-after")
		calls := rapid.SliceOfN(rapid.Custom(drawQueuedCall), 1, 40).Draw(rt, "calls")
		var violation string
		synctest.Test(t, func(*testing.T) {
			n := 0
			s := newTestEntry(slots, queueLimit, func() step {
				if n++; n > freezeAfter {
					return step{fault: runThenFreeze}
				}
				return step{framing: "length", delay: serviceTime}
			})
			results := s.sendAll(calls)
			violation = queueViolation(s, calls, results, slots)
			s.close()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func drawQueuedCall(t *rapid.T) call {
	c := call{method: "GET", idempotent: true,
		startAfter: time.Duration(rapid.IntRange(0, 300).Draw(t, "at-ms")) * time.Millisecond,
		deadline:   time.Duration(rapid.IntRange(300, 3000).Draw(t, "deadline-ms")) * time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "cancels") == 0 {
		c.cancelAfter = time.Duration(rapid.IntRange(1, 250).Draw(t, "cancel-ms")) * time.Millisecond
	}
	return c
}

// Minimum time between the rejection of a queued request and its deadline, and
// the bounds of the retry delay in the response.
const (
	minRefusalLead = time.Millisecond
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 45 * time.Second
)

func queueViolation(s *testEntry, calls []call, results []callResult, slots int) string {
	for i, result := range results {
		response := errorResponseOf(result)
		retryAfter := response.RetryAfter.Std()
		switch {
		case result.outcome != caller.NotRun || calls[i].cancelAfter > 0:
			continue
		case calls[i].deadline-result.elapsed < minRefusalLead:
			return fmt.Sprintf("queued until its deadline: call %+v got %+v", calls[i], result)
		case response.Code != status.ErrQueueFull.Code():
			return fmt.Sprintf("rejected with another code: call %+v got %+v", calls[i], result)
		case retryAfter < minRetryAfter || retryAfter > maxRetryAfter:
			return fmt.Sprintf("retry-after out of bounds: %+v", result)
		}
	}
	// An endpoint continues a request that its caller cancelled or its entry
	// stopped waiting for.
	hasUnknownOutcome := slices.ContainsFunc(results, func(result callResult) bool { return result.outcome == caller.Unknown })
	if s.endpoint.maxInProgress > slots && !hasUnknownOutcome {
		return fmt.Sprintf("%d concurrent requests in %d slots", s.endpoint.maxInProgress, slots)
	}
	if n := s.inFlight(); n != 0 {
		return fmt.Sprintf("%d slots leaked", n)
	}
	return ""
}

// TestCancelledCallersFreeTheirSlotsAtOnce checks that 500 callers that cancel
// at the same time leave the queue and free their slots at once, so that the
// next request does not wait.
func TestCancelledCallersFreeTheirSlotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEntry(8, 1000, func() step { return step{framing: "length", delay: 100 * time.Millisecond} })
		calls := make([]call, 500)
		for i := range calls {
			calls[i] = call{method: "GET", idempotent: true, deadline: time.Minute, cancelAfter: 50 * time.Millisecond}
		}
		calls = append(calls, call{method: "GET", idempotent: true, deadline: time.Second, startAfter: 50*time.Millisecond + 1})
		results := s.sendAll(calls)
		slotsInUse := s.inFlight()
		s.close()
		is.Equal(results[500].outcome, caller.Answered)
		is.True(results[500].elapsed <= 100*time.Millisecond) // did not wait for a slot
		is.Equal(slotsInUse, int64(0))
	})
}

// runAtLoad sends requests in an open loop to 8 slots with a mean service time of
// 20 ms. loadFactor is the arrival rate relative to the capacity. It returns the
// number of requests that were answered in time, and all results.
func runAtLoad(t *testing.T, loadFactor float64) (answered int, results []callResult) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(7, 7))
		s := newTestEntry(8, 10000, func() step {
			return step{framing: "length", delay: time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))}
		})
		var calls []call
		for arrival := time.Duration(0); arrival < 20*time.Second; {
			calls = append(calls, call{method: "GET", idempotent: true, startAfter: arrival, deadline: 250 * time.Millisecond})
			arrival += time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond) / 8 / loadFactor)
		}
		results = s.sendAll(calls)
		s.close()
	})
	for _, o := range results {
		if o.outcome == caller.Answered {
			answered++
		}
	}
	return answered, results
}

// TestGoodputIsKeptUnderOverload checks that overload does not reduce goodput,
// that excess requests are rejected, and that their retry delays are spread
// out.
func TestGoodputIsKeptUnderOverload(t *testing.T) {
	is := is.New(t)
	answeredAtCapacity, _ := runAtLoad(t, 1)
	answeredOverloaded, results := runAtLoad(t, 1.5)
	t.Logf("answered in time: %d at 100%%, %d at 150%%", answeredAtCapacity, answeredOverloaded)
	is.True(float64(answeredOverloaded) >= 0.95*float64(answeredAtCapacity))
	delays := map[time.Duration]bool{}
	refused := 0
	for _, o := range results {
		if o.outcome == caller.NotRun {
			refused++
			delays[errorResponseOf(o).RetryAfter.Std()] = true
		}
	}
	is.True(refused > 0 && len(delays) > refused*9/10) // retry delays have jitter
}

// TestRetriesAddAtMostATenth checks that retries add at most a tenth to the
// load while every request fails.
func TestRetriesAddAtMostATenth(t *testing.T) {
	for _, fault := range []faultPoint{refuseDial, closeBeforeRun, refuseRun, runThenClose, runThenFreeze} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			dispatches := 0
			s := newTestEntry(1000, 10, func() step {
				dispatches++
				return step{fault: fault, omitID: true}
			})
			calls := make([]call, 1000)
			for i := range calls {
				calls[i] = call{method: "POST", bodySize: 1, idempotent: true, startAfter: time.Duration(i) * time.Millisecond, deadline: 3 * time.Second}
			}
			s.sendAll(calls)
			s.close()
			t.Logf("fault point %d: %d dispatches of %d requests", fault, dispatches, len(calls))
			is.True(dispatches <= 1100)
		})
	}
}

// TestStuckAttemptsEndEarlyOrAtTheDeadline checks the requests to an endpoint
// that freezes while it runs them. Idempotent requests are retried at another
// endpoint long before their deadline. The others end at their deadline with
// the outcome unknown.
func TestStuckAttemptsEndEarlyOrAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defaultStep := func() step { return step{framing: "length", delay: 20 * time.Millisecond} }
		endpoints := []*scriptedEndpoint{{runs: map[string]int{}, defaultStep: defaultStep}, {runs: map[string]int{}, defaultStep: defaultStep}}
		c := endpoint.NewClient(8, endpoint.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
			return endpoints[a[len(a)-1]-'0'].dial(ctx, n, a)
		}))
		s := &testEntry{endpoint: endpoints[0], client: c, control: newFakeControl(2, 8, 100, time.Now())}
		s.server = NewServer(s.control, c, hclog.NewNullLogger())
		healthyCall := call{method: "GET", idempotent: true, deadline: 5 * time.Second}
		for range 400 {
			is.Equal(s.sendAll([]call{healthyCall})[0].outcome, caller.Answered)
		}
		endpoints[0].close()
		endpoints[0].defaultStep = func() step { return step{fault: runThenFreeze} }
		deadline := 5 * time.Second
		for i := range 20 {
			k := call{method: "POST", bodySize: 1, idempotent: i%2 == 0, deadline: deadline}
			result := s.sendAll([]call{k})[0]
			if k.idempotent {
				is.Equal(result.outcome, caller.Answered)
				is.True(result.elapsed <= deadline/5) // retried
				continue
			}
			is.True(result.outcome == caller.Answered || result.outcome == caller.Unknown && result.elapsed == deadline)
		}
		endpoints[1].close()
		s.close()
	})
}
