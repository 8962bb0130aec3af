package worker

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Kind is the type of a journal record.
type Kind string

// The kinds of journal records.
const (
	// KindOpened opens an epoch and sets how long the next owner waits.
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
	// KindForgotten removes a job whose retention has ended.
	KindForgotten Kind = "forgotten"
	// KindTimings changes how long the next owner waits.
	KindTimings Kind = "timings"
	// KindLent and KindBorrowed transfer a part of a team's quota between
	// cells. They do not change any job.
	KindLent     Kind = "quota-lent"
	KindBorrowed Kind = "quota-borrowed"
)

// Record is one journaled decision, in most cases about one job.
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
	// Epoch is the epoch that an opening record opens.
	Epoch int64 `json:"epoch,omitempty"`
	// Wait is how long the next owner waits for a worker that it cannot reach.
	Wait wire.Duration `json:"wait,omitzero"`
	// Limit is JobRow.Limit of a job that is parked.
	Limit Resources `json:"limit,omitzero"`
	// Size is the capacity that a start reserves, if it differs from the job's
	// Need.
	Size *Resources `json:"size,omitempty"`
	// Transfer is the new total of quota that one cell has lent to another.
	Transfer *QuotaTransfer `json:"transfer,omitempty"`
}

// The reasons for queueing a job again after an attempt, or for parking it.
const (
	ReasonLeaseLapsed     status.Code = "lease-lapsed"
	ReasonRestarted       status.Code = "worker-restarted"
	ReasonEvicted         status.Code = "evicted"
	ReasonTaskFailed      status.Code = "task-failed"
	ReasonTooManyFailures status.Code = "too-many-failures"
	ReasonImpossibleJob   status.Code = "impossible-job"
)

// Apply applies one durable record to the state of the cell. After Load, job rows
// are changed nowhere else, so that replaying the journal reproduces the state. A
// record of the end of an attempt has no effect unless that attempt is the current
// one and is running.
func (c *Cell) Apply(r Record) {
	switch {
	case r.Kind == KindSubmitted && r.Job == nil, (r.Kind == KindLent || r.Kind == KindBorrowed) && r.Transfer == nil:
		// Without its content a record is malformed; a panic would end each entry that
		// loads the cell.
		return
	}
	switch r.Kind {
	case KindOpened, KindTimings:
		c.takeoverWait = r.Wait.Std()
		c.newestEpoch = max(c.newestEpoch, r.Epoch)
	case KindSubmitted:
		c.jobs.Put(r.Job.ID, JobRow{Job: *r.Job, State: Queued, Submitted: r.At})
	case KindForgotten:
		c.jobs.Delete(r.ID)
	case KindLent, KindBorrowed:
		c.applyTransfer(*r.Transfer)
	default:
		if j := c.jobs.Get(r.ID); j != nil && !j.State.Final() {
			c.applyToJob(j, r)
		}
	}
	c.indexJob(r)
}

func (c *Cell) applyToJob(j *JobRow, r Record) {
	if r.Attempt != 0 && r.Kind != KindStarted && (j.State != Running || r.Attempt != j.Attempt) {
		return
	}
	switch r.Kind {
	case KindStarted:
		c.applyStarted(j, r)
	case KindFinished:
		c.recordSuccess(j)
		c.endJob(j, r, Finished)
	case KindCancelled:
		c.endJob(j, r, Cancelled)
	case KindParked:
		j.Limit = r.Limit
		c.endJob(j, r, Parked)
	case KindUnparked:
		j.State, j.Reason, j.Limit, j.Ended = Queued, "", Resources{}, time.Time{}
	case KindInterrupted:
		c.requeue(j, r)
	case KindFailed:
		c.recordFailure(j, r)
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

func (c *Cell) endJob(j *JobRow, r Record, s State) {
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

// reserve adds the running job j to its worker and reserves its capacity there.
func (c *Cell) reserve(j *JobRow) {
	w := c.ensureWorker(j.Worker)
	w.tasks[j.ID] = true
	w.reserved = w.reserved.Plus(j.Size)
	c.addHeld(j.Team, j.Size)
}

// release frees the reserved capacity of j if the job is running.
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
	w.reserved = w.reserved.Minus(j.Size)
	c.addHeld(j.Team, Resources{}.Minus(j.Size))
}
