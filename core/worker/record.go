package worker

import (
	"time"

	"rosemarygap/core/status"
)

// Kind is the kind of a journal record.
type Kind string

// Kinds of journal records.
const (
	// KindOpened opens an epoch; it changes no job.
	KindOpened      Kind = "epoch-opened"
	KindSubmitted   Kind = "submitted"
	KindStarted     Kind = "started"
	KindFinished    Kind = "finished"
	KindInterrupted Kind = "interrupted"
	KindFailed      Kind = "failed"
	KindCancelling  Kind = "cancelling"
	KindCancelled   Kind = "cancelled"
	KindParked      Kind = "parked"
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
	Checkpoint  string      `json:"checkpoint,omitempty"`
	Reason      status.Code `json:"reason,omitempty"`
	// Size is the room that a start reserves, if it differs from the need.
	Size *Resources `json:"size,omitempty"`
	// Transfer is the total that a cell has given another.
	Transfer *Transfer `json:"transfer,omitempty"`
}

// Reasons of interruptions and parkings.
const (
	ReasonLeaseLapsed status.Code = "lease-lapsed"
	ReasonRestarted   status.Code = "worker-restarted"
	ReasonEvicted     status.Code = "evicted"
	ReasonTaskFailed  status.Code = "task-failed"
	ReasonTooMany     status.Code = "too-many-failures"
)

// Apply changes the tables by one durable record. It is the only writer of
// job rows, so that a replay of the journal gives the same tables.
func (c *Cell) Apply(r Record) {
	switch r.Kind {
	case KindSubmitted:
		c.jobs.Put(r.Job.ID, JobRow{Job: *r.Job, State: Queued, Submitted: r.At})
	case KindStarted:
		c.applyStarted(r)
	case KindFinished:
		c.end(r, Finished)
	case KindCancelled:
		c.end(r, Cancelled)
	case KindParked:
		c.end(r, Parked)
	case KindInterrupted:
		c.requeue(r, 0)
	case KindFailed:
		c.requeue(r, 1)
	case KindCancelling:
		if j := c.jobs.Get(r.ID); j != nil {
			j.Cancelling = true
		}
	case KindLent, KindBorrowed:
		c.applyTransfer(*r.Transfer)
	}
	c.indexJob(r)
}

func (c *Cell) applyStarted(r Record) {
	j := c.jobs.Get(r.ID)
	if j == nil {
		return
	}
	j.State = Running
	j.Attempt = r.Attempt
	j.Worker = r.Worker
	j.Incarnation = r.Incarnation
	j.Size = j.Need
	if r.Size != nil {
		j.Size = *r.Size
	}
	c.reserve(j)
}

func (c *Cell) end(r Record, s State) {
	j := c.jobs.Get(r.ID)
	if j == nil {
		return
	}
	c.release(j)
	j.State = s
	j.Reason = r.Reason
	j.Ended = r.At
	j.Worker = ""
}

func (c *Cell) requeue(r Record, failures int) {
	j := c.jobs.Get(r.ID)
	if j == nil {
		return
	}
	c.release(j)
	j.State = Queued
	j.Reason = r.Reason
	j.Failures += failures
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
	w := c.workers.Get(j.Worker)
	if w == nil {
		w = c.workers.Put(j.Worker, newWorkerRow(j.Worker))
	}
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
	w.used = w.used.Minus(j.Size)
	c.hold(j.Team, Resources{}.Minus(j.Size))
}
