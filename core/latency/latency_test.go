package latency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHistoryIsBoundedAndWithoutGaps checks that the history keeps WindowCount
// points, has a point for each window, and counts answers and refusals apart.
func TestHistoryIsBoundedAndWithoutGaps(t *testing.T) {
	is := is.New(t)
	r, start := NewRecorder(), time.Unix(1_000_000, 0)
	now := start
	for i := range 200 {
		now = start.Add(time.Duration(i) * 4 * time.Second)
		r.Observe("booking", 20*time.Millisecond, i%2 == 0, now)
	}
	points := r.Services(now)[0].Points
	is.Equal(len(points), WindowCount)
	for i := 1; i < len(points); i++ {
		is.Equal(points[i].Began.Sub(points[i-1].Began), WindowLength)
		is.True(points[i].Answered+points[i].Refused >= 1)
	}
	p := points[10]
	is.True(p.P99.Std() >= 19*time.Millisecond && p.P99.Std() <= 21*time.Millisecond)
	later := r.Services(now.Add(time.Hour))[0].Points
	is.Equal(len(later), WindowCount)
	is.Equal(later[WindowCount-1].Answered+later[0].Answered, int64(0)) // an hour without requests
}

// TestTargetCheckerReportsChangesOnce checks that each window is compared once,
// that only a different result is reported as a change, and that a window with
// few answers changes nothing.
func TestTargetCheckerReportsChangesOnce(t *testing.T) {
	is := is.New(t)
	r, checker, now := NewRecorder(), NewTargetChecker(), time.Unix(1_000_000, 0)
	target := func(string) time.Duration { return 100 * time.Millisecond }
	var changes []bool
	for _, window := range []struct {
		answers int
		latency time.Duration
	}{{100, time.Millisecond}, {100, time.Second}, {MinAnswers - 1, time.Millisecond},
		{100, time.Second}, {0, 0}, {100, time.Millisecond}} {
		for range window.answers {
			r.Observe("booking", window.latency, true, now)
		}
		now = now.Add(WindowLength)
		is.True(checker.Due(now))
		for _, v := range checker.Check(r.Services(now), target, now) {
			if v.Changed {
				changes = append(changes, v.Missed)
			}
		}
		is.True(!checker.Due(now.Add(WindowLength - 1)))
	}
	is.Equal(changes, []bool{true, false})
}
