package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/golden"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and the default number of cases for the property
// tests, unless the command line overrides them.
func TestMain(m *testing.M) { golden.FixSeed(m, "3000") }

// call is one request in a test case.
type call struct {
	method     string
	idempotent bool
	bodySize   int
	startAfter time.Duration
	deadline   time.Duration
	// cancelAfter is the time until the caller cancels; 0 means never.
	cancelAfter time.Duration
}

// callResult is the response to one call. complete is false if the response was
// aborted.
type callResult struct {
	outcome  caller.Outcome
	body     string
	status   int
	complete bool
	elapsed  time.Duration
}

// paddingSizes are the lengths of the padding in response bodies. The largest
// makes the response exceed the client's buffer.
var paddingSizes = []int{0, 10, 500}

func drawStep(t *rapid.T) step {
	fault := healthy
	if rapid.Bool().Draw(t, "faulty") {
		fault = faultPoint(rapid.IntRange(0, int(numFaultPoints)-1).Draw(t, "point"))
	}
	return step{
		fault:   fault,
		offset:  rapid.IntRange(1, 320).Draw(t, "offset"),
		delay:   time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 40, 400, 3000}).Draw(t, "delay-ms")) * time.Millisecond,
		framing: rapid.SampledFrom([]string{"length", "length", "chunked", "close", "none"}).Draw(t, "frame"),
		omitID:  rapid.IntRange(0, 3).Draw(t, "no-echo") == 0,
		padding: rapid.SampledFrom(paddingSizes).Draw(t, "size"),
	}
}

func drawCall(t *rapid.T) call {
	c := call{
		method:     rapid.SampledFrom([]string{"GET", "POST", "POST", "HEAD", "DELETE"}).Draw(t, "method"),
		idempotent: rapid.Bool().Draw(t, "idempotent"),
		bodySize:   rapid.SampledFrom([]int{0, 20, 6000}).Draw(t, "body"),
		startAfter: time.Duration(rapid.IntRange(0, 50).Draw(t, "at-ms")) * time.Millisecond,
		deadline:   time.Duration(rapid.SampledFrom([]int{50, 600, 2000}).Draw(t, "deadline-ms")) * time.Millisecond,
	}
	if rapid.IntRange(0, 5).Draw(t, "cancels") == 0 {
		c.cancelAfter = time.Duration(rapid.IntRange(1, 100).Draw(t, "cancel-ms")) * time.Millisecond
	}
	return c
}

// TestOutcomesAreTrueWhereverEndpointsFail checks the guarantees to callers
// while endpoints fail at random points. The outcome is not-run only if no
// endpoint ran the request, a non-idempotent request runs at most once, and a
// response arrives by the deadline, is complete and belongs to its request.
func TestOutcomesAreTrueWhereverEndpointsFail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := [][]step{rapid.SliceOfN(rapid.Custom(drawStep), 0, 8).Draw(rt, "first"),
			rapid.SliceOfN(rapid.Custom(drawStep), 0, 8).Draw(rt, "second")}
		calls := rapid.SliceOfN(rapid.Custom(drawCall), 1, 8).Draw(rt, "calls")
		initialRetries := rapid.IntRange(0, 3).Draw(rt, "spare-retries")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = violationOf(steps, calls, initialRetries) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// violationOf sends the calls to an entry with two scripted endpoints. It
// describes the first violated guarantee, or returns "".
func violationOf(steps [][]step, calls []call, initialRetries int) string {
	endpoints := []*scriptedEndpoint{{steps: steps[0], runs: map[string]int{}}, {steps: steps[1], runs: map[string]int{}}}
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if strings.HasSuffix(to, "9000") {
			return endpoints[0].dial(ctx, network, to)
		}
		return endpoints[1].dial(ctx, network, to)
	}
	c := endpoint.NewClient(4, endpoint.WithDial(dial), endpoint.WithBufferSize(256))
	s := NewServer(newFakeControl(2, 2, 8, time.Now()), c, hclog.NewNullLogger())
	// Ten deposits make up one retry.
	for range initialRetries * 10 {
		s.admissionOf("catalogue").budget.Deposit()
	}
	results := make([]callResult, len(calls))
	done := make(chan struct{})
	for i, k := range calls {
		go func() {
			results[i] = sendCall(s.Handler(), fmt.Sprint("request-", i), k)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	time.Sleep(time.Minute)
	c.Close()
	for _, e := range endpoints {
		e.close()
	}
	synctest.Wait()
	for i, k := range calls {
		id := fmt.Sprint("request-", i)
		if violation := brokenGuarantee(k, id, results[i], endpoints[0].runs[id]+endpoints[1].runs[id]); violation != "" {
			return violation
		}
	}
	return ""
}

// sendCall sends one call and returns its result.
func sendCall(h http.Handler, id string, k call) (result callResult) {
	time.Sleep(k.startAfter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if k.cancelAfter > 0 {
		time.AfterFunc(k.cancelAfter, cancel)
	}
	r := httptest.NewRequestWithContext(ctx, k.method, "/services/catalogue/list", strings.NewReader(strings.Repeat("b", k.bodySize)))
	r.Header.Set(HeaderRequestID, id)
	r.Header.Set(HeaderIdempotent, fmt.Sprint(k.idempotent))
	r.Header.Set(HeaderDeadline, k.deadline.String())
	w := httptest.NewRecorder()
	startedAt := time.Now()
	defer func() {
		result.complete = recover() == nil
		result.elapsed = time.Since(startedAt)
		b, _ := io.ReadAll(w.Body)
		result.body, result.status = string(b), w.Code
		result.outcome = caller.Outcome(w.Header().Get(HeaderOutcome))
	}()
	h.ServeHTTP(w, r)
	return result
}

// brokenGuarantee compares the result of a call with the number of times that
// endpoints ran the request. It describes the violated guarantee, or returns "".
func brokenGuarantee(k call, id string, result callResult, runs int) string {
	details := fmt.Sprintf("%s: call %+v got %+v, ran %d times", id, k, result, runs)
	switch {
	case result.outcome != caller.Answered && result.outcome != caller.NotRun && result.outcome != caller.Unknown:
		return "response without an outcome: " + details
	case result.outcome == caller.NotRun && runs > 0:
		return "outcome not-run for a request that ran: " + details
	case !k.idempotent && runs > 1:
		return "non-idempotent request ran more than once: " + details
	case result.outcome == caller.Answered && runs == 0:
		return "outcome answered for a request that did not run: " + details
	case result.outcome == caller.Answered && result.complete && !isOwnResponse(k, id, result):
		return "incomplete response or response to another request: " + details
	case result.elapsed > k.deadline:
		return "response after the deadline: " + details
	}
	return ""
}

func isOwnResponse(k call, id string, result callResult) bool {
	if k.method == http.MethodHead || result.status == http.StatusNoContent {
		return result.body == ""
	}
	return result.status == http.StatusOK && slices.ContainsFunc(paddingSizes, func(n int) bool {
		return result.body == responseBody(id, n)
	})
}
