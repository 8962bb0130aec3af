package delay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "queue\taccepted\ton time\tlate\tworthless\tcancelled\tfailed\trefused")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", q.Queue, q.Accepted, q.OnTime, q.Late, q.Worthless, q.Cancelled, q.Failed, q.Refused)
	}
	fmt.Fprintln(t, "\nmean time of done jobs\tto first start\tto last start\trepeated\trunning\tlate known after\tworthless known after")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", q.Queue, seconds(q.Mean.ToFirst), seconds(q.Mean.Spread), seconds(q.Mean.Repeated),
			seconds(q.Mean.Running), seconds(q.LateKnown), seconds(q.TooLateKnown))
	}
	fmt.Fprintln(t, "\nsteps\tstarted\tspread over 0.5 s\tovertaken\tinterrupted runs")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", q.Queue, q.Steps, q.Spread, q.Overtaken, counts(q.Interrupted))
	}
	fmt.Fprintln(t, "\nwaits of steps, a job")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%s\n", q.Queue, waits(q.Waits))
	}
	if free, waiting, ok := r.meanRoom(); ok {
		fmt.Fprintf(t, "\nwhile tasks waited\t%.0f%% of the processors unused\t%.0f tasks waiting\n", 100*free, waiting)
	}
	for _, q := range r.Queues {
		if len(q.Slowest) == 0 {
			continue
		}
		fmt.Fprintf(t, "\nslowest of %s\ttook\tto first start\tto last start\trepeated\trunning\twaits\n", q.Queue)
		for _, j := range q.Slowest {
			took := seconds(j.Took)
			if !j.Done {
				took += ", not done"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.Job, took, seconds(j.Parts.ToFirst), seconds(j.Parts.Spread),
				seconds(j.Parts.Repeated), seconds(j.Parts.Running), waits(j.Waits))
		}
	}
	return t.Flush()
}

// meanRoom returns the mean share of unused processors and the mean number of waiting
// tasks while tasks waited.
func (r *Report) meanRoom() (free, waiting float64, ok bool) {
	for _, s := range r.Room {
		free += s.Free
		waiting += float64(s.Waiting)
	}
	n := float64(len(r.Room))
	return free / n, waiting / n, n > 0
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

// byValue returns the keys of m, those with the largest values first.
func byValue[V cmp.Ordered](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
}

func counts(m map[string]int) string {
	var parts []string
	for _, k := range byValue(m) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

func waits(m map[string]time.Duration) string {
	var parts []string
	for _, k := range byValue(m) {
		parts = append(parts, k+" "+seconds(m[k]))
	}
	return strings.Join(parts, ", ")
}
