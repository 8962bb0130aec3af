package worker

import (
	"slices"
	"strings"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/wire"
)

// renewalsPerGrant is the number of lease renewals within one grant.
const renewalsPerGrant = 4

// maxRenewalInterval limits the time between two messages to a worker, and thereby
// the delay with which the end of a task is noticed.
const maxRenewalInterval = 1500 * time.Millisecond

// renewalInterval returns the time between two messages to a worker that responds
// and has no pending changes.
func (t Timings) renewalInterval() time.Duration {
	return min(t.Grant/renewalsPerGrant, maxRenewalInterval)
}

const (
	// idlePollDuration is how long a worker without tasks is sent messages
	// after its last announcement.
	idlePollDuration = 30 * time.Second
	// unansweredBackoffBase, doubled for each message without a response since
	// the newest report, is the delay before the next message, up to the renewal
	// interval.
	unansweredBackoffBase = 100 * time.Millisecond
)

// NoteUnanswered records that a message to a worker got no response.
func (c *Cell) NoteUnanswered(id string) {
	if w := c.workers.Get(id); w != nil {
		w.unanswered++
	}
}

// RemoveStaleWorkers removes the workers that have no tasks, are no longer
// announced, and certainly have no lease.
func (c *Cell) RemoveStaleWorkers(now time.Time) {
	var stale []string
	for id, w := range c.workers.All {
		if len(w.tasks) == 0 && now.Sub(w.lastAnnounced) > retention && c.leasesExpired(w, now) {
			stale = append(stale, id)
		}
	}
	for _, id := range stale {
		c.workers.Delete(id)
	}
}

// Commands returns the Lease messages that are due at now. It skips the workers in
// inFlight, whose response to the previous message is outstanding. It returns no
// messages if ownership was not verified for longer than Timings.Hold.
func (c *Cell) Commands(now time.Time, inFlight map[string]bool) []Command {
	if clock.Elapsed(c.lastVerified, now) > c.timings.Hold {
		return nil
	}
	var out []Command
	for _, w := range c.workers.All {
		if inFlight[w.id] || !w.address.IsValid() || !c.isDue(w, now) {
			continue
		}
		out = append(out, c.newCommand(w, now))
	}
	return out
}

// isDue reports whether a message to w is due now. A worker that does not respond
// is contacted with an exponential backoff, up to the renewal interval.
func (c *Cell) isDue(w *workerRow, now time.Time) bool {
	if len(w.tasks) == 0 && now.Sub(w.lastAnnounced) > idlePollDuration {
		return false
	}
	if w.unanswered > 0 &&
		now.Sub(w.lastSent) < backoffDelay(unansweredBackoffBase, c.timings.renewalInterval(), w.unanswered) {
		return false
	}
	if c.needsUpdate(w) {
		return true
	}
	return now.Sub(w.lastSent) >= c.timings.renewalInterval()
}

// needsUpdate reports whether the worker's tasks may differ from the desired ones,
// so that a message is due at once.
func (c *Cell) needsUpdate(w *workerRow) bool {
	if w.report == nil || w.changed {
		return true
	}
	if len(w.report.Tasks) != len(w.tasks) {
		return true
	}
	for _, t := range w.report.Tasks {
		j := c.jobs.Get(t.Job)
		if j == nil || !w.tasks[t.Job] || j.Attempt != t.Attempt || j.Cancelling || c.isEvicting(j) {
			return true
		}
	}
	return false
}

func (c *Cell) newCommand(w *workerRow, now time.Time) Command {
	w.seq++
	w.lastSent = now
	w.changed = false
	l := Lease{
		Cell:  c.id,
		Epoch: c.epoch,
		Seq:   w.seq,
		Grant: wire.Duration(c.timings.Grant),
	}
	w.setTasks(&l, c.desiredTasks(w))
	if w.canExtendLease() {
		l.Echo = w.report.Stamp
		l.HoldUntil = w.verifiedStamp.Time + wire.Duration(c.timings.Hold)
		w.extendLeaseBound(w.lastReceived.Add(withDrift(c.timings.Grant)))
	}
	return Command{Worker: w.id, Address: w.address, Lease: l, Sent: now}
}

// canExtendLease reports whether ownership was verified after the current
// incarnation of the worker had reported. Before that, Lease.HoldUntil cannot be
// expressed on the worker's clock, and a message must not extend the lease.
func (w *workerRow) canExtendLease() bool {
	return w.report != nil && w.verifiedStamp.Incarnation == w.report.Stamp.Incarnation
}

// NeedsVerification reports whether the lease of a worker cannot be extended before
// the next verification of ownership.
func (c *Cell) NeedsVerification() bool {
	for _, w := range c.workers.All {
		if w.report != nil && !w.canExtendLease() {
			return true
		}
	}
	return false
}

func (w *workerRow) extendLeaseBound(t time.Time) {
	if t.After(w.leaseBound) {
		w.leaseBound = t
	}
}

func (c *Cell) desiredTasks(w *workerRow) []DesiredTask {
	out := make([]DesiredTask, 0, len(w.tasks))
	for id := range w.tasks {
		j := c.jobs.Get(id)
		d := DesiredTask{Job: id, Attempt: j.Attempt, Need: j.Size, Payload: j.Payload,
			Checkpoint: j.Checkpoint, Action: Run, Throttle: c.throttles[id]}
		if !c.shouldRun(w, j) {
			d.Action = Stop
		} else if c.isEvicting(j) {
			d.Action, d.Reason = Stop, ReasonEvicted
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DesiredTask) int { return strings.Compare(a.Job, b.Job) })
	return out
}

// shouldRun reports whether the current attempt of j should run on w. An attempt
// that is about to be recorded as ended, or that was assigned to an earlier
// incarnation of the worker, must not be started any more.
func (c *Cell) shouldRun(w *workerRow, j *JobRow) bool {
	if w.report != nil && w.report.Stamp.Incarnation != j.Incarnation {
		return false
	}
	return !j.Cancelling && !c.ending[j.ID]
}

// maxLeaseLeft is longer than any lease. A report with a longer or a negative remaining
// time of the lease is malformed.
const maxLeaseLeft = 24 * time.Hour

// Receive processes a worker's response to cmd and reports whether it is the
// worker's first one in this epoch. Late responses to earlier messages are ignored.
func (c *Cell) Receive(cmd Command, r *Report, now time.Time) bool {
	w := c.workers.Get(cmd.Worker)
	if w == nil || r.Worker != w.id || r.Epoch != c.epoch || cmd.Lease.Epoch != c.epoch {
		return false
	}
	if w.report != nil && !isNewerStamp(r.Stamp, w.report.Stamp) {
		return false
	}
	if r.LeaseLeft < 0 || r.LeaseLeft.Std() > maxLeaseLeft {
		return false
	}
	if !w.expandDelta(r) {
		return false
	}
	first := w.report == nil
	if first || w.report.Stamp.Incarnation != r.Stamp.Incarnation {
		// The response states the remaining time of the worker's lease, so
		// the bound for leases granted by earlier owners is no longer
		// needed. Earlier incarnations may still run on another VM.
		w.priorLeaseBound = w.leaseBound
		w.leaseBound = now.Add(withDrift(r.LeaseLeft.Std()))
	}
	if !first && w.report.Stamp.Incarnation != r.Stamp.Incarnation {
		w.formerReport = w.report
	}
	w.report = r
	w.unanswered = 0
	w.lastReceived = now
	w.vmAddress = cmd.Address.Addr()
	w.capacity = r.Capacity
	w.lost = false
	c.learnSizes(w)
	return first
}

func isNewerStamp(a, b Stamp) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Time > b.Time
}

// VerifyBegin is called before a verification of ownership begins. It records which
// reports precede the verification.
func (c *Cell) VerifyBegin() {
	for _, w := range c.workers.All {
		if w.report != nil {
			w.pendingStamp = w.report.Stamp
		}
	}
}

// VerifyEnd is called after the verification of ownership that began at began
// succeeded.
func (c *Cell) VerifyEnd(began time.Time) {
	c.lastVerified = began
	for _, w := range c.workers.All {
		w.verifiedStamp = w.pendingStamp
	}
}
