package agent

import (
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/matryer/is"
)

const testMaxLease = 10 * time.Second

// newTestState returns a state in epoch 1 that has a worker and its list of
// runs.
func newTestState(t *testing.T) (*state, job.Worker, time.Time) {
	s := newState(1, platform.Bounds{MaxWorkerLease: testMaxLease})
	w := job.Worker{ID: "i-1", Incarnation: 100, Service: "svc", Sequence: 1}
	is.New(t).True(s.enterEpoch(1))
	s.applyHeartbeat(w)
	now := time.Unix(1000, 0)
	r, _ := s.nextRenewal()
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: time.Second}, now, now)
	return s, w, now
}

func testOrder(n int64, k job.OrderKind) job.Order {
	return job.Order{Sequence: n, Kind: k, Task: "00000000000000aa.0.0.0", Run: 1, Worker: "i-1", Incarnation: 100}
}

func testReply(orders ...job.Order) *job.Reply {
	return &job.Reply{Epoch: 1, Worker: "i-1", Incarnation: 100, LeaseUntil: 11 * time.Second, Orders: orders}
}

// No run starts after the agent received a heartbeat which says that its worker
// is draining. The run is reported as absent after the next list.
func TestNothingStartsWhileDraining(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	w.Draining, w.Sequence = true, 2
	s.applyHeartbeat(w)
	orders, _ := s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 0)
	_, ok := s.checkOrder(testOrder(1, job.OrderStart), 1)
	is.True(!ok)
	r, _ := s.nextRenewal()
	later := now.Add(time.Second)
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second}, later, later)
	is.Equal(s.report("agent", false, later).Absent, []job.AbsentRun{{Task: "00000000000000aa.0.0.0", Run: 1, Reason: "draining"}})
}

// An order is executed once, however often it arrives, and never on another
// incarnation.
func TestOrdersAreExecutedOnce(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	orders, _ := s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 1)
	orders, _ = s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 0)
	other := testOrder(2, job.OrderStart)
	other.Incarnation = 99
	orders, _ = s.applyReply(testReply(other), now, now)
	is.Equal(len(orders), 0)
}

// Orders of a superseded owner are not executed.
func TestOrdersOfOldEpochAreIgnored(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	is.True(s.enterEpoch(2))
	orders, _ := s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 0)
	_, ok := s.checkOrder(testOrder(1, job.OrderStart), 1)
	is.True(!ok)
	is.True(!s.report("agent", false, now).Listed) // no list with the new fencing token yet
}

// A run counts as absent only if it is missing in a list that was requested
// after the refusal. An earlier list may not have the run yet.
func TestAbsentNeedsLaterList(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	o := testOrder(1, job.OrderStart)
	s.applyReply(testReply(o), now, now)
	r, _ := s.nextRenewal()
	requestedAt := now.Add(10 * time.Millisecond)
	s.recordOutcome(o, runClosed, "room", now.Add(20*time.Millisecond))
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second}, requestedAt, now.Add(30*time.Millisecond))
	is.Equal(len(s.report("agent", false, now).Absent), 0)
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: 3 * time.Second}, now.Add(40*time.Millisecond), now.Add(50*time.Millisecond))
	is.Equal(len(s.report("agent", false, now).Absent), 1)
}

// A late heartbeat of an earlier incarnation is ignored.
func TestLateHeartbeat(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	next := w
	next.Incarnation, next.Sequence = 200, 1
	newIncarnation, _ := s.applyHeartbeat(next)
	is.True(newIncarnation)
	w.Sequence = 50
	newIncarnation, changed := s.applyHeartbeat(w)
	is.True(!newIncarnation && !changed)
	is.Equal(s.report("agent", false, now).Worker.Incarnation, int64(200))
}

// A worker that answers as a new incarnation before its first heartbeat gets no
// work until the heartbeat arrives.
func TestNewIncarnationBeforeHeartbeat(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	r, _ := s.nextRenewal()
	is.True(s.applyRunList(r, job.RunList{Incarnation: 300, Clock: time.Millisecond}, now, now))
	w := s.report("agent", false, now).Worker
	is.Equal(w.Incarnation, int64(300))
	is.True(w.Draining)
}

// The lease never exceeds what the owner granted. It counts as ended only when
// the latest lease that any process of the agent may have granted has expired.
func TestLeaseEnd(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	r, _ := s.nextRenewal()
	is.Equal(r.leaseUntil, time.Duration(0)) // no lease has been granted yet
	s.applyReply(testReply(), now, now)
	r, _ = s.nextRenewal()
	is.Equal(r.leaseUntil, time.Second+leaseDuration)
	silent, ended := s.unreachableFor(now.Add(leaseDuration + time.Second))
	is.True(silent > 0 && !ended) // an earlier process may have granted 10 s
	_, ended = s.unreachableFor(now.Add(testMaxLease + time.Second))
	is.True(ended)
}

// Starts without an answer are cancelled on the next incarnation, as they could
// still take effect there.
func TestUnansweredStartsAcrossIncarnations(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	s.recordUnanswered(testOrder(1, job.OrderStart), now)
	r, _ := s.nextRenewal()
	is.Equal(len(s.startsToCancel(r, now)), 0)
	w.Incarnation = 200
	s.applyHeartbeat(w)
	r, _ = s.nextRenewal()
	is.Equal(len(s.startsToCancel(r, now)), 1)
	s.recordStopped(runKey{"00000000000000aa.0.0.0", 1}, 200)
	is.Equal(len(s.startsToCancel(r, now)), 0)
}

// A stop that the worker answered does not protect its next incarnation, which starts
// without any knowledge. The owner hears of that incarnation only once the start is
// impossible there: it would start the task elsewhere.
func TestStoppedStartMayTakeEffectOnNextIncarnation(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	k := runKey{"00000000000000aa.0.0.0", 1}
	s.recordUnanswered(testOrder(1, job.OrderStart), now)
	s.recordStopped(k, w.Incarnation)
	is.Equal(s.report("agent", false, now).Worker.Incarnation, w.Incarnation)
	for _, w.Incarnation = range []int64{200, 300} {
		s.applyHeartbeat(w)
		r, _ := s.nextRenewal()
		is.Equal(s.startsToCancel(r, now), []runKey{k})
		is.Equal(s.report("agent", false, now).Worker, nil)
		s.recordStopped(k, w.Incarnation)
		is.Equal(s.report("agent", false, now).Worker.Incarnation, w.Incarnation)
	}
	w.Incarnation = 400
	s.applyHeartbeat(w)
	is.Equal(s.report("agent", false, now).Worker, nil)
	is.True(s.report("agent", false, now.Add(unansweredStartTTL+time.Second)).Worker != nil) // too late to take effect
}

// A start that was sent to another worker cannot take effect: the call names it.
func TestUnansweredStartOfOtherWorker(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	s.recordUnanswered(testOrder(1, job.OrderStart), now)
	w.ID, w.Incarnation = "i-2", 200
	s.applyHeartbeat(w)
	is.True(s.report("agent", false, now).Worker != nil)
}

// A list that has the run answers its start: another call could reach the next
// incarnation of the worker, which would execute what the list shows as ended.
func TestListedRunIsNotStartedAgain(t *testing.T) {
	for name, list := range map[string]job.RunList{
		"running": {Running: []job.Run{{Task: "00000000000000aa.0.0.0", Run: 1}}},
		"ended":   {Ended: []job.End{{Number: 1, Task: "00000000000000aa.0.0.0", Run: 1, Outcome: job.EndDone}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _, now := newTestState(t)
			o := testOrder(1, job.OrderStart)
			s.applyReply(testReply(o), now, now)
			is.True(!s.isSettled(o))
			r, _ := s.nextRenewal()
			list.Incarnation, list.Clock = 100, 2*time.Second
			s.applyRunList(r, list, now, now)
			is.True(s.isSettled(o))
			s.recordOutcome(o, runStarted, "", now) // the answer arrives late
			is.Equal(len(s.runs), 0)
		})
	}
}

// The clock of the VM was set back before the worker started again under the same ID. The
// agent must not take the answers for those of an earlier incarnation: it would report the
// lease as ended by the clock of the one before while its renewals extend it.
func TestIncarnationWithEarlierStartTime(t *testing.T) {
	is := is.New(t)
	s, w, now := newTestState(t)
	r, _ := s.nextRenewal()
	earlier := job.RunList{Incarnation: 50, Clock: time.Second}
	is.True(!s.applyRunList(r, earlier, now.Add(-time.Second), now)) // the call may have been answered before
	is.Equal(s.worker.Incarnation, int64(100))
	later := now.Add(time.Second)
	is.True(s.applyRunList(r, earlier, later, later))
	is.Equal(s.worker.Incarnation, int64(50))
	is.True(s.worker.Draining)
	r, ok := s.nextRenewal()
	is.True(ok)
	is.Equal(r.leaseUntil, time.Duration(0)) // no lease of the incarnation before

	// An answer of the one before is processed late.
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: time.Minute}, now, later)
	later = later.Add(time.Second)
	s.applyRunList(r, earlier, later, later)
	is.Equal(s.worker.Incarnation, int64(50))
	w.Incarnation = 50
	confirmed, _ := s.receiveHeartbeat(w, later)
	is.True(confirmed)
	is.True(!s.worker.Draining)
}
