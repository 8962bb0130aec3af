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

// fakeVM answers lease messages at once and runs tasks of a known length.
type fakeVM struct {
	capacity Resources
	started  time.Time
	tasks    map[string]*fakeTask
}

type fakeTask struct {
	TaskReport
	end time.Time
	// stop is when the checkpoint that a stop asked for is written.
	stop time.Time
}

// fakeJob is what a job truly uses.
type fakeJob struct {
	run  time.Duration
	used Usage
}

// fleet is a deployment of cells over fake workers.
type fleet struct {
	cells []*Cell
	vms   map[string]*fakeVM
	truth map[string]fakeJob
	now   time.Time
	// lose tells whether the transfers and wants from a cell get lost.
	lose func() bool
	// stops counts the evictions that reached a worker.
	stops, urgentStops int
	started            map[string]time.Time
}

func newFleet(cells int, classes map[string]bool, quotas map[string]Resources) *fleet {
	f := &fleet{vms: map[string]*fakeVM{}, truth: map[string]fakeJob{},
		started: map[string]time.Time{}, now: time.Unix(0, 0), lose: func() bool { return false }}
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

func (f *fleet) submit(t testing.TB, cell int, j Job, truth fakeJob) {
	t.Helper()
	f.truth[j.ID] = truth
	if _, err := f.cells[cell].Submit(j, f.now); err != nil {
		t.Fatal(err)
	}
}

// step runs one tick of every cell.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for _, c := range f.cells {
		for _, w := range c.workers.All {
			w.announced = f.now
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
			c.Receive(cmd, f.vms[cmd.Worker].lease(f, c, cmd), f.now)
		}
	}
}

func (f *fleet) exchange(c *Cell) {
	for _, o := range f.cells {
		if o != c && !f.lose() {
			c.ReceiveQuotaUpdates(o.QuotaTransfers(), o.QuotaRequests())
			c.ReceiveQuotaUpdates(o.QuotaTransfers(), nil)
		}
	}
}

func (v *fakeVM) lease(f *fleet, c *Cell, cmd Command) *Report {
	r := &Report{Worker: cmd.Worker, Epoch: cmd.Lease.Epoch, Capacity: v.capacity,
		Stamp: Stamp{1, wire.Duration(f.now.Sub(v.started))}, LeaseLeft: cmd.Lease.Grant}
	listed := map[string]bool{}
	for _, d := range cmd.Lease.Tasks {
		listed[d.Job] = true
		t := v.tasks[d.Job]
		if t == nil || t.Attempt != d.Attempt {
			t = &fakeTask{TaskReport{Job: d.Job, Attempt: d.Attempt, State: TaskRunning},
				f.now.Add(f.truth[d.Job].run), time.Time{}}
			v.tasks[d.Job] = t
		}
		if d.Action == Stop && t.stop.IsZero() {
			t.stop = f.now.Add(time.Duration(len(r.Tasks)%4) * tick)
			f.stops++
			if c.classes[c.jobs.Get(d.Job).Class] {
				f.urgentStops++
			}
		}
		if t.State == TaskRunning && !t.stop.IsZero() && !f.now.Before(t.stop) {
			t.State = TaskStopped
		}
		if t.State == TaskRunning && !f.now.Before(t.end) {
			t.State = TaskDone
		}
		used := f.truth[d.Job].used
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
