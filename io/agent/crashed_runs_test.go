package agent

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"

	"github.com/matryer/is"
)

// crashReasons returns the reasons with which the runs of earlier incarnations are reported,
// by task.
func crashReasons(s *state, longPoll bool) map[string]string {
	out := map[string]string{}
	for _, a := range s.report("agent", longPoll, time.Now()).Absent {
		out[a.Task] = a.Reason
	}
	return out
}

// The runs that crashed with their worker are reported to each new owner: the owner of the
// crash may be replaced before it has stored them. Runs that were stopped, refused or not sent
// are none of them.
func TestCrashedRunsAreReportedToEachOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, w, _ := newTestState(t)
		order := func(n int64) job.Order {
			o := testOrder(n, job.OrderStart)
			o.Task = testTask(int(n))
			return o
		}
		for n := range int64(4) {
			o := order(n + 1)
			s.applyReply(testReply(o), time.Now(), time.Now())
			s.recordSent(o, time.Now())
		}
		s.recordOutcome(order(1), runStarted, "", time.Now())
		time.Sleep(2 * time.Second)
		s.recordOutcome(order(2), runClosed, "stopped", time.Now())
		s.recordUnanswered(order(3), time.Now())
		s.recordSent(order(4), time.Now())
		s.recordOutcome(order(4), runStarted, "", time.Now())
		next := w
		next.ID, next.Incarnation, next.Sequence = "i-2", w.Incarnation+1, 1
		s.applyHeartbeat(next)
		want := map[string]string{testTask(1): job.CrashedReason(2*time.Second, false), testTask(3): job.CrashedReason(2*time.Second, true),
			testTask(4): job.CrashedReason(2*time.Second, false)}
		is.Equal(crashReasons(s, true), want) // a long poll may tell of the incarnation first
		r := s.report("agent", false, time.Now())
		s.removeReported(r.Absent, 1)
		is.Equal(len(crashReasons(s, false)), 0)
		s.enterEpoch(2)
		is.Equal(crashReasons(s, false), want)
		time.Sleep(crashedRunTTL + time.Second)
		is.Equal(len(crashReasons(s, false)), 0)
	})
}

// The stop of a run that crashed is answered by the next incarnation. A reply to a report of the
// crash alone must not drop that the run is absent: the owner would wait for it for ever.
func TestReportedCrashKeepsAbsentRun(t *testing.T) {
	is := is.New(t)
	s, w, _ := newTestState(t)
	o := testOrder(1, job.OrderStart)
	s.applyReply(testReply(o), time.Now(), time.Now())
	s.recordOutcome(o, runStarted, "", time.Now())
	next := w
	next.Incarnation, next.Sequence = w.Incarnation+1, 1
	s.applyHeartbeat(next)
	crash := s.report("agent", true, time.Now()).Absent
	is.Equal(len(crash), 1)
	stop := o
	stop.Kind, stop.Incarnation = job.OrderStop, next.Incarnation
	s.recordOutcome(stop, runClosed, "stopped", time.Now())
	r, _ := s.nextRenewal()
	now := time.Now().Add(time.Second)
	s.applyRunList(r, job.RunList{Incarnation: next.Incarnation, Clock: time.Second}, now, now)
	s.removeReported(crash, 1)
	is.Equal(crashReasons(s, false), map[string]string{o.Task: "stopped"})
}

// A worker that announced its departure, or drains, did not crash.
func TestDepartureIsNoCrash(t *testing.T) {
	for _, leave := range []func(*state, job.Worker){
		func(s *state, w job.Worker) { s.recordDeparture(w.ID) },
		func(s *state, w job.Worker) { w.Draining, w.Sequence = true, w.Sequence+1; s.applyHeartbeat(w) },
	} {
		is := is.New(t)
		s, w, _ := newTestState(t)
		o := testOrder(1, job.OrderStart)
		s.applyReply(testReply(o), time.Now(), time.Now())
		s.recordOutcome(o, runStarted, "", time.Now())
		leave(s, w)
		next := w
		next.ID, next.Incarnation, next.Sequence = "i-2", w.Incarnation+1, 1
		s.applyHeartbeat(next)
		is.Equal(len(crashReasons(s, false)), 0)
	}
}

// refusingTransport is a transport to an address at which nothing listens.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// While a worker is down, starts that cannot be sent are reported at once, so that their tasks
// start elsewhere, and the worker counts as unreachable: it looks empty and would attract the
// next tasks. An agent that has just started waits, since its former process may have sent them.
func TestStartsToDeadWorkerAreReportedAtOnce(t *testing.T) {
	for _, justStarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a := newTestAgentWith(t, refusingTransport{})
			a.startedAt = time.Now()
			if !justStarted {
				a.startedAt = time.Now().Add(-unansweredStartTTL)
			}
			a.state.answeredAt = time.Now()
			a.receive(job.OrderStart, testTask(1))
			time.Sleep(10 * time.Millisecond)
			r := a.state.report("agent", false, time.Now())
			is.Equal(slices.Contains(r.Absent, job.AbsentRun{Task: testTask(1), Run: 1, Reason: "not-sent"}), !justStarted)
			is.Equal(r.Unreachable > 0, !justStarted)
			is.True(!r.LeaseEnded)
		})
	}
}
