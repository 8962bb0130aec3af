package trial

import (
	"fmt"
	"testing"
	"time"
)

// The goals of the policy, over all seeds of a deployment.
const (
	goalBreaches   = 0.01
	baseBreaches   = 0.10
	goalThroughput = 0.95
	goalEvictions  = 1.0 / 3
	goalUrgent     = 4.0
)

// sums adds up the results of one policy.
type sums struct {
	breaches, work, evictions, urgent float64
}

// The policy keeps services within their targets where spreading fails, at the
// throughput of first fit and with a third of the evictions of a policy that
// evicts on each breach.
func TestPolicyMeetsItsGoals(t *testing.T) {
	for _, s := range []Scenario{KettleValley(), DarlingDowns()} {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			total := runAll(t, s, []uint64{1, 2, 3})
			got, spread, first, each := total["learned"], total["spread"], total["first-fit"], total["evict-each-breach"]
			t.Logf("learned %+v spread %+v first fit %+v evict each %+v", got, spread, first, each)
			if spread.breaches < baseBreaches {
				t.Errorf("spread breaches %.3f of intervals: the scenario is too easy", spread.breaches)
			}
			if got.breaches > goalBreaches {
				t.Errorf("breached intervals %.4f, goal %.2f", got.breaches, goalBreaches)
			}
			if got.work < goalThroughput*first.work {
				t.Errorf("work %.3f of first fit, goal %.2f", got.work/first.work, goalThroughput)
			}
			if got.evictions > goalEvictions*each.evictions {
				t.Errorf("%.0f evictions of %.0f, goal a third", got.evictions, each.evictions)
			}
			if got.urgent > goalUrgent {
				t.Errorf("an urgent job waited %.0f s, goal %.0f", got.urgent, goalUrgent)
			}
		})
	}
}

// runAll runs the compared policies on all seeds at once and sums each up.
func runAll(t *testing.T, s Scenario, seeds []uint64) map[string]sums {
	total := make(map[string]sums)
	results := make(chan Result)
	runs := 0
	for _, p := range Policies() {
		if p.Name == "no-learning" {
			continue
		}
		for _, seed := range seeds {
			runs++
			go func() { results <- Run(s, p, seed, 2*time.Hour) }()
		}
	}
	for range runs {
		r := <-results
		sum := total[r.Policy]
		sum.breaches += r.Breaches() / float64(len(seeds))
		sum.work += r.Work
		sum.evictions += float64(r.Evictions)
		sum.urgent = max(sum.urgent, r.UrgentWait)
		total[r.Policy] = sum
	}
	return total
}

// A run depends on nothing but its scenario, policy and seed.
func TestRunsRepeat(t *testing.T) {
	one := fmt.Sprintf("%+v", Run(DarlingDowns(), Policies()[0], 7, 20*time.Minute))
	for range 3 {
		if again := fmt.Sprintf("%+v", Run(DarlingDowns(), Policies()[0], 7, 20*time.Minute)); again != one {
			t.Fatalf("two runs of one seed differ:\n%s\n%s", one, again)
		}
	}
}
