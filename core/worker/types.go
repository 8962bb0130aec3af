// Package worker schedules batch jobs onto the worker VMs of one cell.
//
// Invariants:
//   - A task is started only after the record of its attempt is durable in the
//     journal.
//   - Capacity on a worker stays reserved from that record until the end of the
//     attempt is durable as well. An attempt is recorded as ended only after its
//     worker reported its end, or its worker process or all leases of that
//     process have certainly ended.
//   - A result counts only for the current attempt of a job.
//
// A Cell is owned by the control goroutine and does no I/O: its methods take
// messages and the current time, and return values.
package worker

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Resources is an amount of the resources of a VM: a capacity, a requirement
// or a use.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int `json:"processors-milli"`
	// Memory is in MiB.
	Memory int64 `json:"memory-mib"`
	// Accelerators is a number of devices.
	Accelerators int `json:"accelerators"`
	// Slots is a number of task slots, of which a task occupies as many as its
	// job needs. Package job, which uses this type too, ignores slots.
	Slots int `json:"slots"`
}

// Max returns the larger value of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Processors, o.Processors), max(r.Memory, o.Memory),
		max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots)}
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory,
		r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory,
		r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Fits reports whether r is at most o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory &&
		r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// Job is a batch job as submitted by a team. It is immutable.
type Job struct {
	ID    string    `json:"id"`
	Team  string    `json:"team"`
	Class string    `json:"batch-class"`
	Need  Resources `json:"need"`
	// RunTime is the run time that the team estimates.
	RunTime wire.Duration `json:"run-time"`
	// Payload is passed to the worker without being interpreted.
	Payload string `json:"payload,omitempty"`
}

// Limits on the values of a job.
const (
	maxPayloadBytes = 4096
	maxRunTime      = 7 * 24 * time.Hour
	maxIDBytes      = 128
)

// Check returns an error with a status code if a value of the job is missing
// or out of range.
func (j *Job) Check() error {
	switch {
	case j.ID == "":
		return status.At(status.ErrMissingField, "id", "")
	case len(j.ID) > maxIDBytes:
		return status.At(status.ErrOutOfRange, "id", j.ID[:maxIDBytes])
	case j.Need.Processors < 1:
		return status.At(status.ErrOutOfRange, "need.processors-milli", "")
	case j.Need.Memory < 1:
		return status.At(status.ErrOutOfRange, "need.memory-mib", "")
	case j.Need.Accelerators < 0:
		return status.At(status.ErrOutOfRange, "need.accelerators", "")
	case j.Need.Slots < 0:
		return status.At(status.ErrOutOfRange, "need.slots", "")
	case j.RunTime < 0 || j.RunTime.Std() > maxRunTime:
		return status.At(status.ErrOutOfRange, "run-time", j.RunTime.Std().String())
	case len(j.Payload) > maxPayloadBytes:
		return status.At(status.ErrOutOfRange, "payload", "")
	}
	return nil
}

// State is the state of a job.
type State string

// The states of a job. Finished and Cancelled are final. A parked job is not
// started. It is queued again only if it was parked because it fitted on no worker,
// and a worker that it fits on appears.
const (
	Queued    State = "queued"
	Running   State = "running"
	Finished  State = "finished"
	Cancelled State = "cancelled"
	Parked    State = "parked"
)

// JobRow is a job together with its durable state.
type JobRow struct {
	Job
	State State `json:"state"`
	// Attempt is the number of starts so far. Results count only for the
	// current attempt.
	Attempt int `json:"attempt"`
	// Worker and Incarnation identify where the current attempt runs: in the
	// worker process with this Stamp.Incarnation.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// VM is the address of the VM on which that incarnation runs.
	VM netip.Addr `json:"vm,omitzero"`
	// Size is the capacity reserved for the current attempt.
	Size Resources `json:"size,omitzero"`
	// Checkpoint is the point at which the next attempt resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	Cancelling bool   `json:"cancelling,omitempty"`
	// Failures is the number of failed attempts; FailedOn lists the workers
	// on which they failed.
	Failures int      `json:"failures,omitempty"`
	FailedOn []string `json:"failed-on,omitempty"`
	// NotBefore is the earliest time of the next attempt after a failure.
	NotBefore time.Time `json:"not-before,omitzero"`
	// Limit is the largest capacity that the workers reported, in each
	// dimension on its own. It is set for a job that fits on no worker.
	Limit     Resources   `json:"limit,omitzero"`
	Evictions int         `json:"evictions,omitempty"`
	Reason    status.Code `json:"reason,omitempty"`
	Submitted time.Time   `json:"submitted"`
	// Ended is the time at which the job finished, was cancelled or was parked.
	Ended time.Time `json:"ended,omitzero"`
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// The states of an attempt on a worker. All except TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means that the attempt was stopped by the owner and wrote
	// a checkpoint.
	TaskStopped TaskState = "stopped"
	// TaskLapsed means that the attempt ended because the worker's lease
	// expired.
	TaskLapsed TaskState = "lapsed"
)

// TaskReport is the state of an attempt as reported by its worker.
type TaskReport struct {
	Job        string    `json:"job"`
	Attempt    int       `json:"attempt"`
	State      TaskState `json:"state"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// Usage is the latest measured usage of the task, which may be out of
	// date; nil if there is none.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage is the resource usage of a task in a past interval.
type Usage struct {
	// Processors is in thousandths of a processor, Memory in MiB.
	Processors int   `json:"processors-milli"`
	Memory     int64 `json:"memory-mib"`
}

// Stamp is a point in time on a worker's own clock. It cannot be compared with
// the time of any other clock. An incarnation is one run of a worker process; a
// later run has a larger number. Time is the time since the incarnation began.
type Stamp struct {
	Incarnation int64         `json:"incarnation"`
	Time        wire.Duration `json:"time"`
}

// Report is a worker's response to a Lease message.
type Report struct {
	Worker   string    `json:"worker"`
	Stamp    Stamp     `json:"stamp"`
	Epoch    int64     `json:"epoch"`
	Capacity Resources `json:"capacity"`
	// LeaseLeft is the remaining time of the worker's lease at Stamp.
	LeaseLeft wire.Duration `json:"lease-left"`
	// Listed is the Seq of the Lease message whose task list the worker
	// applied last in this epoch, or 0.
	Listed int64 `json:"listed"`
	// Base is 0 if Tasks contains every attempt on the worker. Otherwise
	// Tasks contains only the attempts that changed since the report whose
	// Stamp has this time; all other attempts are unchanged since then.
	Base  wire.Duration `json:"base,omitzero"`
	Tasks []TaskReport  `json:"tasks"`
}

// Action tells a worker what to do with an attempt.
type Action string

// The actions on an attempt.
const (
	Run  Action = "run"
	Stop Action = "stop"
)

// DesiredTask is an attempt that should exist on a worker.
type DesiredTask struct {
	Job        string    `json:"job"`
	Attempt    int       `json:"attempt"`
	Need       Resources `json:"need"`
	Payload    string    `json:"payload,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Action     Action    `json:"action"`
	// Reason is the reason for a stop after which the job will be resumed.
	Reason status.Code `json:"reason,omitempty"`
	// Throttle is the share of its processors that the task may use, in
	// thousandths; 0 means all.
	Throttle int `json:"throttle-milli,omitempty"`
}

// Lease is the only message from a cell's owner to a worker. It extends the
// worker's lease and lists all attempts that should exist on the worker. It
// has no effect on the lease or the tasks unless Echo has the worker's current
// incarnation and the lease that the message grants has not ended yet.
type Lease struct {
	Cell  int   `json:"cell"`
	Epoch int64 `json:"epoch"`
	// Seq increases with each message to this worker within an epoch.
	Seq int64 `json:"seq"`
	// Echo is the Stamp of the newest report that the owner received.
	Echo Stamp `json:"echo"`
	// Grant is the duration of the lease, counted from Echo.
	Grant wire.Duration `json:"grant"`
	// HoldUntil is the time, on the worker's clock in the incarnation of Echo,
	// beyond which the message does not extend the lease, however long Grant is.
	HoldUntil wire.Duration `json:"hold-until"`
	// SameAs, if not 0, is the Seq of an earlier message of this epoch whose
	// task list still applies; Tasks is then empty.
	SameAs int64         `json:"same-as,omitzero"`
	Tasks  []DesiredTask `json:"tasks"`
}

// Command is a Lease message with its destination.
type Command struct {
	Worker  string
	Address netip.AddrPort
	Lease   Lease
	// Sent is the time at which the owner built the message.
	Sent time.Time
}
