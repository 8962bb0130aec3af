package worker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/wire"
	"rosemarygap/io/golden"
)

func TestMain(m *testing.M) { golden.FixSeed(m, "") }

const tick = 250 * time.Millisecond

// fakeVM responds to Lease messages at once and simulates tasks with known run times.
type fakeVM struct {
	capacity Resources
	started  time.Time
	tasks    map[string]*fakeTask
}

type fakeTask struct {
	TaskReport
	endAt time.Time
	// stopAt is when the checkpoint that was requested by a stop is complete.
	stopAt time.Time
}

// fakeJob is the actual run time and usage of a job.
type fakeJob struct {
	runTime time.Duration
	used    Usage
}

// fleet is a deployment of cells with fake workers.
type fleet struct {
	cells  []*Cell
	vms    map[string]*fakeVM
	actual map[string]fakeJob
	now    time.Time
	// losesExchange reports whether the next quota transfers and requests from
	// one cell to another are lost.
	losesExchange func() bool
	// stops is the number of evictions that reached a worker, and urgentStops
	// the number of those of urgent tasks.
	stops, urgentStops int
	started            map[string]time.Time
}

func newFleet(cells int, classes map[string]bool, quotas map[string]Resources) *fleet {
	f := &fleet{vms: map[string]*fakeVM{}, actual: map[string]fakeJob{},
		started: map[string]time.Time{}, now: time.Unix(0, 0), losesExchange: func() bool { return false }}
	for i := range cells {
		c := NewCell(i, Timings{Grant: 6 * time.Second, Hold: time.Hour})
		c.SetClasses(classes)
		if quotas != nil {
			c.SetQuotas(cells, quotas)
		}
		c.Apply(c.OpeningRecord(f.now))
		c.Open(1, f.now)
		f.cells = append(f.cells, c)
	}
	return f
}

func (f *fleet) addVM(cell int, capacity Resources) string {
	id := fmt.Sprintf("vm-%d-%04d", cell, len(f.vms))
	f.vms[id] = &fakeVM{capacity, f.now, map[string]*fakeTask{}}
	f.cells[cell].RegisterWorker(id, "z", "r", netip.MustParseAddrPort("127.0.0.1:1"), f.now)
	return id
}

func (f *fleet) submit(t testing.TB, cell int, j Job, actual fakeJob) {
	t.Helper()
	f.actual[j.ID] = actual
	if _, err := f.cells[cell].Submit(j, f.now); err != nil {
		t.Fatal(err)
	}
}

// step advances the time by one tick and runs the tick of every cell.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for _, c := range f.cells {
		for _, w := range c.workers.All {
			w.lastAnnounced = f.now
		}
		f.exchange(c)
		rs := c.Plan(f.now)
		c.ApplyCommitted(rs)
		c.VerifyBegin()
		c.VerifyEnd(f.now)
		for _, r := range rs {
			if _, ok := f.started[r.ID]; !ok && r.Kind == KindStarted {
				f.started[r.ID] = f.now
			}
		}
		for _, cmd := range c.Commands(f.now, nil) {
			c.Receive(cmd, f.vms[cmd.Worker].answerLease(f, c, cmd), f.now)
		}
	}
}

// exchange delivers the quota messages of the other cells to c. It delivers the
// transfers twice, because duplicates must have no effect.
func (f *fleet) exchange(c *Cell) {
	for _, o := range f.cells {
		if o != c && !f.losesExchange() {
			c.ReceiveQuotaUpdates(o.QuotaTransfers(), o.QuotaRequests())
			c.ReceiveQuotaUpdates(o.QuotaTransfers(), nil)
		}
	}
}

func (v *fakeVM) answerLease(f *fleet, c *Cell, cmd Command) *Report {
	r := &Report{Worker: cmd.Worker, Epoch: cmd.Lease.Epoch, Capacity: v.capacity,
		Stamp: Stamp{1, wire.Duration(f.now.Sub(v.started))}, LeaseLeft: cmd.Lease.Grant}
	listed := map[string]bool{}
	for _, d := range cmd.Lease.Tasks {
		listed[d.Job] = true
		t := v.tasks[d.Job]
		if t == nil || t.Attempt != d.Attempt {
			t = &fakeTask{TaskReport{Job: d.Job, Attempt: d.Attempt, State: TaskRunning},
				f.now.Add(f.actual[d.Job].runTime), time.Time{}}
			v.tasks[d.Job] = t
		}
		if d.Action == Stop && t.stopAt.IsZero() {
			t.stopAt = f.now.Add(time.Duration(len(r.Tasks)%4) * tick)
			f.stops++
			if c.urgentClasses[c.jobs.Get(d.Job).Class] {
				f.urgentStops++
			}
		}
		if t.State == TaskRunning && !t.stopAt.IsZero() && !f.now.Before(t.stopAt) {
			t.State = TaskStopped
		}
		if t.State == TaskRunning && !f.now.Before(t.endAt) {
			t.State = TaskDone
		}
		used := f.actual[d.Job].used
		t.Usage = &used
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	for id := range v.tasks {
		if !listed[id] {
			delete(v.tasks, id)
		}
	}
	return r
}
