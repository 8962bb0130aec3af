package worker

import (
	"slices"
	"strings"
	"time"

	"rosemarygap/core/wire"
)

// renewalsPerGrant is how often a lease is renewed within one grant.
const renewalsPerGrant = 4

// maxRenewal bounds the time between two messages to a worker, and with it
// how late the end of a task is noticed.
const maxRenewal = 1500 * time.Millisecond

// renewEvery is the time between two messages to a worker in order.
func (t Timings) renewEvery() time.Duration {
	return min(t.Grant/renewalsPerGrant, maxRenewal)
}

const (
	// announcedFor is how long an idle worker is asked after its last
	// announcement.
	announcedFor = 30 * time.Second
	// missBase is the least delay after a message without an answer.
	missBase = 100 * time.Millisecond
)

// Missed notes that a message to a worker got no answer.
func (c *Cell) NoteUnanswered(id string) {
	if w := c.workers.Get(id); w != nil {
		w.misses++
	}
}

// Forget removes the workers that hold nothing, are not announced any more,
// and have certainly no lease.
func (c *Cell) RemoveStaleWorkers(now time.Time) {
	var gone []string
	for id, w := range c.workers.All {
		if len(w.tasks) == 0 && now.Sub(w.announced) > retention && c.certainlyEnded(w, now) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		c.workers.Delete(id)
	}
}

// Commands returns the lease messages that are due at now, but none to the
// workers in busy, which have not answered the last one yet.
func (c *Cell) Commands(now time.Time, busy map[string]bool) []Command {
	if now.Sub(c.lastVerified) > c.timings.Hold {
		return nil
	}
	var out []Command
	for _, w := range c.workers.All {
		if busy[w.id] || !w.address.IsValid() || !c.due(w, now) {
			continue
		}
		out = append(out, c.command(w, now))
	}
	return out
}

// due reports whether w needs a message now. One that does not answer is
// asked less and less often, but as often as a renewal is due.
func (c *Cell) due(w *workerRow, now time.Time) bool {
	if len(w.tasks) == 0 && now.Sub(w.announced) > announcedFor {
		return false
	}
	if w.misses > 0 && now.Sub(w.sent) < backoffFor(missBase, c.timings.renewEvery(), w.misses) {
		return false
	}
	if c.unsettled(w) {
		return true
	}
	return now.Sub(w.sent) >= c.timings.renewEvery()
}

// unsettled reports whether the worker's tasks differ from the desired ones.
func (c *Cell) unsettled(w *workerRow) bool {
	if w.report == nil || w.changed {
		return true
	}
	if len(w.report.Tasks) != len(w.tasks) {
		return true
	}
	for _, t := range w.report.Tasks {
		j := c.jobs.Get(t.Job)
		if j == nil || !w.tasks[t.Job] || j.Attempt != t.Attempt || j.Cancelling || c.evictingRow(j) {
			return true
		}
	}
	return false
}

func (c *Cell) command(w *workerRow, now time.Time) Command {
	w.seq++
	w.sent = now
	w.changed = false
	l := Lease{
		Cell:  c.id,
		Epoch: c.epoch,
		Seq:   w.seq,
		Grant: wire.Duration(c.timings.Grant),
	}
	w.list(&l, c.desired(w))
	if w.extendable() {
		l.Echo = w.report.Stamp
		l.HoldUntil = w.verified.Time + wire.Duration(c.timings.Hold)
		w.extend(w.received.Add(drift(c.timings.Grant)))
	}
	return Command{Worker: w.id, Address: w.address, Lease: l, Sent: now}
}

// extendable reports whether ownership was proved after the worker's present
// incarnation had reported. Before, the end of the outage hold cannot be told
// in the worker's time, and a message must extend nothing.
func (w *workerRow) extendable() bool {
	return w.report != nil && w.verified.Incarnation == w.report.Stamp.Incarnation
}

// Unproved reports whether a worker waits for the next proof of ownership.
func (c *Cell) NeedsVerification() bool {
	for _, w := range c.workers.All {
		if w.report != nil && !w.extendable() {
			return true
		}
	}
	return false
}

func (w *workerRow) extend(t time.Time) {
	if t.After(w.bound) {
		w.bound = t
	}
}

func (c *Cell) desired(w *workerRow) []DesiredTask {
	out := make([]DesiredTask, 0, len(w.tasks))
	for id := range w.tasks {
		j := c.jobs.Get(id)
		d := DesiredTask{Job: id, Attempt: j.Attempt, Need: j.Size, Payload: j.Payload,
			Checkpoint: j.Checkpoint, Action: Run, Throttle: c.throttles[id]}
		if !c.wanted(w, j) {
			d.Action = Stop
		} else if c.evictingRow(j) {
			d.Action, d.Reason = Stop, ReasonEvicted
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DesiredTask) int { return strings.Compare(a.Job, b.Job) })
	return out
}

// wanted reports whether the current attempt of j should run on w. One that
// is about to be recorded as ended, or that an earlier incarnation got, must
// not start late.
func (c *Cell) wanted(w *workerRow, j *JobRow) bool {
	if w.report != nil && w.report.Stamp.Incarnation != j.Incarnation {
		return false
	}
	return !j.Cancelling && !c.ending[j.ID]
}

// Receive takes in a worker's answer to cmd at now and reports whether this
// is the first one in this epoch. Late answers of earlier messages are
// ignored.
func (c *Cell) Receive(cmd Command, r *Report, now time.Time) bool {
	w := c.workers.Get(cmd.Worker)
	if w == nil || r.Worker != w.id || r.Epoch != c.epoch || cmd.Lease.Epoch != c.epoch {
		return false
	}
	if w.report != nil && !newerStamp(r.Stamp, w.report.Stamp) {
		return false
	}
	if !w.complete(r) {
		return false
	}
	first := w.report == nil
	if first || w.report.Stamp.Incarnation != r.Stamp.Incarnation {
		// A confirmed contact ends the wait for grants of earlier owners:
		// the worker itself says how long its lease lasts. Earlier
		// incarnations may still run on another VM.
		w.priorBound = w.bound
		w.bound = now.Add(drift(r.LeaseLeft.Std()))
	}
	w.report = r
	w.misses = 0
	w.received = now
	w.vm = cmd.Address.Addr()
	w.capacity = r.Capacity
	w.lost = false
	c.learnSizes(w)
	return first
}

func newerStamp(a, b Stamp) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Time > b.Time
}

// VerifyBegin notes the reports that precede a proof of ownership which is
// about to be sought.
func (c *Cell) VerifyBegin() {
	for _, w := range c.workers.All {
		if w.report != nil {
			w.candidate = w.report.Stamp
		}
	}
}

// VerifyEnd records that the proof which began at began succeeded.
func (c *Cell) VerifyEnd(began time.Time) {
	c.lastVerified = began
	for _, w := range c.workers.All {
		w.verified = w.candidate
	}
}
