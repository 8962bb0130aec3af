package load

import (
	"time"

	"rosemarygap/core/caller"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassResult is the result of one class.
type ClassResult struct {
	Class string `json:"class"`
	Result
}

// Result sums a run up; times are in milliseconds.
type Result struct {
	Requests     int     `json:"requests"`
	ValidAnswers int     `json:"whole-answers"`
	WrongAnswers int     `json:"wrong-answers"`
	NotRun       int     `json:"not-run"`
	Unknown      int     `json:"unknown"`
	NoAnswer     int     `json:"no-answer"`
	P50          float64 `json:"p50-ms"`
	P99          float64 `json:"p99-ms"`
	P999         float64 `json:"p999-ms"`
	Max          float64 `json:"max-ms"`
}

// Bounds of the histogram, in microseconds, and its precision.
const (
	lowest      = 1
	highest     = 600_000_000
	significant = 3
)

// Summarize returns the result of a run. Latency counts whole answers only.
func Summarize(os []Observation) Result {
	h := hdrhistogram.New(lowest, highest, significant)
	r := Result{Requests: len(os)}
	for _, o := range os {
		r.count(o)
		if o.Valid {
			_ = h.RecordValue(max(lowest, o.Latency.Microseconds()))
		}
	}
	r.P50 = milliseconds(h.ValueAtQuantile(50))
	r.P99 = milliseconds(h.ValueAtQuantile(99))
	r.P999 = milliseconds(h.ValueAtQuantile(99.9))
	r.Max = milliseconds(h.Max())
	return r
}

// SummarizeClasses returns the result of each class, in order of first use.
func SummarizeClasses(os []Observation) []ClassResult {
	byClass := make(map[string][]Observation)
	var names []string
	for _, o := range os {
		if byClass[o.Class] == nil {
			names = append(names, o.Class)
		}
		byClass[o.Class] = append(byClass[o.Class], o)
	}
	out := make([]ClassResult, 0, len(names))
	for _, n := range names {
		out = append(out, ClassResult{n, Summarize(byClass[n])})
	}
	return out
}

func (r *Result) count(o Observation) {
	switch {
	case o.NoAnswer:
		r.NoAnswer++
	case o.Outcome == caller.Answered && o.Valid:
		r.ValidAnswers++
	case o.Outcome == caller.Answered:
		r.WrongAnswers++
	}
	switch o.Outcome {
	case caller.NotRun:
		r.NotRun++
	case caller.Unknown:
		r.Unknown++
	}
}

func milliseconds(us int64) float64 {
	return float64(us) / float64(time.Millisecond/time.Microsecond)
}
