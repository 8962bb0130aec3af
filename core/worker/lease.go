package worker

import (
	"slices"
	"strings"
	"time"

	"rosemarygap/core/wire"
)

// renewalsPerGrant is how often a lease is renewed within one grant.
const renewalsPerGrant = 4

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

func (c *Cell) due(w *workerRow, now time.Time) bool {
	if c.unsettled(w) {
		return true
	}
	return now.Sub(w.sent) >= c.timings.Grant/renewalsPerGrant
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
		Tasks: c.desired(w),
	}
	if w.report != nil {
		l.Echo = w.report.Stamp
		l.HoldUntil = c.holdUntil(w)
		w.extend(w.received.Add(drift(c.timings.Grant)))
	}
	return Command{Worker: w.id, Address: w.address, Lease: l, Sent: now}
}

// holdUntil gives the end of the outage hold in the worker's own time.
func (c *Cell) holdUntil(w *workerRow) wire.Duration {
	if w.verified.Incarnation != w.report.Stamp.Incarnation {
		return w.report.Stamp.Time + wire.Duration(c.timings.Grant)
	}
	return w.verified.Time + wire.Duration(c.timings.Hold)
}

func (w *workerRow) extend(t time.Time) {
	if t.After(w.bound) {
		w.bound = t
	}
}

func (c *Cell) desired(w *workerRow) []Desired {
	out := make([]Desired, 0, len(w.tasks))
	for id := range w.tasks {
		j := c.jobs.Get(id)
		d := Desired{Job: id, Attempt: j.Attempt, Need: j.Size, Payload: j.Payload,
			Checkpoint: j.Checkpoint, Action: Run, Throttle: c.throttles[id]}
		if j.Cancelling {
			d.Action = Stop
		} else if c.evictingRow(j) {
			d.Action, d.Reason = Stop, ReasonEvicted
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Desired) int { return strings.Compare(a.Job, b.Job) })
	return out
}

// Receive takes in a worker's answer to cmd at now and reports whether this
// is the first one in this epoch. Late answers of earlier messages are
// ignored.
func (c *Cell) Receive(cmd Command, r *Report, now time.Time) bool {
	w := c.workers.Get(cmd.Worker)
	if w == nil || r.Epoch != c.epoch || cmd.Lease.Epoch != c.epoch {
		return false
	}
	if w.report != nil && !newerStamp(r.Stamp, w.report.Stamp) {
		return false
	}
	first := w.report == nil
	if first || w.report.Stamp.Incarnation != r.Stamp.Incarnation {
		// A confirmed contact ends the wait for grants of earlier owners:
		// the worker itself says how long its lease lasts.
		w.bound = now.Add(drift(r.LeaseLeft.Std()))
	}
	w.report = r
	w.received = now
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
