package choice

import (
	"testing"

	"github.com/matryer/is"
)

// One slow endpoint raises the tail of the fleet by at most 1.3, overload
// costs at most 5% of the goodput, and with a slow endpoint or one that fails at
// once no baseline is better.
func TestGoalsOfTheChoiceOfEndpoint(t *testing.T) {
	is := is.New(t)
	healthy, slow := Run(LatencyAware, NoFault, 0.8), Run(LatencyAware, SlowEndpoint, 0.8)
	t.Logf("at 80%%: %+v, with a slow endpoint %+v", healthy, slow)
	is.True(slow.P99 <= 1.3*healthy.P99)
	full, over := Run(LatencyAware, NoFault, 1), Run(LatencyAware, NoFault, 1.5)
	t.Logf("at 100%%: %+v, at 150%%: %+v", full, over)
	is.True(over.Goodput >= 0.95*full.Goodput)
	for _, f := range []Fault{SlowEndpoint, FailingEndpoint} {
		best := 0.0
		for _, p := range []PolicyFactory{Random, RoundRobin, LeastInFlight} {
			best = max(best, Run(p, f, 0.8).Goodput)
		}
		m := Run(LatencyAware, f, 0.8)
		t.Logf("%s at 80%%: %+v, best baseline's goodput %.3f", f, m, best)
		is.True(m.Goodput >= 0.95*best)
	}
}
