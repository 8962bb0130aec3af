package job

import (
	"slices"
	"time"
)

// Receive processes a report of an agent, unless it is outdated. It reports whether the
// agent knows a later epoch, so that this ownership is superseded.
func (c *Cell) Receive(r *Report, now time.Time) (superseded bool) {
	if r.Epoch > c.epoch {
		return true
	}
	c.shares.setTime(now)
	if r.Worker == nil || c.IsOutdated(r) {
		return false
	}
	w := c.workers.Get(r.Agent)
	if w == nil {
		w = c.addWorker(r, now)
	}
	if w.supersedes(r, now) {
		return false
	}
	if !w.describes(r) {
		c.advanceGeneration(w.record)
	}
	c.receiveGoneEnds(w, r, now)
	c.receiveCrashes(w, r, now)
	w.lastReport, w.leaseEndsBy, w.expired = now, time.Time{}, false
	if r.LeaseLeft > 0 {
		w.leaseEndsBy = now.Add(r.LeaseLeft)
	}
	c.markChanged(w)
	if r.Process != w.process {
		w.process = r.Process
		w.delivery = delivery{}
		w.requeueOrders()
	}
	c.receiveHeartbeat(w, r, now)
	if r.Epoch == c.epoch {
		w.dropReceivedOrders(r.Applied)
		w.delivery.update(r)
	}
	if r.LongPoll {
		return false
	}
	w.unreachable, w.left = r.Unreachable, r.Left
	w.clock = max(w.clock, r.Clock)
	listed := r.Listed && r.Epoch == c.epoch
	if r.LeaseEnded || r.Left {
		if listed {
			c.receiveEnds(w, r, now)
		}
		c.endWorker(w, r, now)
		return false
	}
	w.ended = false
	if listed {
		c.receiveLists(w, r, now)
	}
	return false
}

// addWorker adds the row of the worker that r describes.
func (c *Cell) addWorker(r *Report, now time.Time) *workerRow {
	record := c.agents[r.Agent]
	if record == nil {
		record = &agentRecord{}
		c.agents[r.Agent] = record
	}
	c.advanceGeneration(record)
	w := c.workers.Put(r.Agent, workerRow{agent: r.Agent, Worker: *r.Worker, process: r.Process, lastReport: now, record: record,
		tasks: map[Task]*taskRow{}, servingTasks: map[servingJob]int{}, bestEffortByImage: usage{}})
	c.incarnations++
	c.logEvent(EventWorker, nil, w, "joined", now)
	delete(c.forecaster.missing, r.Agent)
	w.stopLateStarts(w.startsOfFormerProcesses(now))
	return w
}

// endWorker releases the tasks of a worker whose runs have certainly ended, and
// removes its agent from the stored roster once the ends of the runs that did not end with
// the worker are durable: a later owner that does not wait for the agent learns of them from
// the store alone. If only the worker's lease has ended, a
// start order that the agent had not received when it made the report may still take
// effect once the worker answers again; such a run is ordered to stop.
func (c *Cell) endWorker(w *workerRow, r *Report, now time.Time) {
	if !w.ended || len(w.tasks) > 0 {
		c.endRuns(w, r, now)
	}
	if len(w.tasks) == 0 && c.hasDurableEnds(w, r) {
		c.removeAgent(r.Agent)
	}
}

// endRuns releases the tasks of a worker whose runs have certainly ended, except those that
// may still start.
func (c *Cell) endRuns(w *workerRow, r *Report, now time.Time) {
	w.ended = true
	received := r.Applied
	if r.Left {
		received = w.record.sequence
	} else if r.Epoch != c.epoch {
		received = 0
	}
	for _, t := range w.sortedTasks() {
		if t.orderSequence > received {
			c.stopTask(t, "worker-ended", now)
			continue
		}
		c.loseRun(t, w, "worker-ended", now)
	}
	if len(w.tasks) > 0 {
		return
	}
	w.pending = nil
	c.logEvent(EventWorker, nil, w, "worker-ended", now)
}

// resolveAgent records that no unknown run can be executing on the agent's
// worker.
func (c *Cell) resolveAgent(agent string) {
	if r, ok := c.roster[agent]; ok && !r.resolved {
		r.resolved = true
		c.roster[agent] = r
	}
}

// removeAgent removes an agent from the stored roster once nothing runs on its
// worker, as a later owner would otherwise wait for the agent. The agent is
// added again before it gets another order.
func (c *Cell) removeAgent(agent string) {
	if _, ok := c.roster[agent]; ok {
		delete(c.roster, agent)
		c.removedAgents = append(c.removedAgents, agent)
	}
}

// AgentDeparted records that the agent removed itself from the stored roster,
// which it does when its worker has left. If the agent has a worker with tasks, the
// removal was late, and the agent is stored again.
func (c *Cell) AgentDeparted(agent string) {
	if c.workers.Get(agent) == nil {
		delete(c.roster, agent)
		return
	}
	c.storeAgentAgain(agent)
}

// storeAgentAgain has an agent of the stored roster written once more before its next order.
func (c *Cell) storeAgentAgain(agent string) {
	if r, ok := c.roster[agent]; ok {
		r.durable = false
		c.roster[agent] = r
	}
}

// requeueOrders makes the stop orders pending again for a new process of the
// agent, and has the start orders checked against the next list of the worker.
// Workers ignore repeated orders.
func (w *workerRow) requeueOrders() {
	w.pending, w.checkStarts = nil, true
	for _, t := range w.sortedTasks() {
		if t.stopping {
			w.enqueueOrder(Order{Kind: OrderStop, Task: t.name.String(), Run: t.run})
		}
	}
}

// dropReceivedOrders removes the orders that the agent has received.
func (w *workerRow) dropReceivedOrders(applied int64) {
	n := 0
	for n < len(w.pending) && w.pending[n].Sequence <= applied {
		n++
	}
	w.pending = w.pending[n:]
}

// receiveHeartbeat processes the heartbeat in a report.
func (c *Cell) receiveHeartbeat(w *workerRow, r *Report, now time.Time) {
	if r.Worker.ID == w.ID && r.Worker.Incarnation == w.Incarnation {
		if r.Worker.Sequence >= w.Sequence {
			w.Worker = *r.Worker
			c.setColdLeft(w, r.Worker.ColdLeft, now)
		}
		return
	}
	var late []sentStart
	if r.Worker.ID == w.ID {
		late = w.startsOfFormerProcesses(now)
	}
	w.record.recentStarts = nil
	if w.left {
		// The agent may have removed itself from the roster for the worker that has left, and
		// its write may still be under way. The agent is stored anew before it gets an order.
		c.storeAgentAgain(w.agent)
	}
	pendingStarts := c.releaseEndedRuns(w, late, now)
	w.Worker = *r.Worker
	c.incarnations++
	w.listed, w.processedEnds, w.durableEnds, w.pendingEnds = false, 0, 0, nil
	w.clock, w.unknownRuns, w.health, w.speed = r.Clock, 0, health{}, workerSpeed{}
	w.coldSince, w.coldUntil = time.Time{}, time.Time{}
	c.setColdLeft(w, r.Worker.ColdLeft, now)
	for _, t := range pendingStarts {
		t.stopping = false
		c.stopTask(t, "worker-restarted", now)
	}
	w.stopLateStarts(late)
	c.logEvent(EventWorker, nil, w, "worker-restarted", now)
}

// releaseEndedRuns releases the tasks that an earlier incarnation of w listed as
// running, since their runs ended with that incarnation. It returns the other
// assigned tasks, and those of late: their start orders may still reach the new
// incarnation under the same ID, so the caller must order their runs to stop.
func (c *Cell) releaseEndedRuns(w *workerRow, late []sentStart, now time.Time) []*taskRow {
	w.pending = nil
	var pendingStarts []*taskRow
	for _, t := range w.sortedTasks() {
		if !t.running || isLateStart(late, t) {
			pendingStarts = append(pendingStarts, t)
			continue
		}
		c.logEvent(EventLost, t, w, "worker-restarted", now)
		c.logExtraWork(t, now)
		_, s, _ := c.findTask(t.name.String())
		c.releaseTask(s, t)
	}
	return pendingStarts
}

// receiveLists processes the lists of running, ended and absent runs of a
// worker.
func (c *Cell) receiveLists(w *workerRow, r *Report, now time.Time) {
	w.listed = true
	c.receiveEnds(w, r, now)
	for _, a := range r.Absent {
		c.receiveAbsent(w, a, now)
	}
	w.unknownRuns = 0
	for i := range r.Running {
		c.receiveRunning(w, &r.Running[i], now)
	}
	c.stopVanished(w, r, now)
	if !MayOmitEnds(r.Ended) {
		c.resolveAgent(r.Agent)
	}
	c.sampleInterference(w, r, now)
	if w.checkStarts {
		w.checkStarts = false
		c.repeatMissingStarts(w, r, now)
	}
	c.acknowledgeEnds(w)
}

// repeatMissingStarts repeats the start orders of runs that the worker does not
// list, as the agent's new process may not know them. The run number stays the
// same, so a worker starts the run only once.
func (c *Cell) repeatMissingStarts(w *workerRow, r *Report, now time.Time) {
	listed := make(map[string]bool, len(r.Running))
	for i := range r.Running {
		listed[r.Running[i].Task] = true
	}
	for _, t := range w.sortedTasks() {
		if name := t.name.String(); !t.stopping && !listed[name] {
			j, s, _ := c.findTask(name)
			w.enqueueStart(j, s, t, now)
		}
	}
}

// enqueueStart orders the start of the current run of t.
func (w *workerRow) enqueueStart(j *jobRow, s *stepRow, t *taskRow, now time.Time) {
	w.recordSentStart(t, now)
	w.enqueueOrder(Order{Kind: OrderStart, Task: t.name.String(), Run: t.run, Payload: j.Payload,
		Checkpoint: t.checkpoint, Ticket: t.ticket, Traits: s.spec.traits()})
	t.orderSequence = w.record.sequence
}

// vanishLimit is how long a run may be missing from the worker's lists before it
// is stopped; lists arrive every half second.
const vanishLimit = 3 * time.Second

// stopVanished stops runs that the worker no longer lists although their ends
// were never reported. Once they certainly do not run, their tasks can start
// again.
func (c *Cell) stopVanished(w *workerRow, r *Report, now time.Time) {
	if r.Unreachable > 0 || len(w.pending) > 0 || MayOmitEnds(r.Ended) {
		return
	}
	for _, t := range w.sortedTasks() {
		if !t.stopping && now.Sub(Later(t.lastListed, t.orderedAt)) > vanishLimit {
			c.stopTask(t, "vanished", now)
		}
	}
}

// findTask returns the rows of a task by name; t is nil if there is no such
// task.
func (c *Cell) findTask(name string) (j *jobRow, s *stepRow, t *taskRow) {
	n, err := ParseTask(name)
	if err != nil {
		return nil, nil, nil
	}
	if j = c.jobs.Get(n.Job); j == nil {
		return nil, nil, nil
	}
	s, t = j.task(n)
	return j, s, t
}

func (c *Cell) finishTask(j *jobRow, s *stepRow, t *taskRow, now time.Time) {
	if s.spec.LongRunning || t.isDone() {
		return
	}
	o := j.occurrence(t.name.Occurrence)
	finish := func(t *taskRow) {
		s.markDone(t)
		if t.state == taskAssigned {
			// Another run of the task may still be executing and must stop.
			c.stopTask(t, "done-elsewhere", now)
		}
		c.stopCopy(t, "done-elsewhere", now)
	}
	if s.spec.Gang {
		for i := range s.tasks {
			finish(&s.tasks[i])
		}
	} else {
		finish(t)
	}
	j.dirty, j.urgent = true, true
	if o.isComplete() {
		c.completeOccurrence(j, o, now)
	}
}

// completeOccurrence removes a completed occurrence of a scheduled job once none
// of its tasks is assigned. It ends the job after the last occurrence.
func (c *Cell) completeOccurrence(j *jobRow, o *occurrenceRow, now time.Time) {
	if j.Schedule.Times > 0 {
		if o.hasAssignedTasks() {
			return
		}
		for i, other := range j.occurrences {
			if other == o {
				j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
				break
			}
		}
	}
	if j.Schedule.Times == 0 || j.nextOccurrence >= j.Schedule.Times && len(j.occurrences) == 0 {
		c.endJob(j, Done, now)
	}
}

// failTask counts a failed run, and fails the job at the failure limit of its
// queue.
func (c *Cell) failTask(j *jobRow, s *stepRow, t *taskRow, w *workerRow, run int64, now time.Time) {
	// The members of a gang fail together: each counts the same run as failed.
	if slices.Contains(t.failedRuns, run) || t.isDone() {
		return
	}
	t.failedOn = append(t.failedOn, w.ID)
	members := []*taskRow{t}
	if s.spec.Gang {
		members = members[:0]
		for i := range s.tasks {
			members = append(members, &s.tasks[i])
		}
	}
	for _, m := range members {
		m.failedRuns = append(m.failedRuns, run)
	}
	j.dirty, j.urgent = true, true
	if q := c.queueOf(j); q != nil && !s.spec.LongRunning && q.isExhausted(t) && !c.waitsForOtherRun(j, s, t, now) {
		c.endJob(j, Failed, now)
	}
}

// refusedDelay is how long a refused task waits before its next start. It
// is longer than a report takes.
const refusedDelay = 100 * time.Millisecond

// receiveAbsent releases the task of a run that is not on w and will never start
// there.
func (c *Cell) receiveAbsent(w *workerRow, a AbsentRun, now time.Time) {
	_, s, t := c.findTask(a.Task)
	if t == nil || a.toldByAgent() {
		return
	}
	run := t.runOn(w, a.Run)
	if run == nil {
		return
	}
	c.logEvent(EventAbsent, run, w, a.Reason, now)
	stopping := run.stopping
	c.releaseTask(s, run)
	if !stopping {
		t.notBefore = now.Add(refusedDelay)
		if a.Reason == RefusedTicket {
			s.advice.refuseTicket(w, now)
			return
		}
		w.health.recordRefusal(now)
	}
}

// receiveRunning processes a run that w lists as running. It adopts a run that an
// earlier owner started, and stops a run that is unknown or unexpected.
func (c *Cell) receiveRunning(w *workerRow, r *Run, now time.Time) {
	j, s, t := c.findReported(r.Task, now)
	if t == nil {
		// The job has ended or is unknown, so the capacity that the run takes is
		// unknown until the run has ended.
		w.unknownRuns++
		c.stopUnknownRun(w, r)
		return
	}
	if run := t.runOn(w, r.Run); run != nil {
		c.observeRun(j, s, run, r, now)
		return
	}
	if c.adoptsCopy(j, s, t, w, r.Run) {
		c.adoptCopy(j, s, t, w, r, now)
		return
	}
	if t.state == taskWaiting && !j.state.IsFinal() && !j.acceptedThisEpoch {
		c.recordRun(s, t, w, r.Run, now)
		w.recordSentStart(t, now)
		c.shares.adopt(j, s.spec)
		t.partial = true
		c.observeRun(j, s, t, r, now)
		c.logEvent(EventStart, t, w, "adopted", now)
		j.state = Running
		return
	}
	c.logEvent(EventUnexpectedRun, t, w, "unexpected-run", now)
	w.unknownRuns++
	c.stopUnknownRun(w, r)
}

// lateStartAge is the time since the order to stop a run after which its first listing
// shows that the start was late; workers are listed every half second.
const lateStartAge = time.Second

func (c *Cell) observeRun(j *jobRow, s *stepRow, t *taskRow, r *Run, now time.Time) {
	j.markStarted()
	t.lastListed = now
	if !t.running || t.worker.unreachable > 0 {
		// The list of a worker that does not answer is an earlier one, and tells no speed.
		t.speedSince, t.speedPercent = now, r.Percent
	}
	if !t.running {
		t.running, t.firstPercent, t.firstListed, t.listedClock = true, r.Percent, now, t.worker.clock
		if t.stopping && now.Sub(t.stopOrderedAt) > lateStartAge {
			c.logEvent(EventLate, t, t.worker, "listed-after-stop", now)
		}
	}
	if r.Percent > t.percent && !s.spec.LongRunning {
		t.worker.lastProgress = now
	}
	if r.Percent > t.percent || r.Throttled {
		t.percent, t.lastProgress = max(t.percent, r.Percent), now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt, t.checkpointPercent = r.Checkpoint, now, r.Percent
	}
	t.throttled = r.Throttled
	t.exonerate(j)
	t.worker.endProbationIfReady(t, now)
	switch {
	case !s.spec.BestEffort:
	case !t.worker.isCold(now):
		t.speed.observe(t.percent, r.Throttled, now)
	case !t.speed.migrating:
		// The slow progress on a cold worker is no throttle.
		t.speed.reset()
	}
	c.observeWorkerSpeed(j, s, t, now)
}

// stopUnknownRun orders a run to stop, unless an order for the run is pending.
func (c *Cell) stopUnknownRun(w *workerRow, r *Run) {
	for _, o := range w.pending {
		if o.Task == r.Task && o.Run == r.Run {
			return
		}
	}
	w.enqueueOrder(Order{Kind: OrderStop, Task: r.Task, Run: r.Run})
}
