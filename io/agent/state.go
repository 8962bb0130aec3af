package agent

import (
	"slices"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
)

// runKey identifies a run.
type runKey struct {
	task string
	run  int64
}

// runState is the state of a run that the owner ordered.
type runState int

const (
	// runOrdered means that the worker has not answered the start yet.
	runOrdered runState = iota
	// runStarted means that the worker started the run or had it already.
	runStarted
	// runClosed means that the run was refused or stopped, so that no start of it
	// can still take effect. The run is kept until it has been reported as
	// absent, the worker lists it, or a new epoch begins.
	runClosed
)

// localRun is the state of a run that the owner ordered on the current
// incarnation. It is removed once a list of runs accounts for the run.
type localRun struct {
	state     runState
	decidedAt time.Time
	reason    string
	// stopOrdered is true once the owner has ordered the run to stop.
	stopOrdered bool
	// leaseEnded is true if the agent has reported, while the start was not
	// answered, that the worker's lease had ended.
	leaseEnded bool
	// absent is true once the run is missing in a list that was requested after
	// decidedAt.
	absent bool
}

// state is what the agent knows about its worker and its orders. All fields are
// guarded by mu.
//
// Invariant: leaseDeadline is not before the end of any lease that a call may
// have granted to the current incarnation.
type state struct {
	mu sync.Mutex
	// processID is the ID of this process in its reports, a start time in
	// nanoseconds.
	processID int64
	// maxLease is the longest lease that a worker accepts.
	maxLease time.Duration
	worker   *job.Worker
	// unconfirmedHeartbeats are those of other incarnations, oldest first.
	unconfirmedHeartbeats []unconfirmedHeartbeat
	plausibility          plausibility
	// coldUntil is when the worker stops being cold by its newest heartbeat.
	coldUntil time.Time
	// departing is true once the worker has announced its departure, and left once it was
	// answered.
	departing, left bool
	// replaced is true if the worker replaced an earlier incarnation under the same ID.
	// firstClock is the worker's clock reading in its first answer.
	replaced   bool
	firstClock time.Duration
	// epoch is the newest known epoch, and applied the sequence number of
	// the last order received in it.
	epoch   int64
	applied int64
	// generation is the highest one in a reply of that epoch.
	generation int64
	// grantedUntil is the latest end of a lease that the owner allows, on the
	// worker's clock.
	grantedUntil time.Duration
	// acknowledged is the number up to which the owner has acknowledged ended
	// runs.
	acknowledged int64
	// deliveredEnds is the number up to which the owner of this epoch has received the
	// ends of the worker. goneEnds are the ends of workers that are gone, and undelivered
	// those that are still to be logged.
	deliveredEnds int64
	goneEnds      []goneEnd
	undelivered   []undeliveredEnds
	// unansweredAcknowledgements are the renewals that acknowledged ends and have no answer,
	// oldest first. acknowledgementUnanswered is true if one of them failed and the worker
	// has answered no renewal since.
	unansweredAcknowledgements []sentAcknowledgement
	acknowledgementUnanswered  bool
	// runList is the newest answer to a renewal, and runListEpoch the fencing
	// token of that renewal.
	// The renewal began at listRequestedAt.
	runList         job.RunList
	runListEpoch    int64
	listRequestedAt time.Time
	// workerClock is the newest reading of the worker's clock, and answeredAt
	// the time of the answer that had it.
	workerClock time.Duration
	answeredAt  time.Time
	// switchedAt is when an answer showed that the present incarnation had begun.
	switchedAt time.Time
	// leaseDeadline is on the worker's clock.
	leaseDeadline time.Duration
	runs          map[runKey]*localRun
	traits        map[string]job.TaskTraits
	// unansweredStarts are the starts that may still take effect, on any
	// incarnation.
	unansweredStarts map[runKey]unansweredStart
	throttle         throttle
	freshness        freshness
	// refusing is true if the worker's last call found no listener.
	refusing bool
	// begunAt is when this process began. sentAt is when the starts of the current runs were
	// first sent, and aliveAt when the worker last answered a start or a renewal.
	begunAt, aliveAt time.Time
	sentAt           map[runKey]time.Time
	// crashedRuns are the runs of earlier incarnations that ended with a crash.
	crashedRuns []crashedRun
	// maxCancellationsAge is how old the knowledge of the cancellations may be at a
	// start.
	maxCancellationsAge time.Duration
	// zone is what is known about the evacuation of the worker's zone.
	// maxEvacuationsAge is how old that may be at a start; it never changes and is 0
	// if zones cannot be evacuated.
	zone              zoneKnowledge
	maxEvacuationsAge time.Duration
}

func newState(processID int64, b platform.Bounds) *state {
	return &state{processID: processID, maxLease: b.MaxWorkerLease, maxCancellationsAge: maxCancellationsAge(b.MaxCancelDelay),
		maxEvacuationsAge: maxEvacuationsAge(b.MaxEvacuationDelay),
		runs:              map[runKey]*localRun{}, traits: map[string]job.TaskTraits{},
		begunAt:          time.Now(),
		sentAt:           map[runKey]time.Time{},
		unansweredStarts: map[runKey]unansweredStart{}, throttle: newThrottle()}
}

// setWorker makes w the worker and drops the state of the earlier incarnation,
// except for its unanswered starts. The caller holds s.mu.
func (s *state) setWorker(w job.Worker) {
	if s.worker == nil || s.worker.Zone != w.Zone {
		s.zone = zoneKnowledge{}
	}
	if s.worker != nil {
		s.recordCrash(time.Now())
		if !s.left {
			s.recordGoneEnds(endsWorkerReplaced)
		}
	}
	s.replaced, s.firstClock = s.worker != nil && s.worker.ID == w.ID, 0
	s.worker, s.left, s.departing, s.plausibility = &w, false, false, plausibility{}
	s.acknowledgementUnanswered = false
	s.runList, s.runListEpoch, s.workerClock, s.leaseDeadline = job.RunList{}, 0, 0, 0
	s.grantedUntil, s.acknowledged, s.deliveredEnds, s.answeredAt = 0, 0, 0, time.Time{}
	clear(s.runs)
	clear(s.sentAt)
	s.refusing = false
	s.throttle = newThrottle()
}

// hasLeft reports whether the worker has announced its departure and no other worker has
// sent a heartbeat since.
func (s *state) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// enterEpoch makes epoch the newest known epoch, after which orders of earlier
// epochs are ignored. It reports whether the epoch is new.
func (s *state) enterEpoch(epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch <= s.epoch {
		return false
	}
	s.epoch, s.applied, s.generation, s.deliveredEnds = epoch, 0, 0, 0
	s.freshness = freshness{}
	for k, r := range s.runs {
		if r.state == runClosed {
			delete(s.runs, k)
		}
	}
	return true
}

// report returns the report to send to the owner. A long poll has no lists
// of runs. The report has no worker while starts that were sent to an earlier
// incarnation may take effect on the current one.
func (s *state) report(name string, longPoll bool, now time.Time) job.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := job.Report{Agent: name, Process: s.processID, Epoch: s.epoch, LongPoll: longPoll, Applied: s.applied,
		Generation: s.generation, EchoesGeneration: true, Worker: s.worker, Clock: s.workerClock, Left: s.left}
	if s.worker != nil && len(s.startsInTransit(s.worker.ID, s.worker.Incarnation, now)) > 0 {
		// The owner would start the tasks of the earlier incarnation elsewhere, and
		// others here.
		r.Worker = nil
	}
	if r.Worker == nil {
		return r
	}
	r.Worker = s.describeWorker(now)
	r.Absent = append(s.reportedGoneEnds(now), s.unreportedCrashes(now)...)
	if longPoll {
		return r
	}
	r.Unreachable, r.LeaseEnded = s.unreachableFor(now)
	if r.LeaseEnded {
		// The owner may now start the tasks on other workers.
		s.abandonStarts()
	}
	if s.runListEpoch != s.epoch || s.left {
		if !s.left {
			// The worker may not answer this owner any more.
			r.Absent = append(r.Absent, s.unacknowledgedEnds()...)
		}
		return r
	}
	r.Listed = true
	r.Running, r.Ended = slices.Clone(s.runList.Running), s.runList.Ended
	for i := range r.Running {
		listed := &r.Running[i]
		listed.Throttled = s.throttle.mayBeThrottled(runKey{listed.Task, listed.Run})
	}
	for k, run := range s.runs {
		if run.absent {
			r.Absent = append(r.Absent, job.AbsentRun{Task: k.task, Run: k.run, Reason: run.reason})
		}
	}
	return r
}

// describeWorker returns the worker as its agent reports it. It counts as draining while it
// departs, and while a renewal may make it forget ends that it has not listed yet. The caller
// holds s.mu.
func (s *state) describeWorker(now time.Time) *job.Worker {
	w := *s.worker
	if w.ColdLeft > 0 {
		w.ColdLeft = max(0, s.coldUntil.Sub(now))
	}
	w.Draining = w.Draining || s.departing || s.misdirectedAcknowledgement(now) > 0
	return &w
}

// abandonStarts prevents further attempts of the starts without an answer. The
// earlier attempts granted a lease that has ended. The caller holds s.mu.
func (s *state) abandonStarts() {
	for _, r := range s.runs {
		r.leaseEnded = r.leaseEnded || r.state == runOrdered
	}
}

// unreachableFor returns how long the worker has not answered, and whether its
// lease has certainly expired. The duration is 0 below unreachableAfter, unless nothing
// listens at the worker's address. The caller holds s.mu.
func (s *state) unreachableFor(now time.Time) (time.Duration, bool) {
	if s.answeredAt.IsZero() {
		return 0, false
	}
	unreachable := now.Sub(s.answeredAt)
	if unreachable < unreachableAfter && !s.refusing {
		return 0, false
	}
	unreachable = max(unreachable, time.Millisecond)
	return unreachable, unreachable > s.leaseSinceAnswer()
}

// leaseSinceAnswer returns how long after the worker's newest answer its lease has certainly
// ended. The caller holds s.mu.
func (s *state) leaseSinceAnswer() time.Duration {
	return job.AddClockDrift(s.leaseDeadline-s.workerClock) + leaseMargin
}

// leaseLeft returns after which time the lease of the worker has certainly ended if it is not
// renewed. The result ok is false if this process has had no answer of the worker: the process
// before it may have granted any lease.
func (s *state) leaseLeft(now time.Time) (left time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.IsZero() {
		return 0, false
	}
	return s.leaseSinceAnswer() - now.Sub(s.answeredAt), true
}

// recordGeneration records the generation of a reply, which the next reports echo.
func (s *state) recordGeneration(r *job.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch == s.epoch {
		s.generation = max(s.generation, r.Generation)
	}
}

// applyReply applies the owner's reply to a report that was sent at sentAt. It returns
// the orders to execute, and whether more ended runs were acknowledged.
func (s *state) applyReply(r *job.Reply, sentAt, now time.Time) (orders []job.Order, acknowledged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch != s.epoch {
		return nil, false
	}
	if s.worker == nil || r.Worker != s.worker.ID || r.Incarnation != s.worker.Incarnation {
		return nil, false
	}
	s.grantedUntil = max(s.grantedUntil, r.LeaseUntil)
	acknowledged = r.Acknowledged > s.acknowledged
	s.acknowledged = max(s.acknowledged, r.Acknowledged)
	s.throttle.interference = r.Interference
	for task, t := range r.Traits {
		s.traits[task] = t
	}
	s.freshness.apply(r.Freshness, sentAt, now)
	s.zone.apply(r.Freshness, sentAt, now)
	r.CompleteOrders()
	for _, o := range r.Orders {
		if o.Sequence <= s.applied {
			continue
		}
		s.applied = o.Sequence
		if o.Kind != job.OrderStart && o.Kind != job.OrderStop {
			// A later build may have further kinds.
			continue
		}
		if o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
			continue
		}
		if s.acceptOrder(o, now) {
			orders = append(orders, o)
		}
	}
	return orders, acknowledged
}

// acceptOrder records an order and reports whether it must be executed. A start
// is not executed if the worker is draining or has left. The caller holds s.mu.
func (s *state) acceptOrder(o job.Order, now time.Time) bool {
	k := runKey{o.Task, o.Run}
	if o.Kind == job.OrderStop {
		if r := s.runs[k]; r != nil {
			r.stopOrdered = true
		}
		return true
	}
	if o.Traits != (job.TaskTraits{}) {
		s.traits[o.Task] = o.Traits
	}
	if s.isLeaving() {
		s.runs[k] = &localRun{state: runClosed, decidedAt: now, reason: "draining"}
		return false
	}
	s.runs[k] = &localRun{state: runOrdered, decidedAt: now}
	return true
}

// isSettled reports whether a start needs no further call: the worker has listed the run,
// or the run has been stopped or ordered to stop.
func (s *state) isSettled(o job.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[runKey{o.Task, o.Run}]
	return r == nil || r.state == runClosed || r.stopOrdered
}

// recordOutcome records the outcome of an order. The answer to a start is ignored if it
// arrives after the stop that ended the run, or after a list with the run.
func (s *state) recordOutcome(o job.Order, outcome runState, reason string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
		return
	}
	k := runKey{o.Task, o.Run}
	r := s.runs[k]
	if outcome == runStarted {
		s.aliveAt, s.refusing = now, false
	}
	if outcome == runStarted && (r == nil || r.state == runClosed) {
		return
	}
	s.runs[k] = &localRun{state: outcome, decidedAt: now, reason: reason, stopOrdered: r != nil && r.stopOrdered}
}

// recordNotSent records that a start cannot take effect, as nothing listens at the worker's
// address. No list is needed to tell that the run is absent.
func (s *state) recordNotSent(o job.Order, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
		return
	}
	s.refusing = true
	s.runs[runKey{o.Task, o.Run}] = &localRun{state: runClosed, decidedAt: now, reason: "not-sent", absent: true}
}

// recordRefusing records that nothing listens at the worker's address.
func (s *state) recordRefusing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// checkOrder reports whether o may still be executed: it must be for the
// current worker and epoch. A start may not be executed if the worker is draining or
// its lease was reported to have ended. For a start, it also returns the end of the
// lease.
func (s *state) checkOrder(o job.Order, epoch int64) (leaseUntil time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || s.worker == nil || s.left || o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
		return 0, false
	}
	if o.Kind == job.OrderStop {
		return 0, true
	}
	if r := s.runs[runKey{o.Task, o.Run}]; s.isLeaving() || r != nil && r.leaseEnded {
		return 0, false
	}
	return s.nextLease(), true
}

// nextLease returns the end of the lease for the next call, and extends
// leaseDeadline to it. The caller holds s.mu.
func (s *state) nextLease() time.Duration {
	d := min(s.grantedUntil, s.workerClock+leaseDuration)
	s.leaseDeadline = max(s.leaseDeadline, d)
	return d
}

// renewal describes a call that extends the worker's lease.
type renewal struct {
	worker       string
	incarnation  int64
	epoch        int64
	leaseUntil   time.Duration
	acknowledged int64
	// busy is true while there are runs. sharing is true while serving and
	// best-effort tasks run on the worker.
	busy, sharing bool
	// unacknowledged is true while the worker lists ended runs that are not
	// acknowledged.
	unacknowledged bool
}

// nextRenewal returns the next renewal. The result ok is false if the lease
// must not be renewed, because the worker or the owner is unknown or the worker
// left.
func (s *state) nextRenewal() (r renewal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.left || s.epoch == 0 {
		return renewal{}, false
	}
	r = renewal{worker: s.worker.ID, incarnation: s.worker.Incarnation, epoch: s.epoch,
		acknowledged: s.nextAcknowledgement(), busy: len(s.runList.Running) > 0 || len(s.runs) > 0,
		sharing: s.throttle.sharing}
	r.leaseUntil = s.nextLease()
	for _, e := range s.runList.Ended {
		if e.Number > s.acknowledged {
			r.unacknowledged = true
		}
	}
	return r, true
}

// currentWorker returns the worker and the epoch as a renewal that extends no lease. The
// result ok is false if the worker or the owner is unknown or the worker left.
func (s *state) currentWorker() (r renewal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.left || s.epoch == 0 {
		return renewal{}, false
	}
	return renewal{worker: s.worker.ID, incarnation: s.worker.Incarnation, epoch: s.epoch}, true
}

// applyRunList applies the worker's answer to r, which was requested at
// requestedAt. It reports whether a report should be sent at once.
func (s *state) applyRunList(r renewal, runs job.RunList, requestedAt, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != r.worker {
		return false
	}
	if runs.Incarnation != 0 && runs.Incarnation != s.worker.Incarnation {
		return s.setIncarnation(runs, requestedAt, now)
	}
	if s.answeredAt.IsZero() {
		// An earlier process of the agent may have granted a lease of the maximum
		// duration.
		s.leaseDeadline = max(s.leaseDeadline, runs.Clock+s.maxLease)
		s.firstClock = runs.Clock
	}
	s.workerClock, s.answeredAt, s.aliveAt, s.refusing = max(s.workerClock, runs.Clock), now, now, false
	if runs.Clock < s.runList.Clock || r.epoch != s.epoch {
		return false
	}
	changed = s.runListEpoch != r.epoch || s.differs(&runs)
	s.runList, s.runListEpoch, s.listRequestedAt = runs, r.epoch, requestedAt
	changed = s.matchRuns(requestedAt) || changed
	s.forgetSent()
	if s.left {
		s.recordGoneEnds(endsWorkerLeft)
	}
	return changed
}

// setIncarnation switches to an incarnation that answered before its first
// heartbeat, and reports whether it is a later one. That is so even if it began earlier
// by its clock, which may have been set back, if the call was made after an answer of the
// current incarnation. The capacity and the state of the new incarnation are not known
// yet, so it counts as draining and gets no work until the heartbeat. The caller holds s.mu.
func (s *state) setIncarnation(runs job.RunList, requestedAt, now time.Time) bool {
	last := job.Later(s.answeredAt, s.switchedAt)
	if runs.Incarnation < s.worker.Incarnation && (last.IsZero() || !requestedAt.After(last)) {
		return false
	}
	w := *s.worker
	w.Incarnation, w.Sequence, w.Draining, w.ColdLeft = runs.Incarnation, 0, true, 0
	s.setWorker(w)
	s.switchedAt = now
	return true
}

// differs reports whether runs has another number of running runs, or another
// last ended run, than the newest list. The caller holds s.mu.
func (s *state) differs(runs *job.RunList) bool {
	if len(runs.Ended) > 0 && (len(s.runList.Ended) == 0 ||
		runs.Ended[len(runs.Ended)-1].Number != s.runList.Ended[len(s.runList.Ended)-1].Number) {
		return true
	}
	return len(runs.Running) != len(s.runList.Running)
}

// matchRuns compares the ordered runs with the newest list. It removes those that
// are listed, marks the absent ones, and reports whether it marked any. The caller
// holds s.mu.
func (s *state) matchRuns(requestedAt time.Time) bool {
	listed := make(map[runKey]bool, len(s.runList.Running)+len(s.runList.Ended))
	for _, r := range s.runList.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	for _, e := range s.runList.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	found := false
	for k, r := range s.runs {
		switch {
		case listed[k] && r.state == runOrdered && r.leaseEnded:
			// The owner may have started the task elsewhere: the start is revoked.
		case listed[k]:
			delete(s.runs, k)
		case r.state == runClosed && r.decidedAt.Before(requestedAt) && !r.absent && !job.MayOmitEnds(s.runList.Ended):
			r.absent = true
			found = true
		}
	}
	return found
}

// removeReported removes the absent runs that the owner of an epoch received in a report.
func (s *state) removeReported(reported []job.AbsentRun, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markCrashesReported(reported, epoch)
	for _, a := range reported {
		k := runKey{a.Task, a.Run}
		// A crash of the same run may have been reported, but not that its stop was answered.
		if r := s.runs[k]; r != nil && r.absent && r.reason == a.Reason {
			delete(s.runs, k)
		}
	}
}

// throttleCommands returns the shares to send to best-effort tasks.
func (s *state) throttleCommands(worker string, now time.Time) []command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != worker {
		return nil
	}
	s.throttle.scale = job.InterferenceScale(s.worker.Capacity)
	return s.throttle.update(s.runList.Running, s.traits, now)
}

// markShareUnknown records that a run may not have received its share, so that
// the share is sent again.
func (s *state) markShareUnknown(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.sentShares[k] = unknownShare
}
