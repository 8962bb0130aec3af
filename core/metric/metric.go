// Package metric is the catalogue of all metrics: the page for operators is
// generated from it, and a test compares it with the code.
package metric

import (
	"fmt"
	"strings"
)

// Metric describes one metric.
type Metric struct {
	// Name ends in its unit, or in _total for a counter.
	Name   string
	Labels []string
	// Meaning is one line for operators, in Markdown.
	Meaning string
}

// Entry returns the metrics of the product's own entries.
func EntryMetrics() []Metric { return entry }

// Platform returns the metrics of the processes on the users' platform.
func PlatformMetrics() []Metric { return platform }

// Page returns the catalogue as the Markdown page docs/METRICS.md.
func Page() []byte {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("`GET /metrics` of an entry's admin address gives these in the Prometheus text format, and the\n")
	b.WriteString("standard ones of the Go runtime and the process. This page is generated from the catalogue by\n")
	b.WriteString("`make generate`; a test compares it with the code.\n\n")
	writeTable(&b, entry)
	b.WriteString("\nOn the users' platform each process serves its metrics at port 9464, `/metrics`; deploy/system.toml\n")
	b.WriteString("names the port.\n\n")
	writeTable(&b, platform)
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
