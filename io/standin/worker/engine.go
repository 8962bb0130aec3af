// Package worker is a fake of a worker VM of the platform. It runs simulated tasks
// under leases.
//
// Invariant: no task runs past the end of the lease on the worker's clock, and an
// attempt is started at most once in an incarnation. Engine does no I/O; its
// caller provides the time since the incarnation began.
package worker

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// TaskSpec is the decoded payload of a simulated task.
type TaskSpec struct {
	// RunTime is the actual run time of the task.
	RunTime wire.Duration `json:"run-time"`
	// Fails makes every attempt fail at the end of its run time.
	Fails bool `json:"fails,omitempty"`
}

// Payload returns the encoded payload of s.
func (s TaskSpec) Payload() string {
	fails := ""
	if s.Fails {
		fails = `,"fails":true`
	}
	return `{"run-time":"` + s.RunTime.Std().String() + `"` + fails + `}`
}

type attemptKey struct {
	job     string
	attempt int
}

type task struct {
	need        worker.Resources
	spec        TaskSpec
	state       worker.TaskState
	resumedFrom time.Duration
	started     time.Duration
	ended       time.Duration
	checkpoint  time.Duration
}

// Engine runs the simulated tasks of one incarnation.
type Engine struct {
	id          string
	incarnation int64
	capacity    worker.Resources
	failStarts  bool
	// epochs and seqs map each cell to its newest epoch, and to the highest Seq of
	// a Lease message in that epoch.
	epochs map[int]int64
	seqs   map[int]int64
	// appliedLists maps each cell to the Seq of the Lease message whose task list
	// was applied last.
	appliedLists map[int]int64
	leaseEnd     time.Duration
	// tasksChanged is when an attempt was last added or removed.
	tasksChanged time.Duration
	tasks        map[attemptKey]*task
	endedRuns    []Run
}

// Run is the execution of an attempt, for the checks of tests and the demo.
type Run struct {
	Job     string           `json:"job"`
	Attempt int              `json:"attempt"`
	Started wire.Duration    `json:"started"`
	Ended   wire.Duration    `json:"ended"`
	State   worker.TaskState `json:"state"`
}

// NewEngine returns an engine without tasks.
func NewEngine(id string, incarnation int64, capacity worker.Resources) *Engine {
	return &Engine{
		id:           id,
		incarnation:  incarnation,
		capacity:     capacity,
		epochs:       make(map[int]int64),
		seqs:         make(map[int]int64),
		appliedLists: make(map[int]int64),
		tasks:        make(map[attemptKey]*task),
	}
}

// SetFailStarts sets whether later starts fail at once.
func (e *Engine) SetFailStarts(on bool) { e.failStarts = on }

// HandleLease processes a Lease message from the owner of a cell and returns the
// report to it. It returns status.ErrStaleEpoch if the epoch of the message is
// older than the newest one known for the cell.
func (e *Engine) HandleLease(l worker.Lease, now time.Duration) (worker.Report, error) {
	e.Advance(now)
	if l.Epoch < e.epochs[l.Cell] {
		return worker.Report{}, status.ErrStaleEpoch
	}
	if l.Epoch > e.epochs[l.Cell] {
		e.epochs[l.Cell], e.seqs[l.Cell], e.appliedLists[l.Cell] = l.Epoch, 0, 0
	}
	if l.Seq > e.seqs[l.Cell] {
		e.seqs[l.Cell] = l.Seq
		e.applyLease(l, now)
	}
	return e.report(l, now), nil
}

// applyLease extends the lease and applies the task list of l. It ignores a message
// to another incarnation, and one that grants a lease that has already ended. If
// l.SameAs is set, the message has no task list, and extends the lease only if the
// list that it refers to was applied last.
func (e *Engine) applyLease(l worker.Lease, now time.Duration) {
	end := min(l.Echo.Time.Std()+l.Grant.Std(), l.HoldUntil.Std())
	if l.Echo.Incarnation != e.incarnation || now >= end {
		return
	}
	if l.SameAs != 0 {
		if l.SameAs == e.appliedLists[l.Cell] {
			e.leaseEnd = max(e.leaseEnd, end)
		}
		return
	}
	e.leaseEnd = max(e.leaseEnd, end)
	e.appliedLists[l.Cell] = l.Seq
	listed := make(map[attemptKey]bool, len(l.Tasks))
	for _, d := range l.Tasks {
		k := attemptKey{d.Job, d.Attempt}
		listed[k] = true
		e.applyDesired(k, d, now)
	}
	for k, t := range e.tasks {
		if !listed[k] {
			e.stop(k, t, worker.TaskStopped, now)
			delete(e.tasks, k)
			e.tasksChanged = now
		}
	}
}

// applyDesired starts or stops the attempt k as d requires. If d stops an attempt
// that was never started, applyDesired records the attempt as stopped, with the
// checkpoint of d.
func (e *Engine) applyDesired(k attemptKey, d worker.DesiredTask, now time.Duration) {
	t := e.tasks[k]
	switch {
	case t == nil && d.Action == worker.Run:
		e.tasksChanged = now
		e.start(k, d, now)
	case t == nil:
		e.tasksChanged = now
		e.tasks[k] = &task{state: worker.TaskStopped, started: now, ended: now,
			checkpoint: parseCheckpoint(d.Checkpoint)}
	case d.Action == worker.Stop:
		e.stop(k, t, worker.TaskStopped, now)
	}
}

func (e *Engine) start(k attemptKey, d worker.DesiredTask, now time.Duration) {
	t := &task{need: d.Need, state: worker.TaskRunning, started: now}
	e.tasks[k] = t
	if err := json.Unmarshal([]byte(d.Payload), &t.spec); err != nil {
		t.spec.RunTime = wire.Duration(time.Second)
	}
	t.resumedFrom = parseCheckpoint(d.Checkpoint)
	t.checkpoint = t.resumedFrom
	if e.failStarts || !e.Used().Fits(e.capacity) {
		e.stop(k, t, worker.TaskFailed, now)
	}
}

// parseCheckpoint returns the progress that a checkpoint contains, or 0 if the
// checkpoint is empty or invalid.
func parseCheckpoint(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}

// RunningTask is an attempt that is running, with the progress from which it
// resumed.
type RunningTask struct {
	Job         string
	Attempt     int
	ResumedFrom time.Duration
}

// RunningTasks returns the running attempts. It includes attempts that should have
// ended since the last Advance.
func (e *Engine) RunningTasks() []RunningTask {
	var out []RunningTask
	for k, t := range e.tasks {
		if t.state == worker.TaskRunning {
			out = append(out, RunningTask{k.job, k.attempt, t.resumedFrom})
		}
	}
	return out
}

// Incarnation returns the incarnation of the worker that this engine represents.
func (e *Engine) Incarnation() int64 { return e.incarnation }

// Capacity returns the resources of the worker.
func (e *Engine) Capacity() worker.Resources { return e.capacity }

// Used returns the total resources that the running tasks need.
func (e *Engine) Used() worker.Resources {
	var sum worker.Resources
	for _, t := range e.tasks {
		if t.state == worker.TaskRunning {
			sum = sum.Plus(t.need)
		}
	}
	return sum
}

// stop ends a running task with the state s and records the execution.
func (e *Engine) stop(k attemptKey, t *task, s worker.TaskState, now time.Duration) {
	if t.state != worker.TaskRunning {
		return
	}
	t.state, t.ended = s, now
	if s != worker.TaskFailed {
		t.checkpoint = t.resumedFrom + now - t.started
	}
	e.endedRuns = append(e.endedRuns, Run{k.job, k.attempt, wire.Duration(t.started), wire.Duration(now), s})
}

// Advance ends the tasks whose run time is over at now, and then, if the lease has
// expired, all other tasks.
func (e *Engine) Advance(now time.Duration) {
	for k, t := range e.tasks {
		end := t.started + t.spec.RunTime.Std() - t.resumedFrom
		if t.state != worker.TaskRunning || now < end || e.leaseEnd < end {
			continue
		}
		s := worker.TaskDone
		if t.spec.Fails {
			s = worker.TaskFailed
		}
		e.stop(k, t, s, end)
	}
	if now < e.leaseEnd {
		return
	}
	for k, t := range e.tasks {
		e.stop(k, t, worker.TaskLapsed, max(e.leaseEnd, t.started))
	}
}

// checkpointPeriod is the interval between the checkpoints of a running task.
const checkpointPeriod = 5 * time.Second

// latestCheckpoint returns the latest checkpoint of t, and when the state or the
// checkpoint of t last changed.
func (t *task) latestCheckpoint(now time.Duration) (checkpoint, changed time.Duration) {
	if t.state != worker.TaskRunning {
		return t.checkpoint, t.ended
	}
	completed := (now - t.started).Truncate(checkpointPeriod)
	return t.resumedFrom + completed, t.started + completed
}

// report returns the report that responds to l. The report contains only changes
// if l shows that its sender has an earlier report of this incarnation, and no
// attempt was added or removed since that report.
func (e *Engine) report(l worker.Lease, now time.Duration) worker.Report {
	r := worker.Report{
		Worker:    e.id,
		Stamp:     worker.Stamp{Incarnation: e.incarnation, Time: wire.Duration(now)},
		Epoch:     l.Epoch,
		Capacity:  e.capacity,
		LeaseLeft: wire.Duration(max(0, e.leaseEnd-now)),
		Listed:    e.appliedLists[l.Cell],
		Tasks:     make([]worker.TaskReport, 0, len(e.tasks)),
	}
	if l.Echo.Incarnation == e.incarnation && l.Echo.Time.Std() > e.tasksChanged {
		r.Base = l.Echo.Time
	}
	for k, t := range e.tasks {
		checkpoint, changed := t.latestCheckpoint(now)
		if r.Base != 0 && changed < r.Base.Std() {
			continue
		}
		r.Tasks = append(r.Tasks, worker.TaskReport{Job: k.job, Attempt: k.attempt,
			State: t.state, Checkpoint: checkpoint.String()})
	}
	slices.SortFunc(r.Tasks, func(a, b worker.TaskReport) int { return strings.Compare(a.Job, b.Job) })
	return r
}

// EndedRuns returns the executions that have ended.
func (e *Engine) EndedRuns() []Run { return e.endedRuns }
