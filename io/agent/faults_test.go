package agent

import (
	"math"
	"testing"
	"time"

	"rosemarygap/core/clock/clocktest"
	"rosemarygap/core/job"

	"github.com/matryer/is"
)

// A start that waited while the VM was suspended must not be sent, although the
// monotonic clock stood still: the owner may have withdrawn it.
func TestSuspendedAgentSendsNoStart(t *testing.T) {
	is := is.New(t)
	s, _, _ := newTestState(t)
	now := time.Now()
	r := testReply(testOrder(1, job.OrderStart))
	r.Freshness = &job.Freshness{}
	s.applyReply(r, now, now)
	is.Equal(s.permitStart(now), startPermitted)
	is.Equal(s.permitStart(clocktest.AfterSuspension(now, 2*time.Second)), startOutdated)
}

// The knowledge in a reply cannot be newer than the reply: a malformed age must not
// permit starts that wait.
func TestReplyFromTheFutureIsNotTrusted(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	for _, f := range []job.Freshness{{Held: math.MaxInt64}, {Held: time.Hour}, {CancellationsAge: -time.Hour}} {
		r := testReply()
		r.Freshness = &f
		s.applyReply(r, now, now)
	}
	is.True(!s.freshness.ordersCompleteAt.After(now))
	is.True(!s.freshness.cancellationsKnownAt.After(now))
}

// The announcement of an incarnation's departure can arrive after the first heartbeat
// of the next one under the same ID. The owner would take the runs of the next one for
// ended, and start their tasks elsewhere.
func TestDelayedDepartureDoesNotEndNextIncarnation(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	next := w
	next.Incarnation, next.Sequence = w.Incarnation+1, 1
	s.applyHeartbeat(next)
	is.True(!s.recordDeparture(w.ID)) // before its first answer
	for _, clock := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		is.True(!s.recordDeparture(w.ID))
		is.True(!s.report("agent", false, now).Left)
		r, _ := s.nextRenewal()
		now = now.Add(clock)
		s.applyRunList(r, job.RunList{Incarnation: next.Incarnation, Clock: clock}, now, now)
	}
	is.True(s.recordDeparture(w.ID))
}

// An order of a kind that this build does not know must not be taken for a start.
func TestOrderOfUnknownKindIsIgnored(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	orders, _ := s.applyReply(testReply(testOrder(1, "resize"), testOrder(2, job.OrderStart)), now, now)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, job.OrderStart)
}

// A stopped run that is missing in a list may be among the ends that the list omits. It must not
// be reported as absent: it may have ended as done.
func TestListWithManyEndsShowsNoAbsentRun(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	s.recordOutcome(testOrder(1, job.OrderStart), runClosed, "stopped", now)
	ends := make([]job.End, job.MaxListedEnds)
	for n := range ends {
		ends[n] = job.End{Number: int64(n) + 1, Task: testTask(n + 1000), Run: 1, Outcome: job.EndDone}
	}
	list := func(clock time.Duration, ends []job.End) job.Report {
		now = now.Add(time.Second)
		r, _ := s.nextRenewal()
		s.applyRunList(r, job.RunList{Incarnation: 100, Clock: clock, Ended: ends}, now, now)
		return s.report("agent", false, now)
	}
	is.Equal(len(list(2*time.Second, ends).Absent), 0)
	is.Equal(len(list(3*time.Second, nil).Absent), 1)
}
