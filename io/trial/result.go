package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"rosemarygap/core/worker"
)

// Result contains the measurements of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Services and Classes are in the scenario's order.
	Services []ServiceResult `json:"services"`
	Classes  []ClassResult   `json:"batch-classes"`
	// WorkSeconds is the progress of all batch jobs, in seconds of run time at
	// full speed.
	WorkSeconds float64 `json:"work-seconds"`
	// Finished counts the finished jobs, Evictions the running tasks that were
	// stopped, and Throttles the changes of throttles, including removals.
	Finished  int `json:"finished"`
	Evictions int `json:"evictions"`
	Throttles int `json:"throttles"`
	// MaxUrgentWaitSeconds is the longest time from the submission of an urgent
	// job to its first start, or to the end of the run if it never started.
	MaxUrgentWaitSeconds float64 `json:"urgent-wait-seconds"`
	// Score is from 0 to 1, see SetScores.
	Score float64 `json:"score,omitempty"`
}

// ClassResult is the progress of the jobs of one batch class in a run.
type ClassResult struct {
	Class       string  `json:"batch-class"`
	WorkSeconds float64 `json:"work-seconds"`
}

// ServiceResult contains the measurements of one service in a run.
type ServiceResult struct {
	Service string `json:"service"`
	// BreachShare is the fraction of report intervals in which the 99th
	// percentile of the latencies exceeded the target.
	BreachShare float64 `json:"breached-intervals"`
	// MedianP99Ratio is the median over all report intervals of the ratio of the
	// 99th percentile to the target. MaxP99Ratio is the maximum.
	MedianP99Ratio float64 `json:"p99-over-target"`
	MaxP99Ratio    float64 `json:"worst-p99-over-target"`
}

func (r *simulation) summarize(seed uint64, duration time.Duration) Result {
	res := &r.result
	res.Scenario, res.Policy, res.Seed = r.scenario.Name, r.policy.Name, seed
	for _, s := range r.services {
		target := s.spec.Target.Seconds()
		slices.Sort(s.p99s)
		res.Services = append(res.Services, ServiceResult{s.spec.Name,
			float64(s.breaches) / float64(s.intervals),
			percentile(s.p99s, 0.5) / target, s.p99s[len(s.p99s)-1] / target})
	}
	for _, c := range r.scenario.Classes {
		res.Classes = append(res.Classes, ClassResult{Class: c.Name})
	}
	done := make([]time.Duration, len(res.Classes))
	for _, j := range r.jobs {
		done[j.class] += j.progress
	}
	for i, d := range done {
		res.Classes[i].WorkSeconds = d.Seconds()
	}
	for _, v := range r.vms {
		res.Evictions += v.evictions
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
			at = simulationStart.Add(duration)
		}
		res.MaxUrgentWaitSeconds = max(res.MaxUrgentWaitSeconds, at.Sub(j.Submitted).Seconds())
	}
	return *res
}

// MaxBreachShare returns the largest BreachShare of any service.
func (r *Result) MaxBreachShare() float64 {
	maxShare := 0.0
	for _, s := range r.Services {
		maxShare = max(maxShare, s.BreachShare)
	}
	return maxShare
}

// SetScores sets the score, from 0 to 1, of the results of one scenario and seed. The
// latency part is the fraction of report intervals without a breach, for the service
// with the most breaches. Throughput is relative to that of the first-fit policy, and
// evictions are relative to those of the evict-each-breach policy.
func SetScores(weights ScoreWeights, rs []Result) {
	base := func(policy string) *Result {
		return &rs[slices.IndexFunc(rs, func(r Result) bool { return r.Policy == policy })]
	}
	work, evictions := base("first-fit").WorkSeconds, max(1, base("evict-each-breach").Evictions)
	for n := range rs {
		r := &rs[n]
		r.Score = weights.Latency*(1-r.MaxBreachShare()) + weights.Throughput*min(1, r.WorkSeconds/work) +
			weights.Evictions*max(0, 1-float64(r.Evictions)/float64(evictions))
	}
}

// Options are the command-line options of rosemarygap-trial.
type Options struct {
	Seeds  []uint64      `arg:"--seed,separate" help:"seed of a run; may be repeated"`
	Length time.Duration `arg:"--length" default:"2h" help:"simulated time of each run"`
	Table  bool          `arg:"--table" help:"print a Markdown table before the JSON result"`
}

// RunAll runs every scenario under every policy and writes the results to w as one
// JSON array.
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

// ComparePolicies runs every policy on one scenario and seed and returns the
// scored results.
func ComparePolicies(s Scenario, seed uint64, duration time.Duration) []Result {
	var rs []Result
	for _, p := range Policies() {
		rs = append(rs, Run(s, p, seed, duration))
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
