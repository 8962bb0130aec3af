package latency

import "time"

// MinAnswers is the number of answers that a window must have before its 99th
// percentile is compared with a target.
const MinAnswers = 50

// TargetResult is the comparison of a service's last complete window with its
// latency target.
type TargetResult struct {
	Service string
	P99     time.Duration
	// Missed is true if P99 is above the target.
	Missed bool
	// Changed is true if Missed differs from the previous result.
	Changed bool
}

// TargetChecker compares each window with the target once. It belongs to one
// goroutine.
type TargetChecker struct {
	checkedUntil time.Time
	missed       map[string]bool
}

// NewTargetChecker returns a TargetChecker that takes every target as met so far.
func NewTargetChecker() *TargetChecker { return &TargetChecker{missed: make(map[string]bool)} }

// Due reports whether a window ended since the last call of Check.
func (c *TargetChecker) Due(now time.Time) bool {
	return now.Truncate(WindowLength).After(c.checkedUntil)
}

// Check returns the results for the last complete window. A service has no
// result if its target is zero or its window has fewer than MinAnswers answers.
func (c *TargetChecker) Check(services []Service, target func(service string) time.Duration, now time.Time) []TargetResult {
	c.checkedUntil = now.Truncate(WindowLength)
	var out []TargetResult
	for _, s := range services {
		point, ok := lastComplete(s.Points, c.checkedUntil)
		limit := target(s.Name)
		if !ok || limit == 0 || point.Answered < MinAnswers {
			continue
		}
		result := TargetResult{Service: s.Name, P99: point.P99.Std(), Missed: point.P99.Std() > limit}
		result.Changed = result.Missed != c.missed[s.Name]
		c.missed[s.Name] = result.Missed
		out = append(out, result)
	}
	return out
}

// lastComplete returns the window that ended at end, or false if there is none.
func lastComplete(points []Point, end time.Time) (Point, bool) {
	for i := len(points) - 1; i >= 0; i-- {
		if points[i].Began.Add(WindowLength).Equal(end) {
			return points[i], true
		}
	}
	return Point{}, false
}
