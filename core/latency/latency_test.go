package latency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The history is bounded, skips no window, and tells answers from refusals.
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
	is.Equal(later[WindowCount-1].Answered+later[0].Answered, int64(0)) // an hour of silence
}

// Each window is judged once; only a change of the verdict is news, and a
// window with few answers changes nothing.
func TestJudgeTellsChangesOnce(t *testing.T) {
	is := is.New(t)
	r, j, now := NewRecorder(), NewTargetChecker(), time.Unix(1_000_000, 0)
	target := func(string) time.Duration { return 100 * time.Millisecond }
	var news []bool
	for _, window := range []struct {
		answers int
		latency time.Duration
	}{{100, time.Millisecond}, {100, time.Second}, {MinAnswers - 1, time.Millisecond},
		{100, time.Second}, {0, 0}, {100, time.Millisecond}} {
		for range window.answers {
			r.Observe("booking", window.latency, true, now)
		}
		now = now.Add(WindowLength)
		is.True(j.Due(now))
		for _, v := range j.Check(r.Services(now), target, now) {
			if v.Changed {
				news = append(news, v.Missed)
			}
		}
		is.True(!j.Due(now.Add(WindowLength - 1)))
	}
	is.Equal(news, []bool{true, false})
}
