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

// TestMain gives the property tests a fixed seed and their usual number of
// cases, unless the command line says otherwise.
func TestMain(m *testing.M) { golden.FixSeed(m, "3000") }

// call is one request of a case.
type call struct {
	method     string
	idempotent bool
	body       int
	at         time.Duration
	deadline   time.Duration
	// cancel is when the caller goes away; 0 means never.
	cancel time.Duration
}

// told is what the caller of one request learned.
type told struct {
	outcome caller.Outcome
	body    string
	status  int
	whole   bool
	took    time.Duration
}

// sizes of answers beyond their first words; the largest exceeds the buffer.
var sizes = []int{0, 10, 500}

func drawStep(t *rapid.T) step {
	at := healthy
	if rapid.Bool().Draw(t, "faulty") {
		at = point(rapid.IntRange(0, int(numPoints)-1).Draw(t, "point"))
	}
	return step{
		at:     at,
		offset: rapid.IntRange(1, 320).Draw(t, "offset"),
		delay:  time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 40, 400, 3000}).Draw(t, "delay-ms")) * time.Millisecond,
		frame:  rapid.SampledFrom([]string{"length", "length", "chunked", "close", "none"}).Draw(t, "frame"),
		noEcho: rapid.IntRange(0, 3).Draw(t, "no-echo") == 0,
		size:   rapid.SampledFrom(sizes).Draw(t, "size"),
	}
}

func drawCall(t *rapid.T) call {
	c := call{
		method:     rapid.SampledFrom([]string{"GET", "POST", "POST", "HEAD", "DELETE"}).Draw(t, "method"),
		idempotent: rapid.Bool().Draw(t, "idempotent"),
		body:       rapid.SampledFrom([]int{0, 20, 6000}).Draw(t, "body"),
		at:         time.Duration(rapid.IntRange(0, 50).Draw(t, "at-ms")) * time.Millisecond,
		deadline:   time.Duration(rapid.SampledFrom([]int{50, 600, 2000}).Draw(t, "deadline-ms")) * time.Millisecond,
	}
	if rapid.IntRange(0, 5).Draw(t, "cancels") == 0 {
		c.cancel = time.Duration(rapid.IntRange(1, 100).Draw(t, "cancel-ms")) * time.Millisecond
	}
	return c
}

// Whatever an endpoint does at whatever point, callers are told the truth:
// not-run only if no endpoint ran the request, non-idempotent requests run at
// most once, an answer is whole and the request's own, and it comes by the
// deadline.
func TestOutcomesAreTrueWhereverEndpointsFail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := [][]step{rapid.SliceOfN(rapid.Custom(drawStep), 0, 8).Draw(rt, "first"),
			rapid.SliceOfN(rapid.Custom(drawStep), 0, 8).Draw(rt, "second")}
		calls := rapid.SliceOfN(rapid.Custom(drawCall), 1, 8).Draw(rt, "calls")
		spare := rapid.IntRange(0, 3).Draw(rt, "spare-retries")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = runCase(steps, calls, spare) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// runCase plays the calls against two scripted endpoints and returns the
// first promise that was broken, or "".
func runCase(steps [][]step, calls []call, spare int) string {
	ends := []*scripted{{steps: steps[0], ran: map[string]int{}}, {steps: steps[1], ran: map[string]int{}}}
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if strings.HasSuffix(to, "9000") {
			return ends[0].dial(ctx, network, to)
		}
		return ends[1].dial(ctx, network, to)
	}
	c := endpoint.NewClient(4, endpoint.WithDial(dial), endpoint.WithBufferSize(256))
	s := NewServer(newFixed(2, 2, 8, time.Now()), c, hclog.NewNullLogger())
	for range spare * 10 {
		s.gate("catalogue").budget.Deposit()
	}
	results := make([]told, len(calls))
	done := make(chan struct{})
	for i, k := range calls {
		go func() {
			results[i] = perform(s.Handler(), fmt.Sprint("request-", i), k)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	time.Sleep(time.Minute)
	c.Close()
	for _, e := range ends {
		e.close()
	}
	synctest.Wait()
	for i, k := range calls {
		id := fmt.Sprint("request-", i)
		if fault := broken(k, id, results[i], ends[0].ran[id]+ends[1].ran[id]); fault != "" {
			return fault
		}
	}
	return ""
}

// perform sends one call and returns what its caller was told.
func perform(h http.Handler, id string, k call) (o told) {
	time.Sleep(k.at)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if k.cancel > 0 {
		time.AfterFunc(k.cancel, cancel)
	}
	r := httptest.NewRequestWithContext(ctx, k.method, "/services/catalogue/list", strings.NewReader(strings.Repeat("b", k.body)))
	r.Header.Set(HeaderRequestID, id)
	r.Header.Set(HeaderIdempotent, fmt.Sprint(k.idempotent))
	r.Header.Set(HeaderDeadline, k.deadline.String())
	w := httptest.NewRecorder()
	began := time.Now()
	defer func() {
		o.whole = recover() == nil
		o.took = time.Since(began)
		b, _ := io.ReadAll(w.Body)
		o.body, o.status = string(b), w.Code
		o.outcome = caller.Outcome(w.Header().Get(HeaderOutcome))
	}()
	h.ServeHTTP(w, r)
	return o
}

// broken compares what a caller was told with how often endpoints ran the
// request, and returns the broken promise or "".
func broken(k call, id string, o told, ran int) string {
	what := fmt.Sprintf("%s: %+v told %+v, ran %d times", id, k, o, ran)
	switch {
	case o.outcome != caller.Answered && o.outcome != caller.NotRun && o.outcome != caller.Unknown:
		return "no outcome: " + what
	case o.outcome == caller.NotRun && ran > 0:
		return "false not-run: " + what
	case !k.idempotent && ran > 1:
		return "double run: " + what
	case o.outcome == caller.Answered && ran == 0:
		return "answered and never run: " + what
	case o.outcome == caller.Answered && o.whole && !ownAnswer(k, id, o):
		return "not the whole own answer: " + what
	case o.took > k.deadline:
		return "later than the deadline: " + what
	}
	return ""
}

func ownAnswer(k call, id string, o told) bool {
	if k.method == http.MethodHead || o.status == http.StatusNoContent {
		return o.body == ""
	}
	return o.status == http.StatusOK && slices.ContainsFunc(sizes, func(n int) bool {
		return o.body == content(id, n)
	})
}
