package trial

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// The goals of the policy, on average over the seeds of a deployment.
const (
	goalBreaches   = 0.01
	baseBreaches   = 0.10
	goalThroughput = 0.95
	goalEvictions  = 1.0 / 3
	goalUrgent     = 4.0
)

// average is what one policy reached per run.
type average struct {
	runs, breaches, work, evictions, urgent float64
}

// goalSeeds are the seeds of the compared policies. Those by which only the
// scenario's difficulty and the evictions are judged run on the first one.
var goalSeeds = map[string][]uint64{
	"learned":           {1, 2, 3, 4, 5, 6},
	"first-fit":         {1, 2, 3, 4, 5, 6},
	"spread":            {1},
	"evict-each-breach": {1},
}

// The policy keeps services within their targets where spreading fails, at the
// throughput of first fit and with a third of the evictions of a policy that
// evicts on each breach.
func TestPolicyMeetsItsGoals(t *testing.T) {
	for _, s := range []Scenario{KettleValley(), DarlingDowns()} {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			total := runAll(s)
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

// runAll runs the compared policies at once and averages the results of each.
func runAll(s Scenario) map[string]average {
	results := make(chan Result)
	runs := 0
	for _, p := range Policies() {
		for _, seed := range goalSeeds[p.Name] {
			runs++
			go func() { results <- Run(s, p, seed, 2*time.Hour) }()
		}
	}
	total := make(map[string]average)
	for range runs {
		r := <-results
		a := total[r.Policy]
		n := a.runs + 1
		a.breaches += (r.MaxBreachShare() - a.breaches) / n
		a.work += (r.WorkSeconds - a.work) / n
		a.evictions += (float64(r.Evictions) - a.evictions) / n
		a.urgent = max(a.urgent, r.MaxUrgentWaitSeconds)
		a.runs = n
		total[r.Policy] = a
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

// Every policy gets the same jobs on one seed.
func TestPoliciesGetTheSameJobs(t *testing.T) {
	jobs := func(p Policy) map[string]time.Duration {
		s, totals := KettleValley(), make(map[string]time.Duration)
		r := newRun(&s, p, 1)
		for at := time.Duration(0); at < 20*time.Minute; at += step {
			r.tick(at)
		}
		for id, j := range r.jobs {
			totals[id] = j.total
		}
		return totals
	}
	want := jobs(Policies()[0])
	for _, p := range Policies()[1:] {
		if !maps.Equal(want, jobs(p)) {
			t.Errorf("%s got other jobs than %s", p.Name, Policies()[0].Name)
		}
	}
}
