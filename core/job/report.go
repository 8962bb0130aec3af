package job

import (
	"slices"
	"time"
)

// outdates reports whether a report is of an earlier incarnation, or older than
// one that was taken in: reports on different connections may overtake each
// other, and ends of an earlier incarnation have the numbers of later ones.
func (w *workerRow) outdates(r *Report) bool {
	if r.Worker.Incarnation != w.Incarnation {
		return r.Worker.Incarnation < w.Incarnation
	}
	return r.Worker.ID == w.ID && r.Clock < w.clock
}

// formerProcess is how long a report of an agent's former process may be under
// way. After that a lower number is a new process, started while the clock of
// its VM was set back.
const formerProcess = time.Second

// Receive takes in an agent's report. It returns whether a later owner is
// known to the agent.
func (c *Cell) Receive(r *Report, now time.Time) (deposed bool) {
	if r.Epoch > c.epoch {
		return true
	}
	w := c.workers.Get(r.Agent)
	if r.Worker == nil {
		return false
	}
	if w == nil {
		w = c.workers.Put(r.Agent, workerRow{agent: r.Agent, Worker: *r.Worker, process: r.Process,
			tasks: map[Task]*taskRow{}, serves: map[servingJob]int{}, fills: usage{}})
		c.note(EventWorker, nil, w, "joined", now)
	}
	if r.Process < w.process && now.Sub(w.heard) < formerProcess || w.outdates(r) {
		return false
	}
	w.heard = now
	if r.Process != w.process {
		w.process = r.Process
		w.resend()
	}
	c.receiveWorker(w, r, now)
	if r.Epoch == c.epoch {
		w.drop(r.Applied)
	}
	if r.LongPoll {
		return false
	}
	w.unreachable, w.left = r.Unreachable, r.Left
	w.clock = max(w.clock, r.Clock)
	if r.LeaseEnded || r.Left {
		if !w.ended {
			c.lose(w, "worker-ended", now)
			c.dismiss(r.Agent)
		}
		w.ended = true
		return false
	}
	w.ended = false
	if r.Listed && r.Epoch == c.epoch {
		c.receiveLists(w, r, now)
	}
	return false
}

// resolve notes that nothing unknown can run on the agent's worker.
func (c *Cell) resolve(agent string) {
	if r, ok := c.roster[agent]; ok && !r.resolved {
		r.resolved = true
		c.roster[agent] = r
	}
}

// dismiss takes an agent out of the stored roster: nothing runs on its worker,
// and it is entered again before it gets another order. An owner that comes
// later would wait for it otherwise.
func (c *Cell) dismiss(agent string) {
	if _, ok := c.roster[agent]; ok {
		delete(c.roster, agent)
		c.forget = append(c.forget, agent)
	}
}

// Departed notes that the agent took itself out of the stored roster, which it
// does when its worker has left.
func (c *Cell) AgentDeparted(agent string) {
	if c.workers.Get(agent) == nil {
		delete(c.roster, agent)
	}
}

// resend makes all orders pending again for a new process of the agent: a
// worker takes a repeated order as done.
func (w *workerRow) resend() {
	w.pending, w.recheck = nil, true
	for _, t := range w.sorted() {
		if t.stopping {
			w.order(Order{Kind: OrderStop, Task: t.name.String(), Run: t.run})
		}
	}
}

// drop forgets the orders that the agent has received.
func (w *workerRow) drop(applied int64) {
	n := 0
	for n < len(w.pending) && w.pending[n].Sequence <= applied {
		n++
	}
	w.pending = w.pending[n:]
}

// receiveWorker takes in the heartbeat that a report passes on.
func (c *Cell) receiveWorker(w *workerRow, r *Report, now time.Time) {
	if r.Worker.ID == w.ID && r.Worker.Incarnation == w.Incarnation {
		if r.Worker.Sequence >= w.Sequence {
			w.Worker = *r.Worker
		}
		return
	}
	unseen := c.outlive(w, now)
	w.Worker = *r.Worker
	w.listed, w.processed, w.durable, w.unsettled = false, 0, 0, nil
	w.clock, w.foreign, w.health, w.pace = r.Clock, 0, health{}, pace{}
	for _, t := range unseen {
		t.stopping = false
		c.stop(t, "worker-restarted", now)
	}
	c.note(EventWorker, nil, w, "worker-restarted", now)
}

// outlive frees the tasks that an earlier incarnation of w was seen to run:
// they ended with it. It returns the others, whose starts may reach the new
// incarnation under the same id, and must be made impossible there first.
func (c *Cell) outlive(w *workerRow, now time.Time) []*taskRow {
	w.pending = nil
	var unseen []*taskRow
	for _, t := range w.sorted() {
		if !t.running {
			unseen = append(unseen, t)
			continue
		}
		c.note(EventLost, t, w, "worker-restarted", now)
		_, s, _ := c.find(t.name.String())
		c.release(s, t)
	}
	return unseen
}

// receiveLists takes in what runs and ended on a worker.
func (c *Cell) receiveLists(w *workerRow, r *Report, now time.Time) {
	first := !w.listed
	w.listed = true
	for i := range r.Ended {
		c.receiveEnd(w, &r.Ended[i], now)
	}
	for _, a := range r.Absent {
		c.receiveAbsent(w, a, now)
	}
	w.foreign = 0
	for i := range r.Running {
		c.receiveRunning(w, &r.Running[i], now)
	}
	c.stopVanished(w, r, now)
	if first {
		c.resolve(r.Agent)
	}
	c.learn(w, r, now)
	if w.recheck {
		w.recheck = false
		c.restart(w, r)
	}
	c.settle(w)
}

// restart repeats the orders to start of which the agent's new process knows
// nothing. The run number is the same, so a worker starts it once.
func (c *Cell) restart(w *workerRow, r *Report) {
	listed := make(map[string]bool, len(r.Running))
	for i := range r.Running {
		listed[r.Running[i].Task] = true
	}
	for _, t := range w.sorted() {
		if name := t.name.String(); !t.stopping && !listed[name] {
			j, s, _ := c.find(name)
			w.orderStart(j, s, t)
		}
	}
}

// orderStart orders the current run of t.
func (w *workerRow) orderStart(j *jobRow, s *stepRow, t *taskRow) {
	w.order(Order{Kind: OrderStart, Task: t.name.String(), Run: t.run, Payload: j.Payload,
		Checkpoint: t.checkpoint, Ticket: t.ticket, Traits: s.spec.traits()})
}

// receiveEnd takes in one end, once.
func (c *Cell) receiveEnd(w *workerRow, e *End, now time.Time) {
	if e.Number <= w.processed {
		return
	}
	w.processed, w.moved = e.Number, now
	j, s, t := c.find(e.Task)
	if t == nil {
		w.unsettled = append(w.unsettled, settlement{e.Number, ""})
		return
	}
	w.unsettled = append(w.unsettled, settlement{e.Number, j.ID})
	assigned := t.state == taskAssigned && t.worker == w && t.run == e.Run
	c.note(EventEnd, t, w, string(e.Outcome), now)
	if e.Checkpoint != "" && t.state != taskDone {
		t.checkpoint = e.Checkpoint
		j.dirty = true
	}
	if assigned {
		if c.policy.learns {
			c.rates.observe(j, s, t, e.Outcome, now)
		}
		c.release(s, t)
	}
	switch e.Outcome {
	case EndDone:
		c.finishTask(j, s, t, now)
	case EndFailed:
		c.failTask(j, s, t, w, e.Run, now)
	}
	c.judge(w, t, e.Outcome, now)
}

// vanishLimit is how long a run may be in no list before it is stopped for
// certain; lists are half a second apart.
const vanishLimit = 3 * time.Second

// stopVanished makes sure that runs which the worker no longer lists, though
// their ends never came, cannot be at work, so that they start anew.
func (c *Cell) stopVanished(w *workerRow, r *Report, now time.Time) {
	if r.Unreachable > 0 || len(w.pending) > 0 {
		return
	}
	for _, t := range w.sorted() {
		if !t.stopping && now.Sub(later(t.listed, t.ordered)) > vanishLimit {
			c.stop(t, "vanished", now)
		}
	}
}

// find returns the rows of a task by its name; t is nil if there is none.
func (c *Cell) find(name string) (j *jobRow, s *stepRow, t *taskRow) {
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
	if s.spec.LongRunning || t.state == taskDone {
		return
	}
	o := j.occurrence(t.name.Occurrence)
	finish := func(t *taskRow) {
		if t.state == taskAssigned {
			// A copy that is still at work elsewhere must end.
			c.stop(t, "done-elsewhere", now)
			return
		}
		s.finish(t)
	}
	if s.spec.Gang {
		for i := range s.tasks {
			finish(&s.tasks[i])
		}
	} else {
		finish(t)
	}
	j.dirty, j.urgent = true, true
	if o.complete() {
		c.complete(j, o, now)
	}
}

// complete closes an occurrence, and with the last one the job.
func (c *Cell) complete(j *jobRow, o *occurrenceRow, now time.Time) {
	if j.Schedule.Times > 0 {
		for i, other := range j.occurrences {
			if other == o {
				j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
				break
			}
		}
	}
	if j.Schedule.Times == 0 || j.next >= j.Schedule.Times && len(j.occurrences) == 0 {
		c.end(j, Done, now)
	}
}

// failTask counts a failed run, and fails the job after the last one.
func (c *Cell) failTask(j *jobRow, s *stepRow, t *taskRow, w *workerRow, run int64, now time.Time) {
	// The members of a gang fail together, as one run that all of them count.
	if slices.Contains(t.failedRuns, run) || t.state == taskDone {
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
	if q := c.queueOf(j); q != nil && q.MaxFailures > 0 && !s.spec.LongRunning && len(t.failedRuns) >= q.MaxFailures {
		c.end(j, Failed, now)
	}
}

// refusedDelay is how long a refused task waits before its next start; it
// exceeds the time of one report.
const refusedDelay = 100 * time.Millisecond

// receiveAbsent takes in that a run is not on w and never will be.
func (c *Cell) receiveAbsent(w *workerRow, a AbsentRun, now time.Time) {
	_, s, t := c.find(a.Task)
	if t == nil || t.state != taskAssigned || t.worker != w || t.run != a.Run {
		return
	}
	c.note(EventAbsent, t, w, a.Reason, now)
	c.release(s, t)
	if !t.stopping {
		t.notBefore = now.Add(refusedDelay)
		w.health.refused(now)
	}
}

// receiveRunning takes in a listed run.
func (c *Cell) receiveRunning(w *workerRow, r *Run, now time.Time) {
	j, s, t := c.find(r.Task)
	if t == nil {
		// Its job is over or unknown; until it has ended, its room is unknown.
		w.foreign++
		c.stopForeign(w, r)
		return
	}
	if t.state == taskAssigned && t.worker == w && t.run == r.Run {
		c.observeRun(j, s, t, r, now)
		return
	}
	if t.state == taskWaiting && !j.state.IsFinal() && !j.fresh {
		c.place(s, t, w, r.Run, now)
		c.observeRun(j, s, t, r, now)
		c.note(EventStart, t, w, "adopted", now)
		if !j.started {
			j.started, j.dirty, j.state = true, true, Running
		}
		return
	}
	c.note(EventUnexpectedRun, t, w, "unexpected-run", now)
	w.foreign++
	c.stopForeign(w, r)
}

func (c *Cell) observeRun(j *jobRow, s *stepRow, t *taskRow, r *Run, now time.Time) {
	t.listed = now
	if !t.running {
		t.running, t.first, t.seen = true, r.Percent, now
	}
	if r.Percent > t.percent && !s.spec.LongRunning {
		t.worker.moved = now
	}
	if r.Percent > t.percent || r.Throttled {
		t.percent, t.moved = max(t.percent, r.Percent), now
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.throttled = r.Throttled
	t.worker.vouch(t, now)
	if s.spec.BestEffort {
		t.progress.observe(t.percent, r.Throttled, now)
	}
	c.observePace(j, s, t, now)
}

// stopForeign orders the end of a run that should not be, once at a time.
func (c *Cell) stopForeign(w *workerRow, r *Run) {
	for _, o := range w.pending {
		if o.Task == r.Task && o.Run == r.Run {
			return
		}
	}
	w.order(Order{Kind: OrderStop, Task: r.Task, Run: r.Run})
}

// Reply returns the answer to a report of the agent.
func (c *Cell) Reply(r *Report) Reply {
	out := Reply{Epoch: c.epoch}
	w := c.workers.Get(r.Agent)
	if w == nil {
		return out
	}
	out.Worker, out.Incarnation = w.ID, w.Incarnation
	out.Acknowledged = w.durable
	if !w.granted() {
		// A start without a lease would be refused.
		return out
	}
	out.LeaseUntil = w.proved.clock + hold
	if c.roster[r.Agent].durable {
		out.Orders = w.pending
	}
	out.Interference = c.pressures(w)
	for i := range r.Running {
		c.addTraits(&out, r.Running[i].Task)
	}
	return out
}

// traits returns what an agent must know of the step's tasks.
func (s *Step) traits() TaskTraits { return TaskTraits{s.BestEffort, s.TailTarget, s.Image} }

func (c *Cell) addTraits(out *Reply, name string) {
	_, s, t := c.find(name)
	if t == nil || !s.spec.BestEffort && s.spec.TailTarget == 0 {
		return
	}
	if out.Traits == nil {
		out.Traits = map[string]TaskTraits{}
	}
	out.Traits[name] = s.spec.traits()
}

// HasOrders reports whether orders wait for the agent.
func (c *Cell) HasOrders(agent string) bool {
	w := c.workers.Get(agent)
	return w != nil && len(w.pending) > 0 && w.granted() && c.roster[agent].durable
}

// granted reports whether a lease can be granted on a proof of ownership that
// is later than a report of the worker's incarnation.
func (w *workerRow) granted() bool {
	return w.proved.incarnation == w.Incarnation && w.proved.clock > 0
}

// NeedsProof reports whether a worker waits for a proof of ownership before
// it can be granted its first lease.
func (c *Cell) NeedsOwnershipProof() bool {
	for _, w := range c.workers.All {
		if w.listed && !w.ended && !w.granted() {
			return true
		}
	}
	return false
}
