package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// world is a cell with workers that do what it orders, at once.
type world struct {
	*Cell
	is    *is.I
	now   time.Time
	hosts map[string]*host
}

// host is a worker with its agent.
type host struct {
	report  Report
	durable int64
	orders  []Order
	ends    int64
}

const testQueue = "host/queue/"

func newWorld(t *testing.T, workers int) *world {
	w := &world{is: is.New(t), now: time.Unix(1000, 0), hosts: map[string]*host{}}
	w.Cell = New(1, w.now)
	w.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", Priority: 0, MaxFailures: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
	}})
	for i := range workers {
		w.join(fmt.Sprintf("agent-%d", i))
	}
	return w
}

// join adds a worker with 16 processors.
func (w *world) join(agent string) *host {
	h := &host{report: Report{Agent: agent, Process: 1, Epoch: w.Epoch(), Listed: true, Clock: time.Second,
		Worker: &Worker{ID: "i-" + agent, Incarnation: 1, Service: "svc", Labels: []string{"a", "r1"},
			Capacity: Resources{Processors: 16000, Memory: 64000}}}}
	w.hosts[agent] = h
	w.send(agent)
	return h
}

// send delivers the host's report, and takes in the orders of the reply.
func (w *world) send(agent string) {
	h := w.hosts[agent]
	r := h.report
	w.is.True(!w.Receive(&r, w.now))
	w.BeginOwnershipProof()
	w.CompleteOwnershipProof(w.now)
	w.Tick(w.now)
	w.write()
	reply := w.Reply(&r)
	for _, o := range reply.Orders {
		if o.Sequence > h.report.Applied {
			h.report.Applied = o.Sequence
			h.orders = append(h.orders, o)
			h.obey(o)
		}
	}
	h.durable = reply.Acknowledged
}

// obey starts or stops a run as a worker does.
func (h *host) obey(o Order) {
	if o.Kind == OrderStart {
		h.report.Running = append(h.report.Running, Run{Task: o.Task, Run: o.Run})
		return
	}
	h.end(o.Task, EndStopped)
}

// end ends the run of a task.
func (h *host) end(task string, how Outcome) {
	for i, r := range h.report.Running {
		if r.Task == task {
			h.report.Running = append(h.report.Running[:i:i], h.report.Running[i+1:]...)
			h.ends++
			h.report.Ended = append(h.report.Ended, End{Number: h.ends, Task: task, Run: r.Run, Outcome: how})
			return
		}
	}
}

// write makes everything durable that is due.
func (w *world) write() Writes {
	d := w.PendingWrites(w.now, 30)
	w.Committed(&d)
	return d
}

// round delivers all reports.
func (w *world) round() {
	w.now = w.now.Add(20 * time.Millisecond)
	for agent := range w.hosts {
		w.send(agent)
	}
}

// submit adds a job and delivers the reports until its first tasks run.
func (w *world) submit(j Job) {
	w.Add(j, w.now)
	w.round()
	w.round()
}

func testJob(n int, steps ...Step) Job {
	return Job{ID: fmt.Sprintf("%016x", n), Queue: testQueue, Steps: steps, Accepted: time.Unix(1000, 0)}
}

func step(tasks int, processors int, after ...int) Step {
	return Step{Tasks: tasks, Need: Resources{Processors: processors, Memory: 100}, Estimate: time.Second, After: after}
}

// A cancellation that arrives before its job, as after a compaction of the
// store's history, holds.
func TestCancelledBeforeKnown(t *testing.T) {
	w := newWorld(t, 1)
	w.Cancel(testJob(1).ID, w.now)
	w.Add(testJob(1, step(2, 100)), w.now)
	w.round()
	w.is.Equal(len(w.hosts["agent-0"].orders), 0) // nothing of a cancelled job starts
}

// The failure of a run whose worker was given up counts when it becomes known
// after that of a later run.
func TestLateFailureCounts(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(testJob(1, step(1, 100)))
	first, second := w.hosts["agent-0"], w.hosts["agent-1"]
	if len(first.report.Running) == 0 {
		first, second = second, first
	}
	task := first.report.Running[0].Task
	first.end(task, EndFailed)
	silent := first.report.Agent
	delete(w.hosts, silent)
	for range 700 { // until everything on it has ended for certain
		w.round()
	}
	w.is.Equal(len(second.report.Running), 1) // the second run
	second.end(task, EndFailed)
	w.round()
	w.is.Equal(len(second.report.Running), 1) // the third one, while one failure is known
	w.hosts[silent] = first
	first.report.Process++
	for range 10 { // the run under way is stopped, and its job is dropped
		w.round()
	}
	w.is.Equal(w.jobs.Get(testJob(1).ID), (*jobRow)(nil)) // two failures end the job
}

// A worker that left is taken out of the stored roster, so that a later owner
// does not wait for it.
func TestDepartedAgentIsForgotten(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(testJob(1, step(4, 8000)))
	h := w.hosts["agent-0"]
	w.is.True(len(h.report.Running) > 0)
	h.report.Left, h.report.Running = true, nil
	r := h.report
	w.Receive(&r, w.now)
	d := w.write()
	w.is.Equal(d.RemovedAgents, []string{"agent-0"})

	next := New(2, w.now)
	next.LoadAgent("agent-1")
	w.is.True(!next.settled(w.now)) // the other one may still run something
	w.is.True(next.settled(w.now.Add(AddClockDrift(hold))))
	next.Tick(w.now.Add(AddClockDrift(hold)))
	later := next.PendingWrites(w.now.Add(AddClockDrift(hold)), 30)
	w.is.Equal(later.RemovedAgents, []string{"agent-1"}) // never heard of, and certainly over
}

// An agent that starts again while the clock of its VM is set back is heard,
// once no report of its former process can be under way.
func TestProcessWithAnEarlierClock(t *testing.T) {
	w := newWorld(t, 1)
	w.hosts["agent-0"].report.Process = 0
	w.round()
	w.is.Equal(w.workers.Get("agent-0").process, int64(1)) // it may be a late report of another process
	w.now = w.now.Add(time.Second)
	w.round()
	w.is.Equal(w.workers.Get("agent-0").process, int64(0))
}

// A report of an earlier incarnation that is overtaken by one of the next
// changes nothing: its ends have the numbers of the next one's.
func TestOvertakenReport(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(testJob(1, step(1, 100)))
	h := w.hosts["agent-0"]
	h.end(h.report.Running[0].Task, EndDone)
	overtaken := h.report
	next := *h.report.Worker
	next.Incarnation++
	h.report.Worker, h.report.Ended = &next, nil
	w.round()
	w.Receive(&overtaken, w.now)
	w.is.Equal(w.workers.Get("agent-0").processed, int64(0))
	w.is.Equal(w.workers.Get("agent-0").Incarnation, next.Incarnation)
}
