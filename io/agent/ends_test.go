package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// ownedRun is a cell with one job of one task, which runs on the worker of a state, and a
// second worker with room for it.
type ownedRun struct {
	is    *is.I
	state *state
	cell  *job.Cell
	now   time.Time
	end   job.End
	other job.Report
}

func newOwnedRun(t *testing.T) *ownedRun {
	s, w, now := newTestState(t)
	o := &ownedRun{is: is.New(t), state: s, now: now}
	o.cell = newTestCell(1, now)
	capacity := job.Resources{Processors: 1000, Memory: 1000}
	w.Capacity, w.Sequence = capacity, 2
	s.worker = &w
	o.deliver(now)
	o.cell.Add(testJob(), now)
	orders := o.deliver(now)
	o.is.Equal(len(orders), 1)
	o.list(job.RunList{Running: []job.Run{{Task: orders[0].Task, Run: orders[0].Run}}})
	o.deliver(o.now)
	o.end = job.End{Number: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: job.EndDone}
	o.other = job.Report{Agent: "other", Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
		Worker: &job.Worker{ID: "i-2", Incarnation: 1, Service: "svc", Capacity: capacity}}
	o.poll()
	return o
}

func newTestCell(epoch int64, now time.Time) *job.Cell {
	c := job.New(epoch, now)
	c.SetConfiguration(&job.Configuration{Version: 1, Queues: []job.Queue{{Host: "host", Prefix: "/", Service: "svc", MaxFailures: 2}}})
	return c
}

func testJob() job.Job {
	return job.Job{ID: "00000000000000aa", Queue: "host/", Steps: []job.Step{{Tasks: 1, Need: job.Resources{Processors: 100, Memory: 100}}}}
}

// exchange has the cell process a report and returns its reply.
func (o *ownedRun) exchange(r job.Report) job.Reply {
	o.cell.Receive(&r, o.now)
	o.cell.BeginOwnershipCheck()
	o.cell.ConfirmOwnership(o.now)
	o.cell.Tick(o.now)
	w := o.cell.PendingWrites(o.now, 30)
	o.cell.Committed(&w)
	return o.cell.Reply(&r, o.now)
}

// deliver sends a report of the state to the cell and returns the orders in the reply.
func (o *ownedRun) deliver(now time.Time) []job.Order {
	o.now = now
	reply := o.exchange(o.state.report("agent", false, now))
	orders, _ := o.state.applyReply(&reply, now, now)
	return orders
}

// poll sends a report of the second worker, and returns the orders in the reply.
func (o *ownedRun) poll() []job.Order { return o.exchange(o.other).Orders }

// list has the worker answer a renewal with l, which the owner does not know yet.
func (o *ownedRun) list(l job.RunList) {
	r, ok := o.state.nextRenewal()
	o.is.True(ok)
	o.now = o.now.Add(100 * time.Millisecond)
	l.Incarnation, l.Clock = 100, o.now.Sub(time.Unix(1000, 0))+time.Second
	o.state.applyRunList(r, l, o.now, o.now)
}

// listEnd has the worker list the end of the run.
func (o *ownedRun) listEnd() { o.list(job.RunList{Ended: []job.End{o.end}}) }

// notStartedAgain checks that the owner does not start the task on the second worker after
// the next reports.
func (o *ownedRun) notStartedAgain() {
	for range 5 {
		o.deliver(o.now.Add(time.Second))
		o.other.Clock += time.Second
		o.is.Equal(len(o.poll()), 0)
	}
}

// A worker that leaves lists the end of a run just before. The owner must learn of the end:
// otherwise it starts the task again.
func TestEndBeforeDepartureIsReported(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.recordDeparture("i-1"))
	o.notStartedAgain()
}

// The same if the owner has changed since: the worker does not list anything for it.
func TestEndBeforeDepartureIsReportedToNextOwner(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.recordDeparture("i-1"))
	o.cell = newTestCell(2, o.now)
	o.is.NoErr(o.cell.Load(testJob(), job.Progress{Started: true}, o.now))
	o.cell.LoadAgent("agent")
	o.is.True(o.state.enterEpoch(2))
	o.other.Epoch = 2
	o.notStartedAgain()
}

// A worker that has crashed comes back as its next incarnation before the owner has
// received the last list of the one before.
func TestEndBeforeNextIncarnationIsReported(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	next := *o.state.worker
	next.Incarnation, next.Sequence, next.Draining = 200, 1, true
	o.state.applyHeartbeat(next)
	o.notStartedAgain()
}

// The end is known although the worker has been silent since, so that its lease has ended.
func TestEndBeforeSilenceIsReported(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.now = o.now.Add(2 * testMaxLease)
	o.is.True(o.state.report("agent", false, o.now).LeaseEnded)
	o.notStartedAgain()
}

// The numbers of ended runs begin anew with each incarnation, and a call may reach the next
// one. So a renewal may acknowledge only what the current incarnation has listed.
func TestRenewalAcknowledgesListedEndsOnly(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.deliver(o.now)
	r, _ := o.state.nextRenewal()
	o.is.Equal(r.acknowledged, int64(1))
	o.list(job.RunList{}) // the worker has forgotten the end
	r, _ = o.state.nextRenewal()
	o.is.Equal(r.acknowledged, int64(0))
}

// A renewal without an answer can be carried out seconds later, also by the next incarnation,
// which would forget ends that it has not listed. Nothing may start there until then.
func TestNextIncarnationWaitsForUnansweredAcknowledgement(t *testing.T) {
	for name, tc := range map[string]struct {
		err   error
		waits bool
	}{
		"no answer": {platform.ErrUnknownOutcome, true},
		"refused":   {platform.ErrNoEffect, false},
		"not sent":  {errors.WithMessage(platform.ErrNotSent, "no connection"), false},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwnedRun(t)
			o.listEnd()
			o.deliver(o.now)
			r, _ := o.state.nextRenewal()
			o.is.Equal(r.acknowledged, int64(1))
			o.state.recordAcknowledgement(r, o.now)
			o.state.recordRenewalResult(r, tc.err)
			if tc.waits {
				r, _ = o.state.nextRenewal()
				o.is.Equal(r.acknowledged, int64(0)) // a second one would be at risk, too
			}
			next := *o.state.worker
			next.Incarnation, next.Sequence = 200, 1
			o.state.applyHeartbeat(next)
			o.is.Equal(o.state.report("agent", false, o.now).Worker.Draining, tc.waits)
			o.is.True(!o.state.report("agent", false, o.now.Add(acknowledgementTTL+time.Second)).Worker.Draining)
		})
	}
}

// An acknowledgement that is on its way when the next incarnation reports may reach it.
func TestNextIncarnationWaitsForAcknowledgementInFlight(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.deliver(o.now)
	r, _ := o.state.nextRenewal()
	o.is.Equal(r.acknowledged, int64(1))
	o.state.recordAcknowledgement(r, o.now) // neither answered nor failed
	next := *o.state.worker
	next.Incarnation, next.Sequence = 200, 1
	o.state.applyHeartbeat(next)
	o.is.True(o.state.report("agent", false, o.now).Worker.Draining)
	o.state.recordRenewalResult(r, nil)
	o.is.True(!o.state.report("agent", false, o.now).Worker.Draining)
}

// The worker has answered again, so that the ends are acknowledged after all.
func TestAcknowledgingResumes(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.deliver(o.now)
	r, _ := o.state.nextRenewal()
	o.state.recordAcknowledgement(r, o.now)
	o.state.recordRenewalResult(r, platform.ErrUnknownOutcome)
	o.listEnd()
	o.is.True(o.state.resumeAcknowledging())
	r, _ = o.state.nextRenewal()
	o.is.Equal(r.acknowledged, int64(1))
	o.is.True(!o.state.resumeAcknowledging())
}

// departingWorker lists the end of a run until it is acknowledged.
type departingWorker struct {
	platformtest.Worker
	mu           sync.Mutex
	clock        time.Duration
	acknowledged int64
}

func (w *departingWorker) Renew(r platform.RenewRequest) (job.RunList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock += time.Millisecond
	w.acknowledged = max(w.acknowledged, r.Acknowledged)
	out := job.RunList{Incarnation: 100, Clock: time.Minute + w.clock}
	if w.acknowledged == 0 {
		out.Ended = []job.End{{Number: 1, Task: "00000000000000aa.0.0.0", Run: 1, Outcome: job.EndDone}}
	}
	return out, nil
}

// A departure may be answered only once the ends that the worker lists are durable: then the
// worker is gone, and the VM of the agent may be, too.
func TestDepartureWaitsForDurableEnds(t *testing.T) {
	for _, durable := range []bool{true, false} {
		is := is.New(t)
		w := &departingWorker{}
		worker := httptest.NewServer(platformtest.WorkerHandler(w))
		t.Cleanup(worker.Close)
		a := New(platform.Settings{Name: "agent", WorkerAddress: netip.MustParseAddrPort(strings.TrimPrefix(worker.URL, "http://"))}, hclog.NewNullLogger())
		a.state, _, _ = newTestState(t)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.immediateRenewLoop(ctx) }()
		t.Cleanup(func() {
			cancel()
			is.NoErr(<-ended)
		})
		if durable {
			time.AfterFunc(50*time.Millisecond, func() {
				a.state.applyReply(&job.Reply{Epoch: 1, Worker: "i-1", Incarnation: 100, Acknowledged: 1}, time.Now(), time.Now())
			})
		}
		server := httptest.NewServer(a.Handler())
		t.Cleanup(server.Close)
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, server.URL+platformtest.HeartbeatPath("i-1"), nil)
		is.NoErr(err)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusOK)
		a.state.mu.Lock()
		is.Equal(a.state.acknowledged == 1, durable)
		is.True(a.state.departing)
		a.state.mu.Unlock()
		for !a.state.hasLeft() {
			time.Sleep(time.Millisecond)
		}
		// What is not durable is reported on.
		is.Equal(len(a.state.report("agent", false, time.Now()).Absent) == 0, durable)
	}
}

// An agent that is stopped as planned while the owner changes must not exit with ends that it
// alone knows.
func TestStoppingAgentDeliversEnds(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.beginDeparture("i-1")) // not answered yet
	var calls atomic.Int64
	received := make(chan job.Report, 1)
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable) // not the owner yet
			return
		}
		var report job.Report
		if json.NewDecoder(r.Body).Decode(&report) == nil {
			received <- report
		}
		reply, err := json.Marshal(o.exchange(report))
		if err == nil {
			w.Write(reply)
		}
	}))
	t.Cleanup(owner.Close)
	a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
	a.state = o.state
	o.is.True(a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(owner.URL, "http://"))}))
	a.deliverBeforeExit()
	o.is.Equal((<-received).Absent, []job.AbsentRun{absentEnd(o.end)})
	o.is.True(!a.state.hasGoneEnds())
	calls.Store(1)
	a.deliverBeforeExit() // nothing is left
	o.is.Equal(calls.Load(), int64(1))
}

// The agent must not remove its key while it alone knows ends: the next owner would not wait
// for it and would start the tasks again.
func TestAgentKeepsItsKeyUntilEndsAreDurable(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		o := newOwnedRun(t)
		o.listEnd()
		if acknowledged {
			o.deliver(o.now)
		}
		a := New(platform.Settings{Name: "agent"}, hclog.NewNullLogger())
		a.state = o.state
		a.finishDeparture("i-1")
		select {
		case <-a.workerLeft: // awaitDeparture removes the key
			o.is.True(acknowledged)
		default:
			o.is.True(!acknowledged)
		}
	}
}

// A worker is dead and its agent stops as planned while the owner changes: its last report
// tells the next owner when the lease ends, and must tell the ends that it alone knows.
func TestLastReportToNextOwnerHasEnds(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.enterEpoch(2)) // the worker does not answer any more
	r := o.state.report("agent", false, o.now.Add(2*time.Second))
	o.is.True(!r.Listed)
	o.is.Equal(r.Absent, []job.AbsentRun{absentEnd(o.end)})
}

// A full list leaves ends out, which are not known to be durable.
func TestDepartureWaitsForOmittedEnds(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	var ends []job.End
	for n := range int64(job.MaxListedEnds) {
		ends = append(ends, job.End{Number: n + 1, Task: testTask(int(n)), Run: 1, Outcome: job.EndDone})
	}
	is.True(s.beginDeparture("i-1"))
	r, _ := s.nextRenewal()
	at := now.Add(time.Second)
	s.applyRunList(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second, Ended: ends}, at, at)
	s.applyReply(&job.Reply{Epoch: 1, Worker: "i-1", Incarnation: 100, Acknowledged: job.MaxListedEnds}, at, at)
	is.True(!s.hasDurableEnds("i-1", now))
}

// The owner has received the ends of a worker that is gone and is replaced before they are
// durable. Its successor must receive them, however late it comes.
func TestGoneEndsAreReportedUntilDurable(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.recordDeparture("i-1"))
	r := o.state.report("agent", false, o.now)
	o.cell.Receive(&r, o.now)
	reply := o.cell.Reply(&r, o.now) // nothing is written
	o.is.True(!reply.EndsDurable)
	o.state.recordDelivered(&r, &reply, o.now)
	o.now = o.now.Add(20 * time.Second)
	o.cell = newTestCell(2, o.now)
	o.is.NoErr(o.cell.Load(testJob(), job.Progress{Started: true}, o.now))
	o.cell.LoadAgent("agent")
	o.is.True(o.state.enterEpoch(2))
	r = o.state.report("agent", false, o.now)
	o.is.Equal(r.Absent, []job.AbsentRun{absentEnd(o.end)})
	o.exchange(r)
	reply = o.exchange(r)
	o.is.True(reply.EndsDurable)
	o.state.recordDelivered(&r, &reply, o.now)
	o.is.True(!o.state.hasGoneEnds())
}

// The ends of a worker that has left are durable when the next worker comes: they are neither
// reported nor counted again.
func TestDurableEndsOfDepartedWorkerAreNotRecordedAgain(t *testing.T) {
	o := newOwnedRun(t)
	o.listEnd()
	o.is.True(o.state.recordDeparture("i-1"))
	o.is.Equal(len(o.state.takeUndelivered()), 1)
	r := o.state.report("agent", false, o.now)
	reply := o.exchange(r)
	o.state.recordDelivered(&r, &reply, o.now)
	o.is.True(!o.state.hasGoneEnds())
	o.state.applyHeartbeat(job.Worker{ID: "i-3", Incarnation: 300, Service: "svc", Sequence: 1})
	o.is.True(!o.state.hasGoneEnds())
	o.is.Equal(len(o.state.takeUndelivered()), 0)
}
