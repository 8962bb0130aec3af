package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"rosemarygap/core/worker"
)

// Result is what one run measured.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Services and Classes are in the scenario's order.
	Services []ServiceResult `json:"services"`
	Classes  []ClassResult   `json:"batch-classes"`
	// Work is the batch progress made, in seconds of undisturbed run time.
	WorkSeconds float64 `json:"work-seconds"`
	Finished    int     `json:"finished"`
	Evictions   int     `json:"evictions"`
	Throttles   int     `json:"throttles"`
	// UrgentWait is the longest wait of an urgent job for its start.
	MaxUrgentWaitSeconds float64 `json:"urgent-wait-seconds"`
	Score                float64 `json:"score,omitempty"`
}

// ClassResult is the progress that one run made with a batch class.
type ClassResult struct {
	Class       string  `json:"batch-class"`
	WorkSeconds float64 `json:"work-seconds"`
}

// ServiceResult is what one run measured for a service.
type ServiceResult struct {
	Service string `json:"service"`
	// Breaches is the share of intervals beyond the target.
	BreachShare float64 `json:"breached-intervals"`
	// P99 is the median of the intervals' 99th percentiles over the target,
	// Worst their largest.
	MedianP99Ratio float64 `json:"p99-over-target"`
	MaxP99Ratio    float64 `json:"worst-p99-over-target"`
}

func (r *run) finish(seed uint64, length time.Duration) Result {
	res := &r.result
	res.Scenario, res.Policy, res.Seed = r.scenario.Name, r.policy.Name, seed
	for _, q := range r.queues {
		target := q.spec.Target.Seconds()
		slices.Sort(q.p99s)
		res.Services = append(res.Services, ServiceResult{q.spec.Name,
			float64(q.breaches) / float64(q.intervals),
			percentile(q.p99s, 0.5) / target, q.p99s[len(q.p99s)-1] / target})
	}
	for _, c := range r.scenario.Classes {
		res.Classes = append(res.Classes, ClassResult{Class: c.Name})
	}
	done := make([]time.Duration, len(res.Classes))
	for _, j := range r.jobs {
		done[j.class] += j.done
	}
	for i, d := range done {
		res.Classes[i].WorkSeconds = d.Seconds()
	}
	for _, v := range r.vms {
		res.Evictions += v.stops
	}
	for _, j := range r.cell.Jobs() {
		if j.State == worker.Finished {
			res.Finished++
		}
		if !r.jobs[j.ID].urgent {
			continue
		}
		at, ok := r.started[j.ID]
		if !ok {
			at = epoch.Add(length)
		}
		res.MaxUrgentWaitSeconds = max(res.MaxUrgentWaitSeconds, at.Sub(j.Submitted).Seconds())
	}
	return *res
}

// Breaches is the largest share of breached intervals of any service.
func (r *Result) MaxBreachShare() float64 {
	worst := 0.0
	for _, s := range r.Services {
		worst = max(worst, s.BreachShare)
	}
	return worst
}

// Score ranks the results of one scenario and seed by its importance, from 0
// to 1, with throughput as a share of first fit's and evictions as a share of
// those of the policy that evicts on each breach.
func SetScores(i ScoreWeights, rs []Result) {
	base := func(policy string) *Result {
		return &rs[slices.IndexFunc(rs, func(r Result) bool { return r.Policy == policy })]
	}
	work, evictions := base("first-fit").WorkSeconds, max(1, base("evict-each-breach").Evictions)
	for n := range rs {
		r := &rs[n]
		r.Score = i.Latency*(1-r.MaxBreachShare()) + i.Throughput*min(1, r.WorkSeconds/work) +
			i.Evictions*max(0, 1-float64(r.Evictions)/float64(evictions))
	}
}

// Options are the settings of the command.
type Options struct {
	Seeds  []uint64      `arg:"--seed,separate" help:"seed of a run; may be given several times"`
	Length time.Duration `arg:"--length" default:"2h" help:"simulated time of each run"`
	Table  bool          `arg:"--table" help:"print a Markdown table before the JSON result"`
}

// All runs every scenario under every policy and writes one JSON result.
func RunAll(o Options, w io.Writer) error {
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	var all []Result
	for _, s := range []Scenario{KettleValley(), DarlingDowns()} {
		for _, seed := range o.Seeds {
			all = append(all, ComparePolicies(s, seed, o.Length)...)
		}
	}
	if o.Table {
		writeTable(w, all)
	}
	return json.NewEncoder(w).Encode(all)
}

// Compare runs every policy on one scenario and seed.
func ComparePolicies(s Scenario, seed uint64, length time.Duration) []Result {
	var rs []Result
	for _, p := range Policies() {
		rs = append(rs, Run(s, p, seed, length))
	}
	SetScores(s.ScoreWeights, rs)
	return rs
}

func writeTable(w io.Writer, rs []Result) {
	fmt.Fprintln(w, "| deployment | seed | policy | breached intervals | p99/target median, worst | work / first fit | evictions | urgent wait | score |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	work := make(map[string]float64)
	for _, r := range rs {
		if r.Policy == "first-fit" {
			work[fmt.Sprint(r.Scenario, r.Seed)] = r.WorkSeconds
		}
	}
	for _, r := range rs {
		breaches, p99 := "", ""
		for i, s := range r.Services {
			if i > 0 {
				breaches, p99 = breaches+", ", p99+"; "
			}
			breaches += fmt.Sprintf("%.1f%%", 100*s.BreachShare)
			p99 += fmt.Sprintf("%.2f, %.2f", s.MedianP99Ratio, s.MaxP99Ratio)
		}
		fmt.Fprintf(w, "| %s | %d | %s | %s | %s | %.3f | %d | %.0f s | %.3f |\n", r.Scenario, r.Seed, r.Policy,
			breaches, p99, r.WorkSeconds/work[fmt.Sprint(r.Scenario, r.Seed)], r.Evictions, r.MaxUrgentWaitSeconds, r.Score)
	}
}
