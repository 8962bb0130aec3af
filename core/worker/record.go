package worker

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Kind is the kind of a journal record.
type Kind string

// Kinds of journal records.
const (
	// KindOpened opens an epoch and tells how long its successor waits.
	KindOpened      Kind = "epoch-opened"
	KindSubmitted   Kind = "submitted"
	KindStarted     Kind = "started"
	KindFinished    Kind = "finished"
	KindInterrupted Kind = "interrupted"
	KindFailed      Kind = "failed"
	KindCancelling  Kind = "cancelling"
	KindCancelled   Kind = "cancelled"
	KindParked      Kind = "parked"
	KindUnparked    Kind = "unparked"
	// KindForgotten removes a job that ended long ago.
	KindForgotten Kind = "forgotten"
	// KindTimings changes how long a new owner has to wait.
	KindTimings Kind = "timings"
	// KindLent and KindBorrowed move a part of a team's quota; they change
	// no job.
	KindLent     Kind = "quota-lent"
	KindBorrowed Kind = "quota-borrowed"
)

// Record is one durable decision about one job.
type Record struct {
	Kind        Kind        `json:"kind"`
	At          time.Time   `json:"at"`
	Job         *Job        `json:"job,omitempty"`
	ID          string      `json:"id,omitempty"`
	Attempt     int         `json:"attempt,omitempty"`
	Worker      string      `json:"worker,omitempty"`
	Incarnation int64       `json:"incarnation,omitempty"`
	VM          netip.Addr  `json:"vm,omitzero"`
	Checkpoint  string      `json:"checkpoint,omitempty"`
	Reason      status.Code `json:"reason,omitempty"`
	// Epoch is the one that an opening record opens.
	Epoch int64 `json:"epoch,omitempty"`
	// Wait is how long a new owner waits for a worker that it cannot reach.
	Wait  wire.Duration `json:"wait,omitzero"`
	Limit Resources     `json:"limit,omitzero"`
	// Size is the room that a start reserves, if it differs from the need.
	Size *Resources `json:"size,omitempty"`
	// Transfer is the total that a cell has given another.
	Transfer *QuotaTransfer `json:"transfer,omitempty"`
}

// Reasons of interruptions and parkings.
const (
	ReasonLeaseLapsed     status.Code = "lease-lapsed"
	ReasonRestarted       status.Code = "worker-restarted"
	ReasonEvicted         status.Code = "evicted"
	ReasonTaskFailed      status.Code = "task-failed"
	ReasonTooManyFailures status.Code = "too-many-failures"
	ReasonImpossibleJob   status.Code = "impossible-job"
)

// Apply changes the tables by one durable record. It is the only writer of
// job rows, so that a replay of the journal gives the same tables. A record
// of an attempt that is not the current one changes nothing.
func (c *Cell) Apply(r Record) {
	switch r.Kind {
	case KindOpened, KindTimings:
		c.wait = r.Wait.Std()
		c.newest = max(c.newest, r.Epoch)
	case KindSubmitted:
		c.jobs.Put(r.Job.ID, JobRow{Job: *r.Job, State: Queued, Submitted: r.At})
	case KindForgotten:
		c.jobs.Delete(r.ID)
	case KindLent, KindBorrowed:
		c.applyTransfer(*r.Transfer)
	default:
		if j := c.jobs.Get(r.ID); j != nil && !j.State.Final() {
			c.applyTo(j, r)
		}
	}
	c.indexJob(r)
}

func (c *Cell) applyTo(j *JobRow, r Record) {
	if r.Attempt != 0 && r.Kind != KindStarted && (j.State != Running || r.Attempt != j.Attempt) {
		return
	}
	switch r.Kind {
	case KindStarted:
		c.applyStarted(j, r)
	case KindFinished:
		c.succeeded(j)
		c.end(j, r, Finished)
	case KindCancelled:
		c.end(j, r, Cancelled)
	case KindParked:
		j.Limit = r.Limit
		c.end(j, r, Parked)
	case KindUnparked:
		j.State, j.Reason, j.Limit, j.Ended = Queued, "", Resources{}, time.Time{}
	case KindInterrupted:
		c.requeue(j, r)
	case KindFailed:
		c.failed(j, r)
		c.requeue(j, r)
	case KindCancelling:
		j.Cancelling = true
	}
}

func (c *Cell) applyStarted(j *JobRow, r Record) {
	j.State = Running
	j.Attempt = r.Attempt
	j.Worker = r.Worker
	j.Incarnation = r.Incarnation
	j.VM = r.VM
	j.Size = j.Need
	if r.Size != nil {
		j.Size = *r.Size
	}
	c.reserve(j)
}

func (c *Cell) end(j *JobRow, r Record, s State) {
	c.release(j)
	j.State = s
	j.Reason = r.Reason
	j.Ended = r.At
	j.Worker = ""
}

func (c *Cell) requeue(j *JobRow, r Record) {
	c.release(j)
	j.State = Queued
	j.Reason = r.Reason
	j.Worker = ""
	if r.Reason == ReasonEvicted {
		j.Evictions++
	}
	if r.Checkpoint != "" {
		j.Checkpoint = r.Checkpoint
	}
}

// reserve adds the running job j to the room taken on its worker.
func (c *Cell) reserve(j *JobRow) {
	w := c.worker(j.Worker)
	w.tasks[j.ID] = true
	w.used = w.used.Plus(j.Size)
	c.hold(j.Team, j.Size)
}

// release frees the room of j if it is running.
func (c *Cell) release(j *JobRow) {
	if j.State != Running {
		return
	}
	w := c.workers.Get(j.Worker)
	if w == nil || !w.tasks[j.ID] {
		return
	}
	delete(w.tasks, j.ID)
	delete(c.ending, j.ID)
	w.used = w.used.Minus(j.Size)
	c.hold(j.Team, Resources{}.Minus(j.Size))
}
