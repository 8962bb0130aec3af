package trial

import (
	"math"
	"slices"
	"time"

	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// simJob contains the actual properties of a job, regardless of its declared
// size.
type simJob struct {
	class    int
	runTime  time.Duration
	progress time.Duration
	urgent   bool
}

// simTask is an attempt of a job on a VM.
type simTask struct {
	worker.TaskReport
	job *simJob
	// throttle is the fraction of its processors that the task may use.
	throttle float64
}

// simVM simulates a worker VM. It runs tasks, which slow down the services on the
// same VM.
type simVM struct {
	id        string
	scenario  *Scenario
	tasks     []*simTask
	evictions int
}

// renewLease handles a lease renewal from the owner of the cell and returns the
// report of the VM.
func (v *simVM) renewLease(cmd worker.Command, jobs map[string]*simJob, now time.Time) *worker.Report {
	r := &worker.Report{Worker: v.id, Epoch: cmd.Lease.Epoch, Capacity: v.scenario.VMCapacity,
		Stamp:     worker.Stamp{Incarnation: 1, Time: wire.Duration(now.Sub(simulationStart))},
		LeaseLeft: cmd.Lease.Grant}
	var kept []*simTask
	for _, d := range cmd.Lease.Tasks {
		t := v.find(d)
		if t == nil {
			t = &simTask{TaskReport: worker.TaskReport{Job: d.Job, Attempt: d.Attempt,
				State: worker.TaskRunning}, job: jobs[d.Job]}
		}
		v.applyDesired(t, d)
		kept = append(kept, t)
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	v.tasks = kept
	return r
}

func (v *simVM) find(d worker.DesiredTask) *simTask {
	i := slices.IndexFunc(v.tasks, func(t *simTask) bool {
		return t.Job == d.Job && t.Attempt == d.Attempt
	})
	if i < 0 {
		return nil
	}
	return v.tasks[i]
}

func (v *simVM) applyDesired(t *simTask, d worker.DesiredTask) {
	t.throttle = 1
	if d.Throttle > 0 {
		t.throttle = float64(d.Throttle) / 1000
	}
	if d.Action == worker.Stop && t.State == worker.TaskRunning {
		t.State = worker.TaskStopped
		t.Checkpoint = t.job.progress.String()
		v.evictions++
	}
}

// advance runs the tasks for d and returns the sum of their progress. If the tasks
// use more processors than the VM has, all tasks slow down in proportion.
func (v *simVM) advance(d time.Duration) time.Duration {
	used := 0.0
	for _, t := range v.tasks {
		used += v.processors(t)
	}
	speed := min(1, float64(v.scenario.VMCapacity.Processors)/max(1, used))
	var progress time.Duration
	for _, t := range v.tasks {
		if t.State != worker.TaskRunning {
			continue
		}
		delta := min(time.Duration(float64(d)*speed*t.throttle), t.job.runTime-t.job.progress)
		t.job.progress += delta
		progress += delta
		c := v.scenario.Classes[t.job.class]
		t.Usage = &worker.Usage{Processors: int(v.processors(t)), Memory: c.Memory}
		if t.job.progress >= t.job.runTime {
			t.State = worker.TaskDone
		}
	}
	return progress
}

func (v *simVM) processors(t *simTask) float64 {
	if t.State != worker.TaskRunning {
		return 0
	}
	return float64(v.scenario.Classes[t.job.class].Processors) * t.throttle
}

// At a service load of fullLoad or more, tasks have their full effect on the
// service. At zero load they have the fraction idleEffect of it. maxSlowdown limits
// the combined slowdown by all tasks.
const (
	fullLoad    = 0.5
	idleEffect  = 0.4
	maxSlowdown = 4
)

// slowdown returns the factor by which the tasks on the VM slow down a service that
// has the given load.
func (v *simVM) slowdown(service int, load float64) float64 {
	tasks := make([]float64, len(v.scenario.Classes))
	for _, t := range v.tasks {
		if t.State == worker.TaskRunning {
			tasks[t.job.class] += t.throttle
		}
	}
	effect := idleEffect + (1-idleEffect)*math.Min(1, load/fullLoad)
	slowdown := 1.0
	for i, n := range tasks {
		slowdown += (v.scenario.Classes[i].Slowdowns[service] - 1) * effect * math.Min(1, n/2)
	}
	return math.Min(maxSlowdown, slowdown)
}
