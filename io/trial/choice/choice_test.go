package choice

import (
	"testing"

	"github.com/matryer/is"
)

// TestEndpointSelectionMeetsGoals checks that one slow endpoint raises the 99th
// percentile of the latencies of urgent requests by a factor of at most 1.3, that
// overload reduces the goodput by at most 5%, and that the goodput with a slow
// endpoint, or with one that fails immediately, is at least 95% of that of the best
// baseline.
func TestEndpointSelectionMeetsGoals(t *testing.T) {
	is := is.New(t)
	healthy, slow := Run(LatencyAware, NoFault, 0.8), Run(LatencyAware, SlowEndpoint, 0.8)
	t.Logf("load 80%%: %+v, with a slow endpoint: %+v", healthy, slow)
	is.True(slow.P99 <= 1.3*healthy.P99)
	full, overloaded := Run(LatencyAware, NoFault, 1), Run(LatencyAware, NoFault, 1.5)
	t.Logf("load 100%%: %+v, load 150%%: %+v", full, overloaded)
	is.True(overloaded.Goodput >= 0.95*full.Goodput)
	for _, f := range []Fault{SlowEndpoint, FailingEndpoint} {
		bestBaseline := 0.0
		for _, p := range []PolicyFactory{Random, RoundRobin, LeastInFlight} {
			bestBaseline = max(bestBaseline, Run(p, f, 0.8).Goodput)
		}
		result := Run(LatencyAware, f, 0.8)
		t.Logf("%s, load 80%%: %+v, goodput of the best baseline: %.3f", f, result, bestBaseline)
		is.True(result.Goodput >= 0.95*bestBaseline)
	}
}
