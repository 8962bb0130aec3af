package agent

import (
	"slices"
	"sync"
	"time"

	"rosemarygap/core/job"
)

// runKey names one run.
type runKey struct {
	task string
	run  int64
}

// runState is where a run that the owner ordered stands.
type runState int

const (
	// runOrdered waits for the worker's answer to its start.
	runOrdered runState = iota
	// runStarted was started or found on the worker.
	runStarted
	// runOver certainly never starts; it is reported until the owner moves on.
	runOver
)

// localRun is a run of the current incarnation and epoch.
type localRun struct {
	state   runState
	decided time.Time
	reason  string
	// absent is true once a list that was asked for after the decision lacks
	// the run.
	absent bool
}

// unanswered is a start without an answer.
type unanswered struct {
	at          time.Time
	incarnation int64
}

// state is what the agent believes. All fields are guarded by mu.
//
// Invariant: deadline is at least as late as any lease that a call may have
// given the current incarnation.
type state struct {
	mu      sync.Mutex
	process int64
	// leaseMax is the longest lease that a worker takes.
	leaseMax time.Duration
	worker   *job.Worker
	left     bool
	epoch    int64
	applied  int64
	// granted bounds leases, on the worker's clock.
	granted      time.Duration
	acknowledged int64
	// lists is the newest answer to a renewal, with the token listsEpoch.
	lists      job.RunList
	listsEpoch int64
	// clock and answered pair the worker's clock with the time of its answer.
	clock    time.Duration
	answered time.Time
	deadline time.Duration
	runs     map[runKey]*localRun
	traits   map[string]job.TaskTraits
	// unanswered are starts that may still take effect, on any incarnation.
	unanswered map[runKey]unanswered
	throttle   throttle
}

func newState(process int64, leaseMax time.Duration) *state {
	return &state{process: process, leaseMax: leaseMax, runs: map[runKey]*localRun{}, traits: map[string]job.TaskTraits{},
		unanswered: map[runKey]unanswered{}, throttle: newThrottle()}
}

// heartbeat takes in a heartbeat and reports whether the agent now knows of
// another incarnation, and whether anything changed that the owner must know.
func (s *state) heartbeat(w job.Worker) (renewed, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.worker
	switch {
	case old == nil:
		s.adopt(w)
		return true, true
	case w.ID == old.ID && w.Incarnation == old.Incarnation:
		if w.Sequence <= old.Sequence {
			return false, false
		}
		changed = w.Draining != old.Draining || w.Capacity != old.Capacity
		s.worker = &w
		return false, changed
	case w.Incarnation < old.Incarnation, w.ID != old.ID && w.Incarnation == old.Incarnation:
		return false, false
	}
	s.adopt(w)
	return true, true
}

// adopt makes w the worker; nothing of an earlier incarnation is left.
func (s *state) adopt(w job.Worker) {
	s.worker, s.left = &w, false
	s.lists, s.listsEpoch, s.clock, s.deadline = job.RunList{}, 0, 0, 0
	s.granted, s.acknowledged, s.answered = 0, 0, time.Time{}
	clear(s.runs)
	s.throttle = newThrottle()
}

// leave takes in the worker's departure.
func (s *state) leave(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != id || s.left {
		return false
	}
	s.left = true
	return true
}

// enter makes epoch the newest one; orders of earlier ones are void.
func (s *state) enter(epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch <= s.epoch {
		return false
	}
	s.epoch, s.applied = epoch, 0
	for k, r := range s.runs {
		if r.state == runOver {
			delete(s.runs, k)
		}
	}
	return true
}

// report returns the agent's report.
func (s *state) report(name string, wait bool, now time.Time) job.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := job.Report{Agent: name, Process: s.process, Epoch: s.epoch, LongPoll: wait, Applied: s.applied,
		Worker: s.worker, Clock: s.clock, Left: s.left}
	if wait || s.worker == nil {
		return r
	}
	r.Unreachable, r.LeaseEnded = s.silence(now)
	if s.listsEpoch != s.epoch || s.left {
		return r
	}
	r.Listed = true
	r.Running, r.Ended = slices.Clone(s.lists.Running), s.lists.Ended
	for i := range r.Running {
		row := &r.Running[i]
		row.Throttled = s.throttle.holds(runKey{row.Task, row.Run})
	}
	for k, run := range s.runs {
		if run.absent {
			r.Absent = append(r.Absent, job.AbsentRun{Task: k.task, Run: k.run, Reason: run.reason})
		}
	}
	return r
}

// silence returns how long the worker has not answered, and whether
// everything on it has certainly ended.
func (s *state) silence(now time.Time) (time.Duration, bool) {
	if s.answered.IsZero() {
		return 0, false
	}
	silent := now.Sub(s.answered)
	if silent < silentAfter {
		return 0, false
	}
	left := s.deadline - s.clock
	return silent, silent > job.AddClockDrift(left)+leaseSlack
}

// apply takes in the owner's reply and returns the orders to carry out.
func (s *state) apply(r *job.Reply, now time.Time) (orders []job.Order, acknowledged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch != s.epoch {
		return nil, false
	}
	if s.worker == nil || r.Worker != s.worker.ID || r.Incarnation != s.worker.Incarnation {
		return nil, false
	}
	s.granted = max(s.granted, r.LeaseUntil)
	acknowledged = r.Acknowledged > s.acknowledged
	s.acknowledged = max(s.acknowledged, r.Acknowledged)
	s.throttle.pressures = r.Interference
	for task, t := range r.Traits {
		s.traits[task] = t
	}
	for _, o := range r.Orders {
		if o.Sequence <= s.applied {
			continue
		}
		s.applied = o.Sequence
		if o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
			continue
		}
		if s.accept(o, now) {
			orders = append(orders, o)
		}
	}
	return orders, acknowledged
}

// accept notes an order and reports whether it is to be carried out.
func (s *state) accept(o job.Order, now time.Time) bool {
	k := runKey{o.Task, o.Run}
	if o.Kind == job.OrderStop {
		return true
	}
	if o.Traits != (job.TaskTraits{}) {
		s.traits[o.Task] = o.Traits
	}
	if s.worker.Draining || s.left {
		s.runs[k] = &localRun{state: runOver, decided: now, reason: "draining"}
		return false
	}
	s.runs[k] = &localRun{state: runOrdered, decided: now}
	return true
}

// decide notes the outcome of an order.
func (s *state) decide(o job.Order, to runState, reason string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
		return
	}
	s.runs[runKey{o.Task, o.Run}] = &localRun{state: to, decided: now, reason: reason}
}

// current reports whether o is for the worker and epoch of now, and the token
// and lease that a start carries.
func (s *state) current(o job.Order, epoch int64) (lease time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || s.worker == nil || s.left || o.Worker != s.worker.ID || o.Incarnation != s.worker.Incarnation {
		return 0, false
	}
	if o.Kind == job.OrderStart && s.worker.Draining {
		return 0, false
	}
	return s.lease(), true
}

// lease returns the end of the next lease and notes it.
func (s *state) lease() time.Duration {
	d := min(s.granted, s.clock+leaseLength)
	s.deadline = max(s.deadline, d)
	return d
}

// renewal is one call that extends the lease.
type renewal struct {
	worker       string
	incarnation  int64
	epoch        int64
	lease        time.Duration
	acknowledged int64
	// busy is true while runs are known, sharing while serving and filling
	// tasks run side by side.
	busy, sharing bool
	// unacknowledged is true while ends wait for their acknowledgement.
	unacknowledged bool
}

// nextRenewal returns the next renewal; ok is false while there is none.
func (s *state) nextRenewal() (r renewal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.left || s.epoch == 0 {
		return renewal{}, false
	}
	r = renewal{worker: s.worker.ID, incarnation: s.worker.Incarnation, epoch: s.epoch,
		acknowledged: s.acknowledged, busy: len(s.lists.Running) > 0 || len(s.runs) > 0,
		sharing: s.throttle.sharing}
	r.lease = s.lease()
	for _, e := range s.lists.Ended {
		if e.Number > s.acknowledged {
			r.unacknowledged = true
		}
	}
	return r, true
}

// listed takes in a worker's answer to r, asked for at asked. It reports
// whether the owner should hear of it at once.
func (s *state) listed(r renewal, runs job.RunList, asked, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != r.worker {
		return false
	}
	if runs.Incarnation != 0 && runs.Incarnation != s.worker.Incarnation {
		return s.reborn(runs)
	}
	if s.answered.IsZero() {
		// A former process may have given the longest lease.
		s.deadline = max(s.deadline, runs.Clock+s.leaseMax)
	}
	s.clock, s.answered = max(s.clock, runs.Clock), now
	if runs.Clock < s.lists.Clock || r.epoch != s.epoch {
		return false
	}
	news = s.listsEpoch != r.epoch || s.differs(&runs)
	s.lists, s.listsEpoch = runs, r.epoch
	return s.compare(asked) || news
}

// reborn notes an incarnation that answered before its first heartbeat. Its
// kind is unknown, so it gets no work until then.
func (s *state) reborn(runs job.RunList) bool {
	if runs.Incarnation < s.worker.Incarnation {
		return false
	}
	w := *s.worker
	w.Incarnation, w.Sequence, w.Draining = runs.Incarnation, 0, true
	s.adopt(w)
	return true
}

// differs reports whether runs began or ended since the newest lists.
func (s *state) differs(runs *job.RunList) bool {
	if len(runs.Ended) > 0 && (len(s.lists.Ended) == 0 ||
		runs.Ended[len(runs.Ended)-1].Number != s.lists.Ended[len(s.lists.Ended)-1].Number) {
		return true
	}
	return len(runs.Running) != len(s.lists.Running)
}

// compare matches the ordered runs with the lists, and reports whether one
// turned out to be absent.
func (s *state) compare(asked time.Time) bool {
	there := make(map[runKey]bool, len(s.lists.Running)+len(s.lists.Ended))
	for _, r := range s.lists.Running {
		there[runKey{r.Task, r.Run}] = true
	}
	for _, e := range s.lists.Ended {
		there[runKey{e.Task, e.Run}] = true
	}
	found := false
	for k, r := range s.runs {
		switch {
		case there[k]:
			if r.state != runOrdered {
				delete(s.runs, k)
			}
		case r.state == runOver && r.decided.Before(asked) && !r.absent:
			r.absent = true
			found = true
		}
	}
	return found
}

// forgetAbsent drops the absent runs that a report told the owner about.
func (s *state) forgetAbsent(told []job.AbsentRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range told {
		k := runKey{a.Task, a.Run}
		if r := s.runs[k]; r != nil && r.absent {
			delete(s.runs, k)
		}
	}
}

// overdue returns the starts without an answer that an earlier incarnation
// was asked for, and drops those that can no longer take effect.
func (s *state) overdue(r renewal, now time.Time) []runKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []runKey
	for k, u := range s.unanswered {
		switch {
		case now.Sub(u.at) > unansweredFor:
			delete(s.unanswered, k)
		case u.incarnation != r.incarnation:
			out = append(out, k)
		}
	}
	return out
}

// noteUnanswered notes that a start may still take effect.
func (s *state) noteUnanswered(o job.Order, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered[runKey{o.Task, o.Run}] = unanswered{now, o.Incarnation}
}

// settle notes that the start of k can no longer take effect.
func (s *state) settle(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unanswered, k)
}

// look returns what filling tasks are to be told.
func (s *state) look(worker string, now time.Time) []command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != worker {
		return nil
	}
	return s.throttle.look(s.lists.Running, s.traits, now)
}

// untold notes that a run may not know its share.
func (s *state) untold(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.sent[k] = unknownShare
}
