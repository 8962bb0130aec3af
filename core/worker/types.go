// Package worker places batch tasks on worker VMs for one cell.
//
// Invariants: a task is started only after its attempt was journaled; room on
// a worker is reserved from that record until a record that follows a
// confirmed stop or the certain end of the worker's lease; a result counts
// only for the current attempt. A Cell belongs to the control goroutine and
// does no I/O: it takes messages and a time, and returns typed values.
package worker

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Resources are an amount of what a VM offers.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int `json:"processors-milli"`
	// Memory is in MiB.
	Memory       int64 `json:"memory-mib"`
	Accelerators int   `json:"accelerators"`
	Slots        int   `json:"slots"`
}

// Max returns the larger of r and o in each dimension.
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

// Fits reports whether r is within o.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory &&
		r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// Job is a batch job as its team submits it. Its content never changes.
type Job struct {
	ID    string    `json:"id"`
	Team  string    `json:"team"`
	Class string    `json:"batch-class"`
	Need  Resources `json:"need"`
	// RunTime is the team's estimate.
	RunTime wire.Duration `json:"run-time"`
	// Payload is handed to the worker unread.
	Payload string `json:"payload,omitempty"`
}

// Bounds of a job's values.
const (
	maxPayload = 4096
	maxRunTime = 7 * 24 * time.Hour
	maxID      = 128
)

// Check returns a coded error if the job's own values are out of bounds.
func (j *Job) Check() error {
	switch {
	case j.ID == "":
		return status.At(status.ErrMissingField, "id", "")
	case len(j.ID) > maxID:
		return status.At(status.ErrOutOfRange, "id", j.ID[:maxID])
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
	case len(j.Payload) > maxPayload:
		return status.At(status.ErrOutOfRange, "payload", "")
	}
	return nil
}

// State is the state of a job.
type State string

// States of a job. Finished and Cancelled are final; a parked job waits for
// its cancellation, or for a worker that it fits on.
const (
	Queued    State = "queued"
	Running   State = "running"
	Finished  State = "finished"
	Cancelled State = "cancelled"
	Parked    State = "parked"
)

// JobRow is a job with its durable state.
type JobRow struct {
	Job
	State State `json:"state"`
	// Attempt counts the starts; results count only for the current one.
	Attempt int `json:"attempt"`
	// Worker and Incarnation name where the current attempt runs.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// VM is the address of the VM of that incarnation.
	VM netip.Addr `json:"vm,omitzero"`
	// Size is the room reserved for the current attempt.
	Size Resources `json:"size,omitzero"`
	// Checkpoint is where the next attempt resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	Cancelling bool   `json:"cancelling,omitempty"`
	// Failures counts the attempts that failed; FailedOn names the workers.
	Failures int      `json:"failures,omitempty"`
	FailedOn []string `json:"failed-on,omitempty"`
	// NotBefore delays the next attempt after a failure.
	NotBefore time.Time `json:"not-before,omitzero"`
	// Limit is the largest capacity seen, for a job that fits on no worker.
	Limit     Resources   `json:"limit,omitzero"`
	Evictions int         `json:"evictions,omitempty"`
	Reason    status.Code `json:"reason,omitempty"`
	Submitted time.Time   `json:"submitted"`
	Ended     time.Time   `json:"ended,omitzero"`
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// States of an attempt on a worker. All but TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped ended by request of the owner, with a checkpoint.
	TaskStopped TaskState = "stopped"
	// TaskLapsed ended because the worker's lease ended.
	TaskLapsed TaskState = "lapsed"
)

// TaskReport is an attempt as its worker sees it.
type TaskReport struct {
	Job        string    `json:"job"`
	Attempt    int       `json:"attempt"`
	State      TaskState `json:"state"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// Usage is what the task was measured to use, some time ago, or nil.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage is what a task used in an interval of the past.
type Usage struct {
	// Processors is in thousandths of a processor, Memory in MiB.
	Processors int   `json:"processors-milli"`
	Memory     int64 `json:"memory-mib"`
}

// Stamp is a point in a worker's own time: the time since the start of an
// incarnation. It means nothing to any other clock.
type Stamp struct {
	Incarnation int64         `json:"incarnation"`
	Time        wire.Duration `json:"time"`
}

// Report is a worker's answer to a Lease message.
type Report struct {
	Worker   string    `json:"worker"`
	Stamp    Stamp     `json:"stamp"`
	Epoch    int64     `json:"epoch"`
	Capacity Resources `json:"capacity"`
	// LeaseLeft is what remains of the worker's lease at Stamp.
	LeaseLeft wire.Duration `json:"lease-left"`
	// Listed is the seq of the message whose list of tasks the worker last
	// obeyed in this epoch, or 0.
	Listed int64 `json:"listed"`
	// Base is 0 if Tasks has every attempt on the worker. Otherwise Tasks has
	// those that changed since the report with this time, and the others are
	// as they were then.
	Base  wire.Duration `json:"base,omitzero"`
	Tasks []TaskReport  `json:"tasks"`
}

// Action is what the owner wants done with an attempt.
type Action string

// Actions on an attempt.
const (
	Run  Action = "run"
	Stop Action = "stop"
)

// Desired is one attempt that the owner wants on a worker.
type DesiredTask struct {
	Job        string    `json:"job"`
	Attempt    int       `json:"attempt"`
	Need       Resources `json:"need"`
	Payload    string    `json:"payload,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Action     Action    `json:"action"`
	// Reason tells why an attempt is stopped, if it will be resumed.
	Reason status.Code `json:"reason,omitempty"`
	// Throttle is the share of its processors that the task may use, in
	// thousandths; 0 means all.
	Throttle int `json:"throttle-milli,omitempty"`
}

// Lease is the one message from a cell's owner to a worker: it extends the
// worker's lease and gives the whole list of attempts that should exist
// there. It has no effect on tasks unless Echo is valid.
type Lease struct {
	Cell  int   `json:"cell"`
	Epoch int64 `json:"epoch"`
	// Seq rises with each message of an epoch to this worker.
	Seq int64 `json:"seq"`
	// Echo is the stamp of the newest report that the owner has.
	Echo Stamp `json:"echo"`
	// Grant is added to Echo and gives the end of the lease.
	Grant wire.Duration `json:"grant"`
	// HoldUntil bounds the lease as well, whatever is granted.
	HoldUntil wire.Duration `json:"hold-until"`
	// SameAs, if not 0, is the seq of the message of this epoch whose list
	// still holds; Tasks is empty then.
	SameAs int64         `json:"same-as,omitzero"`
	Tasks  []DesiredTask `json:"tasks"`
}

// Command is a Lease with the worker it is for.
type Command struct {
	Worker  string
	Address netip.AddrPort
	Lease   Lease
	// Sent is when the owner built the message.
	Sent time.Time
}
