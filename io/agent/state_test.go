package agent

import (
	"testing"
	"time"

	"rosemarygap/core/job"

	"github.com/matryer/is"
)

const testLeaseMax = 10 * time.Second

// seen returns a state that follows epoch 1 and knows a worker.
func seen(t *testing.T) (*state, job.Worker, time.Time) {
	s := newState(1, testLeaseMax)
	w := job.Worker{ID: "i-1", Incarnation: 100, Service: "svc", Sequence: 1}
	is.New(t).True(s.enter(1))
	s.heartbeat(w)
	now := time.Unix(1000, 0)
	r, _ := s.nextRenewal()
	s.listed(r, job.RunList{Incarnation: 100, Clock: time.Second}, now, now)
	return s, w, now
}

func order(n int64, k job.OrderKind) job.Order {
	return job.Order{Sequence: n, Kind: k, Task: "00000000000000aa.0.0.0", Run: 1, Worker: "i-1", Incarnation: 100}
}

func reply(orders ...job.Order) *job.Reply {
	return &job.Reply{Epoch: 1, Worker: "i-1", Incarnation: 100, LeaseUntil: 11 * time.Second, Orders: orders}
}

// Nothing starts after the agent acknowledged that its worker drains, and the
// owner is told so after the next list.
func TestNothingStartsWhileDraining(t *testing.T) {
	is := is.New(t)
	s, w, now := seen(t)
	w.Draining, w.Sequence = true, 2
	s.heartbeat(w)
	orders, _ := s.apply(reply(order(1, job.OrderStart)), now)
	is.Equal(len(orders), 0)
	_, ok := s.current(order(1, job.OrderStart), 1)
	is.True(!ok)
	r, _ := s.nextRenewal()
	later := now.Add(time.Second)
	s.listed(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second}, later, later)
	is.Equal(s.report("agent", false, later).Absent, []job.AbsentRun{{Task: "00000000000000aa.0.0.0", Run: 1, Reason: "draining"}})
}

// An order is carried out once, however often it arrives, and not for another
// incarnation.
func TestOrdersOnce(t *testing.T) {
	is := is.New(t)
	s, _, now := seen(t)
	orders, _ := s.apply(reply(order(1, job.OrderStart)), now)
	is.Equal(len(orders), 1)
	orders, _ = s.apply(reply(order(1, job.OrderStart)), now)
	is.Equal(len(orders), 0)
	other := order(2, job.OrderStart)
	other.Incarnation = 99
	orders, _ = s.apply(reply(other), now)
	is.Equal(len(orders), 0)
}

// Orders of an owner that was replaced are void.
func TestOldEpochIsVoid(t *testing.T) {
	is := is.New(t)
	s, _, now := seen(t)
	is.True(s.enter(2))
	orders, _ := s.apply(reply(order(1, job.OrderStart)), now)
	is.Equal(len(orders), 0)
	_, ok := s.current(order(1, job.OrderStart), 1)
	is.True(!ok)
	is.True(!s.report("agent", false, now).Listed) // until a list with the new token
}

// A run counts as absent only by a list that was asked for after the refusal.
func TestAbsentNeedsALaterList(t *testing.T) {
	is := is.New(t)
	s, _, now := seen(t)
	o := order(1, job.OrderStart)
	s.apply(reply(o), now)
	r, _ := s.nextRenewal()
	asked := now.Add(10 * time.Millisecond)
	s.decide(o, runOver, "room", now.Add(20*time.Millisecond))
	s.listed(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second}, asked, now.Add(30*time.Millisecond))
	is.Equal(len(s.report("agent", false, now).Absent), 0)
	s.listed(r, job.RunList{Incarnation: 100, Clock: 3 * time.Second}, now.Add(40*time.Millisecond), now.Add(50*time.Millisecond))
	is.Equal(len(s.report("agent", false, now).Absent), 1)
}

// A heartbeat of an earlier incarnation that arrives late changes nothing.
func TestLateHeartbeat(t *testing.T) {
	is := is.New(t)
	s, w, now := seen(t)
	next := w
	next.Incarnation, next.Sequence = 200, 1
	renewed, _ := s.heartbeat(next)
	is.True(renewed)
	w.Sequence = 50
	renewed, changed := s.heartbeat(w)
	is.True(!renewed && !changed)
	is.Equal(s.report("agent", false, now).Worker.Incarnation, int64(200))
}

// A worker that answers as another incarnation before its heartbeat gets no
// work until then.
func TestRebornWorker(t *testing.T) {
	is := is.New(t)
	s, _, now := seen(t)
	r, _ := s.nextRenewal()
	is.True(s.listed(r, job.RunList{Incarnation: 300, Clock: time.Millisecond}, now, now))
	w := s.report("agent", false, now).Worker
	is.Equal(w.Incarnation, int64(300))
	is.True(w.Draining)
}

// The lease never passes what is granted, and counts as ended only when the
// latest one that any process may have given has.
func TestLeaseEnd(t *testing.T) {
	is := is.New(t)
	s, _, now := seen(t)
	r, _ := s.nextRenewal()
	is.Equal(r.lease, time.Duration(0)) // nothing granted yet
	s.apply(reply(), now)
	r, _ = s.nextRenewal()
	is.Equal(r.lease, time.Second+leaseLength)
	silent, ended := s.silence(now.Add(leaseLength + time.Second))
	is.True(silent > 0 && !ended) // a former process may have given 10 s
	_, ended = s.silence(now.Add(testLeaseMax + time.Second))
	is.True(ended)
}

// Starts without an answer are stopped on the next incarnation.
func TestUnansweredStartsOutliveTheWorker(t *testing.T) {
	is := is.New(t)
	s, w, now := seen(t)
	s.noteUnanswered(order(1, job.OrderStart), now)
	r, _ := s.nextRenewal()
	is.Equal(len(s.overdue(r, now)), 0)
	w.Incarnation = 200
	s.heartbeat(w)
	r, _ = s.nextRenewal()
	is.Equal(len(s.overdue(r, now)), 1)
	s.settle(runKey{"00000000000000aa.0.0.0", 1})
	is.Equal(len(s.overdue(r, now)), 0)
}
