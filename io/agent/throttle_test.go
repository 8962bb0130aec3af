package agent

import (
	"testing"
	"time"

	"rosemarygap/core/job"

	"github.com/matryer/is"
)

var testTraits = map[string]job.TaskTraits{
	"feed":  {TailTarget: 100 * time.Millisecond, Image: "feeds"},
	"heavy": {BestEffort: true, Image: "heavy"},
	"light": {BestEffort: true, Image: "light"},
}

// rows returns a look at a feed with a tail beside two filling tasks.
func rows(tail int) []job.Run {
	return []job.Run{{Task: "feed", Run: 1, Percent: 100, Load: tail},
		{Task: "heavy", Run: 1, Load: 2000}, {Task: "light", Run: 1, Load: 2000}}
}

func shares(cs []command) map[string]int {
	out := map[string]int{}
	for _, c := range cs {
		out[c.task] = c.share
	}
	return out
}

// Load: a feed over its target beside a culprit and a harmless task. The
// culprit gives way, the other works on nearly undisturbed.
func TestCulpritGivesWay(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	th.pressures = map[string]map[string]float64{"feeds": {"heavy": 0.1, "light": 0}}
	got := shares(th.look(rows(110), testTraits, time.Unix(1000, 0)))
	is.True(got["heavy"] < 80)
	is.True(got["light"] == 0 && len(got) == 1 || got["light"] > 85)
}

// A feed that stays over its target stops all filling tasks in time.
func TestAllStopBesideAFeedOverItsTarget(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	now := time.Unix(1000, 0)
	for range 6 {
		th.look(rows(105), testTraits, now)
		now = now.Add(400 * time.Millisecond)
	}
	is.True(now.Sub(time.Unix(1000, 0)) < 3*time.Second)
	is.Equal(th.share("heavy"), 0)
	is.Equal(th.share("light"), 0)
}

// At twice the target the culprit stops at once.
func TestAlarm(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	th.pressures = map[string]map[string]float64{"feeds": {"heavy": 0.1, "light": 0}}
	got := shares(th.look(rows(400), testTraits, time.Unix(1000, 0)))
	is.Equal(got["heavy"], 0)
	is.True(len(got) == 1 || got["light"] > 0)
}

// Shares come back once the feed is calm.
func TestSharesComeBack(t *testing.T) {
	is := is.New(t)
	th := newThrottle()
	now := time.Unix(1000, 0)
	th.look(rows(400), testTraits, now)
	for range 30 {
		now = now.Add(400 * time.Millisecond)
		th.look(rows(30), testTraits, now)
	}
	is.Equal(th.share("heavy"), fullShare)
}

// Without a serving task nothing is throttled.
func TestNoFeedNoThrottle(t *testing.T) {
	th := newThrottle()
	th.set("heavy", 10)
	got := th.look([]job.Run{{Task: "heavy", Run: 1, Load: 100}}, testTraits, time.Unix(1000, 0))
	is.New(t).Equal(len(got), 0)
	is.New(t).Equal(th.share("heavy"), fullShare)
}

// An order that a run may not have got is sent again.
func TestUntoldRunIsToldAgain(t *testing.T) {
	is := is.New(t)
	s := newState(1, testLeaseMax)
	s.throttle.sent[runKey{"heavy", 1}] = fullShare
	s.untold(runKey{"heavy", 1})
	got := s.throttle.commands(rows(10), testTraits)
	is.Equal(shares(got)["heavy"], fullShare)
}
