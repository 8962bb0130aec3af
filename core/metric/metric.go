// Package metric defines the catalogue of all metrics. The metrics page for
// operators is generated from it, and a test compares the page with the code.
package metric

import (
	"fmt"
	"slices"
	"strings"
)

// Metric describes one metric.
type Metric struct {
	// Name ends in the unit of the metric, or in _total for a counter.
	Name   string
	Labels []string
	// Meaning is one line for operators, in Markdown.
	Meaning string
}

// EntryMetrics returns the metrics of the entry process.
func EntryMetrics() []Metric { return append(slices.Clone(entryMetrics), clientMetrics...) }

// PlatformMetrics returns the metrics of the processes on the users' platform.
func PlatformMetrics() []Metric { return append(slices.Clone(platformMetrics), clientMetrics...) }

// Page returns the Markdown page docs/METRICS.md, which lists all metrics.
func Page() []byte {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("`GET /metrics` at an entry's admin address returns these in the Prometheus text format, and the\n")
	b.WriteString("standard ones of the Go runtime and the process. This page is generated from the catalogue by\n")
	b.WriteString("`make generate`; a test compares it with the code.\n\n")
	writeTable(&b, EntryMetrics())
	b.WriteString("\nOn the users' platform each process serves its metrics on port 9464 at `/metrics`; deploy/system.toml\n")
	b.WriteString("sets the port.\n\n")
	writeTable(&b, PlatformMetrics())
	return []byte(b.String())
}

func writeTable(b *strings.Builder, ms []Metric) {
	b.WriteString("| metric | labels | meaning |\n| --- | --- | --- |\n")
	for _, m := range ms {
		labels := ""
		if len(m.Labels) > 0 {
			labels = "`" + strings.Join(m.Labels, "`, `") + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", m.Name, labels, m.Meaning)
	}
}
