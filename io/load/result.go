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

// Result summarizes a run. Latencies are in milliseconds. A request without a
// complete response counts in NoAnswer, and also in NotRun or Unknown.
type Result struct {
	Requests int `json:"requests"`
	// ValidAnswers and WrongAnswers count the complete responses with the
	// outcome answered. Observation.Valid distinguishes them.
	ValidAnswers int `json:"whole-answers"`
	WrongAnswers int `json:"wrong-answers"`
	// NotRun and Unknown count the requests with these outcomes.
	NotRun   int     `json:"not-run"`
	Unknown  int     `json:"unknown"`
	NoAnswer int     `json:"no-answer"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
	P999     float64 `json:"p999-ms"`
	Max      float64 `json:"max-ms"`
}

// Range of the latency histogram, in microseconds, and its precision in decimal
// digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Summarize returns the result of a run. Only valid responses count towards the
// latencies.
func Summarize(observations []Observation) Result {
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	r := Result{Requests: len(observations)}
	for _, o := range observations {
		r.count(o)
		if o.Valid {
			_ = h.RecordValue(max(minLatencyMicros, o.Latency.Microseconds()))
		}
	}
	r.P50 = milliseconds(h.ValueAtQuantile(50))
	r.P99 = milliseconds(h.ValueAtQuantile(99))
	r.P999 = milliseconds(h.ValueAtQuantile(99.9))
	r.Max = milliseconds(h.Max())
	return r
}

// SummarizeClasses returns the result of each class, in the order in which the
// classes first occur.
func SummarizeClasses(observations []Observation) []ClassResult {
	byClass := make(map[string][]Observation)
	var names []string
	for _, o := range observations {
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
