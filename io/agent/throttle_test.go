package agent

import (
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/matryer/is"
)

var testTraits = map[string]job.TaskTraits{
	"feed":  {TailTarget: 100 * time.Millisecond, Image: "feeds"},
	"heavy": {BestEffort: true, Image: "heavy"},
	"light": {BestEffort: true, Image: "light"},
}

// testRuns returns the runs of a serving task with the given tail latency, in
// milliseconds, and of two best-effort tasks.
func testRuns(tail int) []job.Run {
	return []job.Run{{Task: "feed", Run: 1, Percent: 100, Load: tail},
		{Task: "heavy", Run: 1, Load: 2000}, {Task: "light", Run: 1, Load: 2000}}
}

// sharesByTask returns the shares in commands by task.
func sharesByTask(cs []command) map[string]int {
	out := map[string]int{}
	for _, c := range cs {
		out[c.task] = c.share
	}
	return out
}

// If a serving task exceeds its target, a best-effort task that interferes with
// it is throttled, and one without interference hardly at all.
func TestInterferingTaskIsThrottled(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	th.interference = map[string]map[string]float64{"feeds": {"heavy": 0.1, "light": 0}}
	got := sharesByTask(th.update(testRuns(110), testTraits, time.Unix(1000, 0)))
	is.True(got["heavy"] < 80)
	is.True(got["light"] == 0 && len(got) == 1 || got["light"] > 85)
}

// All best-effort tasks are stopped in time if a serving task stays above its
// target.
func TestAllStopOnSustainedOverload(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	now := time.Unix(1000, 0)
	for range 6 {
		th.update(testRuns(105), testTraits, now)
		now = now.Add(400 * time.Millisecond)
	}
	is.True(now.Sub(time.Unix(1000, 0)) < 3*time.Second)
	is.Equal(th.share("heavy"), 0)
	is.Equal(th.share("light"), 0)
}

// The interfering task is stopped at once if the tail latency of the serving task
// is four times the target, which is above job.UtilizationCritical.
func TestCriticalUtilizationStopsInterferingTask(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	th.interference = map[string]map[string]float64{"feeds": {"heavy": 0.1, "light": 0}}
	got := sharesByTask(th.update(testRuns(400), testTraits, time.Unix(1000, 0)))
	is.Equal(got["heavy"], 0)
	is.True(len(got) == 1 || got["light"] > 0)
}

// Shares return to full once the utilization of the serving task is low.
func TestSharesRecover(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	now := time.Unix(1000, 0)
	th.update(testRuns(400), testTraits, now)
	for range 30 {
		now = now.Add(400 * time.Millisecond)
		th.update(testRuns(30), testTraits, now)
	}
	is.Equal(th.share("heavy"), fullShare)
}

// Without a serving task no best-effort task is throttled.
func TestNoThrottleWithoutServingTask(t *testing.T) {
	th := newThrottle()
	th.set("heavy", 10)
	got := th.update([]job.Run{{Task: "heavy", Run: 1, Load: 100}}, testTraits, time.Unix(1000, 0))
	is.New(t).Equal(len(got), 0)
	is.New(t).Equal(th.share("heavy"), fullShare)
}

// A command that a run may not have received is sent again.
func TestUnknownShareIsSentAgain(t *testing.T) {
	is := is.New(t)
	s := newState(1, platform.Bounds{MaxWorkerLease: testMaxLease})
	s.throttle.sentShares[runKey{"heavy", 1}] = fullShare
	s.markShareUnknown(runKey{"heavy", 1})
	got := s.throttle.commands(testRuns(10), testTraits)
	is.Equal(sharesByTask(got)["heavy"], fullShare)
}

// Images of unknown interference must not be throttled on a large worker as if their
// processors were the same share of a small one.
func TestPriorInterferenceRefersToWorkerSize(t *testing.T) {
	is := is.New(t)
	share := func(scale float64) int {
		th := newThrottle()
		th.scale = scale
		th.interference = map[string]map[string]float64{"feeds": {"heavy": 0.02}}
		return sharesByTask(th.update(testRuns(110), testTraits, time.Unix(1000, 0)))["light"]
	}
	is.True(share(1) < share(8))
}
