package trial

import (
	"math"
	"slices"
	"time"

	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// truth is what a job really does, whatever its team declared.
type truth struct {
	class  int
	total  time.Duration
	done   time.Duration
	urgent bool
}

// fakeTask is a running attempt.
type fakeTask struct {
	worker.TaskReport
	job      *truth
	throttle float64
}

// fakeVM runs tasks at the worker port and slows services down.
type fakeVM struct {
	id       string
	scenario *Scenario
	tasks    []*fakeTask
	stops    int
}

// lease answers one message of the cell's owner.
func (v *fakeVM) lease(cmd worker.Command, jobs map[string]*truth, now time.Time) *worker.Report {
	r := &worker.Report{Worker: v.id, Epoch: cmd.Lease.Epoch, Capacity: v.scenario.VMCapacity,
		Stamp:     worker.Stamp{Incarnation: 1, Time: wire.Duration(now.Sub(epoch))},
		LeaseLeft: cmd.Lease.Grant}
	var kept []*fakeTask
	for _, d := range cmd.Lease.Tasks {
		t := v.find(d)
		if t == nil {
			t = &fakeTask{TaskReport: worker.TaskReport{Job: d.Job, Attempt: d.Attempt,
				State: worker.TaskRunning}, job: jobs[d.Job]}
		}
		v.obey(t, d)
		kept = append(kept, t)
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	v.tasks = kept
	return r
}

func (v *fakeVM) find(d worker.DesiredTask) *fakeTask {
	i := slices.IndexFunc(v.tasks, func(t *fakeTask) bool {
		return t.Job == d.Job && t.Attempt == d.Attempt
	})
	if i < 0 {
		return nil
	}
	return v.tasks[i]
}

func (v *fakeVM) obey(t *fakeTask, d worker.DesiredTask) {
	t.throttle = 1
	if d.Throttle > 0 {
		t.throttle = float64(d.Throttle) / 1000
	}
	if d.Action == worker.Stop && t.State == worker.TaskRunning {
		t.State = worker.TaskStopped
		t.Checkpoint = t.job.done.String()
		v.stops++
	}
}

// advance runs the tasks for d and returns the progress made. Tasks that use
// more processors than the VM has share them.
func (v *fakeVM) advance(d time.Duration) time.Duration {
	used := 0.0
	for _, t := range v.tasks {
		used += v.processors(t)
	}
	speed := min(1, float64(v.scenario.VMCapacity.Processors)/max(1, used))
	var made time.Duration
	for _, t := range v.tasks {
		if t.State != worker.TaskRunning {
			continue
		}
		step := min(time.Duration(float64(d)*speed*t.throttle), t.job.total-t.job.done)
		t.job.done += step
		made += step
		c := v.scenario.Classes[t.job.class]
		t.Usage = &worker.Usage{Processors: int(v.processors(t)), Memory: c.Memory}
		if t.job.done >= t.job.total {
			t.State = worker.TaskDone
		}
	}
	return made
}

func (v *fakeVM) processors(t *fakeTask) float64 {
	if t.State != worker.TaskRunning {
		return 0
	}
	return float64(v.scenario.Classes[t.job.class].Processors) * t.throttle
}

// fullLoad is the load at which a pairing has its whole effect; at none it
// has idleEffect of it.
const (
	fullLoad   = 0.5
	idleEffect = 0.4
	maxSlower  = 4
)

// slower returns how many times slower a service is on the VM.
func (v *fakeVM) slower(service int, load float64) float64 {
	tasks := make([]float64, len(v.scenario.Classes))
	for _, t := range v.tasks {
		if t.State == worker.TaskRunning {
			tasks[t.job.class] += t.throttle
		}
	}
	shift := idleEffect + (1-idleEffect)*math.Min(1, load/fullLoad)
	s := 1.0
	for i, n := range tasks {
		s += (v.scenario.Classes[i].Slowdowns[service] - 1) * shift * math.Min(1, n/2)
	}
	return math.Min(maxSlower, s)
}
