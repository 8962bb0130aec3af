package trial

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// Goals of the production policy, whose name is "learned". Shares are fractions of
// the report intervals, and ratios are relative to a baseline policy. All but
// maxUrgentWaitSeconds apply to averages over the seeds of a scenario.
// minSpreadBreachShare applies to the spread policy and checks that the scenario is
// hard enough.
const (
	maxBreachShare       = 0.01
	minSpreadBreachShare = 0.10
	minWorkRatio         = 0.95
	maxEvictionRatio     = 1.0 / 3
	maxUrgentWaitSeconds = 4.0
)

// averageResult contains the averages over all runs of one policy, except for
// maxUrgentWait, which is the maximum in seconds.
type averageResult struct {
	runs, breachShare, workSeconds, evictions, maxUrgentWait float64
}

// policySeeds are the seeds of each compared policy. spread, which only shows that
// the scenario is hard enough, and evict-each-breach, which only gives the number of
// evictions to compare with, run on the first seed.
var policySeeds = map[string][]uint64{
	"learned":           {1, 2, 3, 4, 5, 6},
	"first-fit":         {1, 2, 3, 4, 5, 6},
	"spread":            {1},
	"evict-each-breach": {1},
}

// TestPolicyMeetsItsGoals checks that the learned policy keeps services within their
// targets where the spread policy does not, with at least 95% of the throughput of
// first fit and at most a third of the evictions of a policy that evicts on each
// breach.
func TestPolicyMeetsItsGoals(t *testing.T) {
	for _, s := range []Scenario{KettleValley(), DarlingDowns()} {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			averages := runAll(s)
			learned, spread, firstFit, onBreach := averages["learned"], averages["spread"], averages["first-fit"], averages["evict-each-breach"]
			t.Logf("learned %+v spread %+v first-fit %+v evict-each-breach %+v", learned, spread, firstFit, onBreach)
			if spread.breachShare < minSpreadBreachShare {
				t.Errorf("spread: %.3f of intervals breached: the scenario is too easy", spread.breachShare)
			}
			if learned.breachShare > maxBreachShare {
				t.Errorf("%.4f of intervals breached, want at most %.2f", learned.breachShare, maxBreachShare)
			}
			if learned.workSeconds < minWorkRatio*firstFit.workSeconds {
				t.Errorf("work is %.3f of first fit, want at least %.2f", learned.workSeconds/firstFit.workSeconds, minWorkRatio)
			}
			if learned.evictions > maxEvictionRatio*onBreach.evictions {
				t.Errorf("%.0f evictions, want at most a third of %.0f", learned.evictions, onBreach.evictions)
			}
			if learned.maxUrgentWait > maxUrgentWaitSeconds {
				t.Errorf("an urgent job waited %.0f s, want at most %.0f", learned.maxUrgentWait, maxUrgentWaitSeconds)
			}
		})
	}
}

// runAll runs the compared policies concurrently and averages the results of
// each.
func runAll(s Scenario) map[string]averageResult {
	results := make(chan Result)
	runs := 0
	for _, p := range Policies() {
		for _, seed := range policySeeds[p.Name] {
			runs++
			go func() { results <- Run(s, p, seed, 2*time.Hour) }()
		}
	}
	averages := make(map[string]averageResult)
	for range runs {
		r := <-results
		a := averages[r.Policy]
		n := a.runs + 1
		a.breachShare += (r.MaxBreachShare() - a.breachShare) / n
		a.workSeconds += (r.WorkSeconds - a.workSeconds) / n
		a.evictions += (float64(r.Evictions) - a.evictions) / n
		a.maxUrgentWait = max(a.maxUrgentWait, r.MaxUrgentWaitSeconds)
		a.runs = n
		averages[r.Policy] = a
	}
	return averages
}

// TestRunIsDeterministic checks that runs with the same scenario, policy and seed
// give the same result.
func TestRunIsDeterministic(t *testing.T) {
	first := fmt.Sprintf("%+v", Run(DarlingDowns(), Policies()[0], 7, 20*time.Minute))
	for range 3 {
		if again := fmt.Sprintf("%+v", Run(DarlingDowns(), Policies()[0], 7, 20*time.Minute)); again != first {
			t.Fatalf("two runs with the same seed differ:\n%s\n%s", first, again)
		}
	}
}

// TestPoliciesReceiveSameJobs checks that every policy gets the same jobs with the
// same seed.
func TestPoliciesReceiveSameJobs(t *testing.T) {
	jobs := func(p Policy) map[string]time.Duration {
		s, runTimes := KettleValley(), make(map[string]time.Duration)
		r := newSimulation(&s, p, 1)
		for at := time.Duration(0); at < 20*time.Minute; at += tickLength {
			r.tick(at)
		}
		for id, j := range r.jobs {
			runTimes[id] = j.runTime
		}
		return runTimes
	}
	want := jobs(Policies()[0])
	for _, p := range Policies()[1:] {
		if !maps.Equal(want, jobs(p)) {
			t.Errorf("%s got different jobs than %s", p.Name, Policies()[0].Name)
		}
	}
}
