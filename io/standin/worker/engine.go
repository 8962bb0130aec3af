// Package worker is a stand-in for a worker VM of the platform: it runs
// pretended tasks under leases.
//
// Invariant: no task runs past the end of the lease in the worker's own time;
// an attempt is started at most once in an incarnation. Engine does no I/O;
// its caller gives it the time since the incarnation began.
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

// Work is the payload that the stand-in understands.
type TaskSpec struct {
	// RunTime is how long the task really runs.
	RunTime wire.Duration `json:"run-time"`
	// Fails makes every attempt fail when its time is over.
	Fails bool `json:"fails,omitempty"`
}

// Payload returns the payload that asks for this work.
func (w TaskSpec) Payload() string {
	fails := ""
	if w.Fails {
		fails = `,"fails":true`
	}
	return `{"run-time":"` + w.RunTime.Std().String() + `"` + fails + `}`
}

type key struct {
	job     string
	attempt int
}

type task struct {
	need       worker.Resources
	work       TaskSpec
	state      worker.TaskState
	resumed    time.Duration
	started    time.Duration
	ended      time.Duration
	checkpoint time.Duration
}

// Engine runs the pretended tasks of one incarnation.
type Engine struct {
	id          string
	incarnation int64
	capacity    worker.Resources
	failStarts  bool
	epochs      map[int]int64
	seqs        map[int]int64
	// listed is, by cell, the seq of the message whose list was obeyed last.
	listed   map[int]int64
	deadline time.Duration
	// regrouped is when an attempt was last added or forgotten.
	regrouped time.Duration
	tasks     map[key]*task
	ran       []Run
}

// Run is one execution, for the checks of tests and the demo.
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
		id:          id,
		incarnation: incarnation,
		capacity:    capacity,
		epochs:      make(map[int]int64),
		seqs:        make(map[int]int64),
		listed:      make(map[int]int64),
		tasks:       make(map[key]*task),
	}
}

// FailStarts makes every later start fail at once.
func (e *Engine) SetFailStarts(on bool) { e.failStarts = on }

// Lease takes in a message of a cell's owner at now and returns the report.
func (e *Engine) HandleLease(l worker.Lease, now time.Duration) (worker.Report, error) {
	e.Advance(now)
	if l.Epoch < e.epochs[l.Cell] {
		return worker.Report{}, status.ErrStaleEpoch
	}
	if l.Epoch > e.epochs[l.Cell] {
		e.epochs[l.Cell], e.seqs[l.Cell], e.listed[l.Cell] = l.Epoch, 0, 0
	}
	if l.Seq > e.seqs[l.Cell] {
		e.seqs[l.Cell] = l.Seq
		e.obey(l, now)
	}
	return e.report(l, now), nil
}

func (e *Engine) obey(l worker.Lease, now time.Duration) {
	end := min(l.Echo.Time.Std()+l.Grant.Std(), l.HoldUntil.Std())
	if l.Echo.Incarnation != e.incarnation || now >= end {
		return
	}
	if l.SameAs != 0 {
		if l.SameAs == e.listed[l.Cell] {
			e.deadline = max(e.deadline, end)
		}
		return
	}
	e.deadline = max(e.deadline, end)
	e.listed[l.Cell] = l.Seq
	wanted := make(map[key]bool, len(l.Tasks))
	for _, d := range l.Tasks {
		k := key{d.Job, d.Attempt}
		wanted[k] = true
		e.apply(k, d, now)
	}
	for k, t := range e.tasks {
		if !wanted[k] {
			e.stop(k, t, worker.TaskStopped, now)
			delete(e.tasks, k)
			e.regrouped = now
		}
	}
}

func (e *Engine) apply(k key, d worker.DesiredTask, now time.Duration) {
	t := e.tasks[k]
	switch {
	case t == nil && d.Action == worker.Run:
		e.regrouped = now
		e.start(k, d, now)
	case t == nil:
		e.regrouped = now
		e.tasks[k] = &task{state: worker.TaskStopped, started: now, ended: now,
			checkpoint: resumeAt(d.Checkpoint)}
	case d.Action == worker.Stop:
		e.stop(k, t, worker.TaskStopped, now)
	}
}

func (e *Engine) start(k key, d worker.DesiredTask, now time.Duration) {
	t := &task{need: d.Need, state: worker.TaskRunning, started: now}
	e.tasks[k] = t
	if err := json.Unmarshal([]byte(d.Payload), &t.work); err != nil {
		t.work.RunTime = wire.Duration(time.Second)
	}
	t.resumed = resumeAt(d.Checkpoint)
	t.checkpoint = t.resumed
	if e.failStarts || !e.Used().Fits(e.capacity) {
		e.stop(k, t, worker.TaskFailed, now)
	}
}

// resumeAt returns the progress that a checkpoint holds; none if it is empty.
func resumeAt(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}

// Running is an attempt that runs now, and where it resumed.
type RunningTask struct {
	Job         string
	Attempt     int
	ResumedFrom time.Duration
}

// Running returns the attempts that run, as of the last Advance.
func (e *Engine) RunningTasks() []RunningTask {
	var out []RunningTask
	for k, t := range e.tasks {
		if t.state == worker.TaskRunning {
			out = append(out, RunningTask{k.job, k.attempt, t.resumed})
		}
	}
	return out
}

// Incarnation tells this engine from others of the same worker.
func (e *Engine) Incarnation() int64 { return e.incarnation }

// Capacity returns what the worker has.
func (e *Engine) Capacity() worker.Resources { return e.capacity }

// Used returns what the running tasks need together.
func (e *Engine) Used() worker.Resources {
	var sum worker.Resources
	for _, t := range e.tasks {
		if t.state == worker.TaskRunning {
			sum = sum.Plus(t.need)
		}
	}
	return sum
}

// stop ends a running task and notes the execution.
func (e *Engine) stop(k key, t *task, s worker.TaskState, now time.Duration) {
	if t.state != worker.TaskRunning {
		return
	}
	t.state, t.ended = s, now
	if s != worker.TaskFailed {
		t.checkpoint = t.resumed + now - t.started
	}
	e.ran = append(e.ran, Run{k.job, k.attempt, wire.Duration(t.started), wire.Duration(now), s})
}

// Advance ends what is over at now: tasks, then the lease.
func (e *Engine) Advance(now time.Duration) {
	for k, t := range e.tasks {
		end := t.started + t.work.RunTime.Std() - t.resumed
		if t.state != worker.TaskRunning || now < end || e.deadline < end {
			continue
		}
		s := worker.TaskDone
		if t.work.Fails {
			s = worker.TaskFailed
		}
		e.stop(k, t, s, end)
	}
	if now < e.deadline {
		return
	}
	for k, t := range e.tasks {
		e.stop(k, t, worker.TaskLapsed, max(e.deadline, t.started))
	}
}

// checkpointEvery is the period of the checkpoints of running tasks.
const checkpointEvery = 5 * time.Second

// saved returns the latest checkpoint of t, and when t last changed.
func (t *task) saved(now time.Duration) (checkpoint, changed time.Duration) {
	if t.state != worker.TaskRunning {
		return t.checkpoint, t.ended
	}
	since := (now - t.started).Truncate(checkpointEvery)
	return t.resumed + since, t.started + since
}

// report describes this incarnation; only the changes if the owner is known
// to have an earlier report since which no attempt came or went.
func (e *Engine) report(l worker.Lease, now time.Duration) worker.Report {
	r := worker.Report{
		Worker:    e.id,
		Stamp:     worker.Stamp{Incarnation: e.incarnation, Time: wire.Duration(now)},
		Epoch:     l.Epoch,
		Capacity:  e.capacity,
		LeaseLeft: wire.Duration(max(0, e.deadline-now)),
		Listed:    e.listed[l.Cell],
		Tasks:     make([]worker.TaskReport, 0, len(e.tasks)),
	}
	if l.Echo.Incarnation == e.incarnation && l.Echo.Time.Std() > e.regrouped {
		r.Base = l.Echo.Time
	}
	for k, t := range e.tasks {
		checkpoint, changed := t.saved(now)
		if r.Base != 0 && changed < r.Base.Std() {
			continue
		}
		r.Tasks = append(r.Tasks, worker.TaskReport{Job: k.job, Attempt: k.attempt,
			State: t.state, Checkpoint: checkpoint.String()})
	}
	slices.SortFunc(r.Tasks, func(a, b worker.TaskReport) int { return strings.Compare(a.Job, b.Job) })
	return r
}

// Ran returns the executions that have ended.
func (e *Engine) EndedRuns() []Run { return e.ran }
