package latency

import "time"

// MinAnswers is how many answers a window must have before its 99th
// percentile is held against a target.
const MinAnswers = 50

// Verdict is a service's last whole window against its target.
type TargetResult struct {
	Service string
	P99     time.Duration
	// Missed is true if P99 is above the target.
	Missed bool
	// Changed is true if the verdict before was another one.
	Changed bool
}

// Judge holds each window against the target once. It belongs to one
// goroutine.
type TargetChecker struct {
	judged time.Time
	missed map[string]bool
}

// NewJudge returns a Judge for which every target was met so far.
func NewTargetChecker() *TargetChecker { return &TargetChecker{missed: make(map[string]bool)} }

// Due reports whether a window ended since the last call of Judge.
func (j *TargetChecker) Due(now time.Time) bool { return now.Truncate(WindowLength).After(j.judged) }

// Judge returns the verdicts on the last whole window. A target of zero, and
// a window with few answers, give none.
func (j *TargetChecker) Check(services []Service, target func(service string) time.Duration, now time.Time) []TargetResult {
	j.judged = now.Truncate(WindowLength)
	var out []TargetResult
	for _, s := range services {
		p, ok := lastWhole(s.Points, j.judged)
		limit := target(s.Name)
		if !ok || limit == 0 || p.Answered < MinAnswers {
			continue
		}
		v := TargetResult{Service: s.Name, P99: p.P99.Std(), Missed: p.P99.Std() > limit}
		v.Changed = v.Missed != j.missed[s.Name]
		j.missed[s.Name] = v.Missed
		out = append(out, v)
	}
	return out
}

// lastWhole returns the window that ended at end.
func lastWhole(points []Point, end time.Time) (Point, bool) {
	for i := len(points) - 1; i >= 0; i-- {
		if points[i].Began.Add(WindowLength).Equal(end) {
			return points[i], true
		}
	}
	return Point{}, false
}
