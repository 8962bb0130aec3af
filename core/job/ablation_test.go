package job

import (
	"flag"
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
)

// ablationSeeds is the number of seeds of TestAblation, or 0 for a short run.
var ablationSeeds = flag.Int("ablation-seeds", 0, "number of seeds for which TestAblation simulates all workloads; 0 simulates one with two seeds")

// mechanisms are the mechanisms of the default policy that TestAblation switches off one at a
// time.
var mechanisms = []simPolicy{
	{name: "order by timeliness and priority", options: []Option{WithArrivalOrder()}},
	{name: "order by density", options: []Option{WithDeadlines()}},
	{name: "learning", options: []Option{WithoutLearning()}},
	{name: "reservations", options: []Option{WithoutReservations()}},
	{name: "load forecast", options: []Option{WithoutLoadForecast()}},
	{name: "moves of throttled tasks", options: []Option{WithoutMoves()}},
	{name: "cold workers", hidesCold: true},
	{name: "expected end off the rack", hidesFactor: true},
}

// TestAblation prints what each mechanism is worth on each workload: the difference of the
// value that all jobs and serving tasks earn with and without it, as a share of what is possible,
// with the standard error over the seeds. make ablation runs it on all workloads.
func TestAblation(t *testing.T) {
	pattern, seeds := "testdata/load/slow-workers.json", 2
	if *ablationSeeds > 0 {
		pattern, seeds = "testdata/load/*.json", *ablationSeeds
	}
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no workloads for %s: %v", pattern, err)
	}
	var table strings.Builder
	w := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "workload\tvalue")
	for _, m := range mechanisms {
		fmt.Fprintf(w, "\t%s", m.name)
	}
	fmt.Fprintln(w)
	for _, file := range files {
		load := readWorkload(t, file)
		values := simulateAll(t, load, seeds)
		fmt.Fprintf(w, "%s\t%.3f", strings.TrimSuffix(filepath.Base(file), ".json"), mean(values[0]))
		for _, without := range values[1:] {
			fmt.Fprintf(w, "\t%s", difference(values[0], without))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	t.Log("\n" + table.String())
}

// simulateAll returns the values that the workload earns with the default policy and without
// each mechanism, by seed.
func simulateAll(t *testing.T, load *workload, seeds int) [][]float64 {
	policies := append([]simPolicy{{name: "product"}}, mechanisms...)
	out := make([][]float64, len(policies))
	var wg sync.WaitGroup
	for i, p := range policies {
		out[i] = make([]float64, seeds)
		wg.Go(func() {
			for n := range seeds {
				s := newSim(t, load, uint64(n+1), p)
				s.run()
				for _, r := range s.result(byQueue) {
					out[i][n] += r.valueShare
				}
				out[i][n] /= float64(len(s.result(byQueue)))
			}
		})
	}
	wg.Wait()
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// difference returns the mean of the paired differences with its standard error.
func difference(with, without []float64) string {
	d := make([]float64, len(with))
	for i := range d {
		d[i] = with[i] - without[i]
	}
	m, squares, n := mean(d), 0.0, float64(len(d))
	for _, x := range d {
		squares += (x - m) * (x - m)
	}
	if n < 2 {
		return fmt.Sprintf("%+.3f", m)
	}
	return fmt.Sprintf("%+.3f±%.3f", m, math.Sqrt(squares/(n-1)/n))
}
