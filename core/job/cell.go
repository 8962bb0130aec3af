package job

import (
	"slices"
	"time"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventStart is a start order, or the adoption of a run that an earlier
	// owner started.
	EventStart EventKind = "start"
	EventStop  EventKind = "stop"
	EventEnd   EventKind = "end"
	// EventAbsent is a run that is not on its worker and will never start there.
	EventAbsent EventKind = "absent"
	// EventLost is a run that ended with its worker or with the worker's lease.
	EventLost EventKind = "lost"
	// EventFinal is the end of a job.
	EventFinal EventKind = "final"
	// EventWorker is a worker that joined, restarted or ended.
	EventWorker EventKind = "worker"
	// EventUnexpectedRun is a listed run of a known task that is neither the
	// task's current run nor one that this owner adopts.
	EventUnexpectedRun EventKind = "unusual"
	// EventLate is a run that a worker listed for the first time long after the run
	// had been ordered to stop, so that its start was executed too late.
	EventLate EventKind = "late"
	// EventCold is a worker that became cold, and EventWarm one that no longer is.
	EventCold EventKind = "cold"
	EventWarm EventKind = "warm"
	// EventProbation is a failed run of a worker that is on probation.
	EventProbation EventKind = "probation"
	// EventZoneEvacuated and EventZoneReopened are the begin and the end of the
	// evacuation of a zone.
	EventZoneEvacuated EventKind = "zone-evacuated"
	EventZoneReopened  EventKind = "zone-reopened"
	// EventRoomAfterRefusal is room for a queue soon after a forecast that refused its
	// jobs; Task is the ID of the queue.
	EventRoomAfterRefusal EventKind = "room-after-refusal"
	// EventScarcityBegan and EventScarcityEnded are the begin and the end of scarcity
	// for a kind of tasks, with fair shares. Reason is the kind.
	EventScarcityBegan EventKind = "scarcity-began"
	EventScarcityEnded EventKind = "scarcity-ended"
	// EventCopyStarted is the start of a copy, and EventCopyEnded its outcome: Run and
	// Worker are those of the run that counts, or 0 and empty.
	EventCopyStarted EventKind = "copy-started"
	EventCopyEnded   EventKind = "copy-ended"
	// EventWorkerCrashed is a worker whose incarnation ended without a departure while it
	// had runs, and EventRunCrashed one of these runs, with the state of the run as reason.
	EventWorkerCrashed EventKind = "worker-crashed"
	EventRunCrashed    EventKind = "run-crashed"
	// EventGivenUp is a job that is given up as its tasks crash their workers.
	EventGivenUp EventKind = "given-up"
	// EventIsolationBegan and EventIsolationEnded are the begin and the end of the isolation
	// of a worker. Count is the number of steps with tasks that wait for one.
	EventIsolationBegan EventKind = "isolation-began"
	EventIsolationEnded EventKind = "isolation-ended"
	// EventStepWaited is the end of a span in which ready tasks of a step waited; Task is
	// the name of the step, Count the number of its waiting tasks at the begin, Elapsed the
	// length of the span and Reason why they waited.
	EventStepWaited EventKind = "step-waited"
	// EventRoomSampled is the room while tasks wait: Capacity, Free and Reserved are processors
	// of all workers in thousandths, and Count is the number of waiting tasks. Best-effort tasks
	// leave less free and reserve none.
	EventRoomSampled EventKind = "room-sampled"
	// EventOutlookWorsened means that a job can no longer meet its latency objective, or
	// no longer end while its result has a value; Reason is which.
	EventOutlookWorsened EventKind = "outlook-worsened"
	// EventExtraWork is the end of a run that does not count of a task with two runs.
	EventExtraWork EventKind = "extra-work"
)

// Event is a scheduling decision or an observed change, for the log.
type Event struct {
	Kind EventKind
	// Task is the name of the task, or the ID of the job for EventFinal.
	Task   string
	Run    int64
	Worker string
	Reason string
	// ReportAge is the age of the newest report of the worker.
	ReportAge time.Duration
	// SinceAcceptance is the time from the acceptance of the job to its first
	// start or to its end; it is 0 for other events.
	SinceAcceptance time.Duration
	// Zone is the zone for EventZoneEvacuated and EventZoneReopened. Count is then the
	// number of tasks in it, and for EventScarcityBegan the number of accounts with
	// waiting tasks.
	Zone  string
	Count int
	// Forecast is true for the end of a job for which there was a forecast.
	// ForecastError is by how much the end differs from it. TooLate is true if the
	// job ended after lateFactor times its latency objective.
	Forecast      bool
	ForecastError time.Duration
	TooLate       bool
	// Elapsed is how long room was scarce, for EventScarcityEnded, and how long the run
	// had certainly been executing, for EventRunCrashed.
	Elapsed time.Duration
	// Starting counts the runs, of the Count runs on the worker of EventWorkerCrashed, that
	// had only just started, and StartingJobs their jobs. For EventRunCrashed and EventGivenUp,
	// Count is the number of crashes under the task.
	Starting, StartingJobs int
	// ColdLeft is for how long the worker of EventCold is still cold. Slowdown is the
	// learned factor by which tasks take longer on cold workers, for EventCold and
	// EventWarm.
	ColdLeft time.Duration
	Slowdown float64
	// LostWork is the work in processor seconds that does not count, for EventExtraWork.
	LostWork float64
	// OtherWorker is the worker of the present run and Gain by how much sooner the copy is
	// expected to end, for EventCopyStarted.
	OtherWorker string
	Gain        time.Duration
	// Capacity, Free and Reserved are processors in thousandths, for EventRoomSampled.
	Capacity, Free, Reserved int
}

// sinceAcceptance returns the time from the acceptance of a job to now. It is
// never negative, though the clocks of the accepting entry and of the owner
// may differ.
func sinceAcceptance(j *jobRow, now time.Time) time.Duration { return max(0, now.Sub(j.Accepted)) }

// logEvent appends an event for the log.
func (c *Cell) logEvent(k EventKind, t *taskRow, w *workerRow, reason string, now time.Time) {
	e := Event{Kind: k, Reason: reason}
	if t != nil {
		e.Task, e.Run = t.name.String(), t.run
	}
	if w != nil {
		e.Worker, e.ReportAge = w.ID, now.Sub(w.lastReport)
	}
	c.events = append(c.events, e)
}

// Events returns the events since the last call.
func (c *Cell) Events() []Event {
	out := c.events
	c.events = nil
	return out
}

// Load adds a job that was accepted in an earlier epoch, with its durable
// progress.
func (c *Cell) Load(j Job, p Progress, now time.Time) error {
	row := c.add(j)
	if err := row.restore(p); err != nil {
		c.jobs.Delete(j.ID)
		return err
	}
	c.loadExhausted(row)
	c.loadCrashes(row, now)
	if row.started {
		row.state = Running
	}
	return nil
}

// FinishLoaded completes the loaded occurrences and jobs whose tasks were all done, and opens
// the occurrences that are due: an earlier owner may have started them without recording it.
func (c *Cell) FinishLoaded(now time.Time) {
	c.completeOccurrences(now)
	c.openDueOccurrences(now)
}

// completeOccurrences completes the occurrences whose tasks are all done and of
// which no task is assigned any more.
func (c *Cell) completeOccurrences(now time.Time) {
	for _, j := range c.jobs.All {
		for _, o := range slices.Clone(j.occurrences) {
			if o.isComplete() {
				c.completeOccurrence(j, o, now)
			}
		}
	}
}

// Len returns the number of live jobs.
func (c *Cell) Len() int { return c.jobs.Len() }

// Add adds a job that was accepted in this epoch. It does nothing if the job
// is known.
func (c *Cell) Add(j Job, now time.Time) {
	if c.jobs.Get(j.ID) != nil || c.endedJobs[j.ID] {
		return
	}
	row := c.add(j)
	row.acceptedThisEpoch = true
	if slices.ContainsFunc(j.Steps, func(s Step) bool { return s.BestEffort }) {
		c.bestEffortAt = now
	}
	c.expectEnd(row, now)
	c.observeInflow(row, now)
	if c.earlyCancellations[j.ID] {
		delete(c.earlyCancellations, j.ID)
		c.Cancel(j.ID, now)
	}
}

func (c *Cell) add(j Job) *jobRow {
	row := c.jobs.Put(j.ID, jobRow{Job: j, state: Queued, criticalPath: criticalPathOf(j.Steps), work: j.work(), account: c.shares.account(&j)})
	c.meanWork.observe(j.Queue, row.work)
	c.forecaster.observe(row)
	if j.Schedule.Times == 0 {
		row.openOccurrence(0)
		row.nextOccurrence = 1
	}
	return row
}

// LoadAgent adds an agent of the stored roster: an earlier owner may have
// sent orders to the agent.
func (c *Cell) LoadAgent(agent string) {
	c.roster[agent] = rosterRow{runsEndBy: c.ownedSince.Add(AddClockDrift(maxLeaseExtension)), durable: true}
}

// priorRunsResolved reports whether no unknown run that an earlier owner
// started can still be executing.
func (c *Cell) priorRunsResolved(now time.Time) bool {
	for _, r := range c.roster {
		if !r.resolved && now.Before(r.runsEndBy) {
			return false
		}
	}
	return true
}

// Knows reports whether the job has ended, or the cell has it and, if
// cancellation is true, its cancellation.
func (c *Cell) Knows(id string, cancellation bool) bool {
	j := c.jobs.Get(id)
	return c.endedJobs[id] || j != nil && (!cancellation || j.cancelled)
}

// Cancel cancels a job whose cancellation is durable. A job that is not known
// yet is cancelled when it is added: after a compaction of the store's history
// the job and its cancellation may arrive in either order.
func (c *Cell) Cancel(id string, now time.Time) {
	j := c.jobs.Get(id)
	switch {
	case j == nil && !c.endedJobs[id]:
		c.earlyCancellations[id] = true
	case j != nil && !j.cancelled:
		j.cancelled = true
		if j.state.IsFinal() && !j.finalDurable {
			// A durable cancellation precedes an end that is not durable.
			j.state = Running
		}
		c.endJob(j, Cancelled, now)
	}
}

// ConfirmCancellations cancels the jobs with the given IDs: those with an acknowledged
// cancellation that the store had at began or later.
func (c *Cell) ConfirmCancellations(ids []string, began, now time.Time) {
	for _, id := range ids {
		c.Cancel(id, now)
	}
	c.cancellationsKnownAt = Later(c.cancellationsKnownAt, began)
}

// endJob sets the final state of a job and stops its remaining runs.
func (c *Cell) endJob(j *jobRow, s State, now time.Time) {
	if j.state.IsFinal() {
		return
	}
	j.state = s
	c.endedJobs[j.ID] = true
	j.dirty, j.urgent = true, true
	for _, t := range j.tasks {
		if t.state == taskAssigned {
			c.stopTask(t, string(s), now)
		}
		c.stopCopy(t, string(s), now)
		c.endRace(t, nil, 0, copyLost)
	}
	c.endWaits(j, now)
	e := Event{Kind: EventFinal, Task: j.ID, Reason: string(s), SinceAcceptance: sinceAcceptance(j, now)}
	c.compareEnd(&e, j, now)
	c.events = append(c.events, e)
}

// startTask reserves capacity for a new run of t on w and orders its start.
func (c *Cell) startTask(j *jobRow, s *stepRow, t *taskRow, w *workerRow, now time.Time) {
	t.starts++
	j.occurrence(t.name.Occurrence).idleSince = time.Time{}
	t.ticket = s.advice.ticket(w, now)
	s.advice.answers = 0
	c.recordRun(s, t, w, c.runNumber(t.starts), now)
	w.enqueueStart(j, s, t, now)
	c.logEvent(EventStart, t, w, c.startReason(s.spec, w, now), now)
	if !j.ordered {
		j.ordered, j.state = true, Running
		c.events[len(c.events)-1].SinceAcceptance = sinceAcceptance(j, now)
	}
}

// Reasons for a start. Those other than ReasonPlaced are given only where placement
// depends on them.
const (
	ReasonPlaced = "placed"
	// ReasonPlacedInRack and ReasonPlacedRemote are given for a task that is placed by
	// its expected end, in the rack of its data or elsewhere.
	ReasonPlacedInRack = "placed-in-rack"
	ReasonPlacedRemote = "placed-off-rack"
	// ReasonIsolated is given for a suspect of crashes.
	ReasonIsolated = "isolated"
	// ReasonPlacedShared is given for a task of an idle job that shares the processors.
	ReasonPlacedShared = "placed-shared"
	// ReasonPlacedCold is given for a start on a cold worker that is not remote.
	ReasonPlacedCold = "placed-cold"
)

// startReason returns the reason for a start of a task of s on w, for the log.
func (c *Cell) startReason(s *Step, w *workerRow, now time.Time) string {
	switch {
	case w.isolated:
		return ReasonIsolated
	case c.usesExpectedEnd(s) && c.rackFactor(s, w) > 1:
		return ReasonPlacedRemote
	case w.isCold(now):
		return ReasonPlacedCold
	case c.usesExpectedEnd(s):
		return ReasonPlacedInRack
	}
	return ReasonPlaced
}

// markStarted records that a worker has begun a run of the job.
func (j *jobRow) markStarted() {
	if !j.started && !j.state.IsFinal() {
		j.started, j.dirty = true, true
	}
}

// runsPerEpoch is the size of the range of run numbers that each epoch has for
// one task. Retries are delayed, so no owner uses up its range.
const runsPerEpoch = 1 << 20

func (c *Cell) runNumber(starts int64) int64 { return (c.epoch-1)*runsPerEpoch + starts }

// recordRun records that the given run of t may be executing on w.
func (c *Cell) recordRun(s *stepRow, t *taskRow, w *workerRow, run int64, now time.Time) {
	if t.state == taskWaiting {
		s.waiting--
	}
	t.state, t.worker, t.run, t.step, t.spec = taskAssigned, w, run, s, s.spec
	t.orderSequence = 0
	t.running, t.stopping, t.waitingSince = false, false, time.Time{}
	t.raced, t.counted = false, false
	t.partial = t.checkpoint != ""
	t.orderedAt, t.lastProgress, t.percent = now, now, -1
	t.speed.reset()
	w.tasks[t.name] = t
	w.reserveCapacity(t.name.Job, s.spec, 1)
	c.countRun(t, s.spec, 1)
}

// reserveCapacity reserves the capacity of n tasks of a job's step; a negative
// n frees it.
func (w *workerRow) reserveCapacity(job string, s *Step, n int) {
	w.predicted.at, w.releases.at = time.Time{}, time.Time{}
	w.used.Memory += int64(n) * s.Need.Memory
	w.used.Accelerators += n * s.Need.Accelerators
	if s.BestEffort {
		w.bestEffortProcessors += n * s.Need.Processors
		w.bestEffortByImage[s.Image] += float64(n*s.Need.Processors) / processorUnit
		if w.bestEffortByImage[s.Image] < 1.0/processorUnit {
			delete(w.bestEffortByImage, s.Image)
		}
		return
	}
	w.used.Processors += n * s.Need.Processors
	if s.TailTarget > 0 {
		w.servingProcessors += n * s.Need.Processors
		k := servingJob{job, s.Image}
		if w.servingTasks[k] += n; w.servingTasks[k] == 0 {
			delete(w.servingTasks, k)
		}
	}
}

// releaseTask frees the capacity of an assigned task, which then waits again
// unless it is done.
func (c *Cell) releaseTask(s *stepRow, t *taskRow) {
	if t.state != taskAssigned {
		return
	}
	t.worker.reserveCapacity(t.name.Job, s.spec, -1)
	c.countRun(t, s.spec, -1)
	delete(t.worker.tasks, t.name)
	c.markChanged(t.worker)
	t.worker = nil
	if c.releaseRaced(t) {
		return
	}
	if t.succeeded {
		t.state, t.succeeded = taskDone, false
		return
	}
	t.state = taskWaiting
	s.waiting++
}

// stopTask orders the run of t to stop. Its capacity stays reserved until the
// run has ended.
func (c *Cell) stopTask(t *taskRow, reason string, now time.Time) {
	if t.state != taskAssigned || t.stopping {
		return
	}
	t.stopping, t.stopOrderedAt = true, now
	t.worker.enqueueOrder(Order{Kind: OrderStop, Task: t.name.String(), Run: t.run})
	c.logEvent(EventStop, t, t.worker, reason, now)
}

// enqueueOrder appends o to the pending orders of the worker's agent.
func (w *workerRow) enqueueOrder(o Order) {
	w.record.sequence++
	o.Sequence = w.record.sequence
	o.Worker, o.Incarnation = w.ID, w.Incarnation
	w.pending = append(w.pending, o)
}

// sweepInterval is how often all workers and tasks are checked for conditions
// that no message reports, such as expired leases and stalled tasks.
const sweepInterval = 100 * time.Millisecond

// Tick opens occurrences that are due, handles expired workers and tasks that
// should move, and places waiting tasks. It is called after each message and
// at least every 100 ms.
func (c *Cell) Tick(now time.Time) {
	c.shares.setTime(now)
	c.openDueOccurrences(now)
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.expireWorkers(now)
		c.logWarmWorkers(now)
		c.moveStuckTasks(now)
		c.moveThrottledTasks(now)
		c.evacuateZones(now)
		c.completeOccurrences(now)
		c.dropEndedJobs()
	}
	c.placeTasks(now)
}

// maxReportAge is the age of the newest report above which a worker is not
// considered for placement or moves; agents report every 500 ms.
const maxReportAge = 1500 * time.Millisecond

// expireWorkers releases the tasks of the workers whose leases have certainly expired, and
// removes these workers and their agents once the ends that they have listed are durable. It
// also removes the agents of the stored roster that
// never reported, once all runs on their workers have certainly ended.
func (c *Cell) expireWorkers(now time.Time) {
	var expired []string
	for agent, w := range c.workers.All {
		if !w.hasLeaseEnded(now) {
			continue
		}
		if !w.expired {
			w.expired = true
			c.releaseWorkerTasks(w, "lease-ended", now)
		}
		if c.acknowledgeEnds(w); len(w.pendingEnds) == 0 {
			expired = append(expired, agent)
		}
	}
	for _, agent := range expired {
		if w := c.workers.Get(agent); w != nil && !w.left {
			c.forecaster.missing[agent] = true
		}
		c.workers.Delete(agent)
		c.advanceGeneration(c.agents[agent])
		c.removeAgent(agent)
	}
	for agent, r := range c.roster {
		if !r.resolved && r.durable && !now.Before(r.runsEndBy) && c.workers.Get(agent) == nil {
			c.removeAgent(agent)
		}
	}
}

// hasLeaseEnded reports whether the lease of a worker whose agent is silent has certainly ended.
func (w *workerRow) hasLeaseEnded(now time.Time) bool {
	return now.Sub(w.lastReport) >= AddClockDrift(maxLeaseExtension) || !w.leaseEndsBy.IsZero() && !now.Before(w.leaseEndsBy)
}

// releaseWorkerTasks releases all tasks of w, on which nothing runs any more.
func (c *Cell) releaseWorkerTasks(w *workerRow, reason string, now time.Time) {
	for _, t := range w.sortedTasks() {
		c.loseRun(t, w, reason, now)
	}
	w.pending = nil
	c.logEvent(EventWorker, nil, w, reason, now)
}

// loseRun releases a task whose run ended without a listed end.
func (c *Cell) loseRun(t *taskRow, w *workerRow, reason string, now time.Time) {
	c.logEvent(EventLost, t, w, reason, now)
	c.logExtraWork(t, now)
	s, _ := c.jobs.Get(t.name.Job).task(t.name)
	c.releaseTask(s, t)
}

// sortedTasks returns the assigned tasks in a fixed order.
func (w *workerRow) sortedTasks() []*taskRow {
	out := make([]*taskRow, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *taskRow) int { return compareTasks(a.name, b.name) })
	return out
}

func compareTasks(a, b Task) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}
