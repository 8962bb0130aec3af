package job

import (
	"slices"
	"time"
)

// EventKind names what a cell decided, for logs.
type EventKind string

// Kinds of events.
const (
	EventStart         EventKind = "start"
	EventStop          EventKind = "stop"
	EventEnd           EventKind = "end"
	EventAbsent        EventKind = "absent"
	EventLost          EventKind = "lost"
	EventFinal         EventKind = "final"
	EventWorker        EventKind = "worker"
	EventUnexpectedRun EventKind = "unusual"
	EventProbation     EventKind = "probation"
)

// Event is one decision or change of belief.
type Event struct {
	Kind   EventKind
	Task   string
	Run    int64
	Worker string
	Reason string
	// Age is how old the newest report behind the decision is.
	ReportAge time.Duration
	// Since is the time from the acceptance of the job to its first start or
	// to its end, for these two, else 0.
	SinceAcceptance time.Duration
}

// since returns the time from a job's acceptance to now; the clocks of the
// accepting entry and of the owner may differ.
func since(j *jobRow, now time.Time) time.Duration { return max(0, now.Sub(j.Accepted)) }

// note adds an event for the log.
func (c *Cell) note(k EventKind, t *taskRow, w *workerRow, reason string, now time.Time) {
	e := Event{Kind: k, Reason: reason}
	if t != nil {
		e.Task, e.Run = t.name.String(), t.run
	}
	if w != nil {
		e.Worker, e.ReportAge = w.ID, now.Sub(w.heard)
	}
	c.log = append(c.log, e)
}

// Events returns what was decided since the last call.
func (c *Cell) Events() []Event {
	out := c.log
	c.log = nil
	return out
}

// Load adds a job of an earlier ownership with its durable progress.
func (c *Cell) Load(j Job, p Progress, now time.Time) error {
	row := c.add(j)
	if err := row.restore(p); err != nil {
		c.jobs.Delete(j.ID)
		return err
	}
	if row.started {
		row.state = Running
	}
	return nil
}

// Finish ends loaded jobs whose tasks were all done.
func (c *Cell) FinishLoaded(now time.Time) {
	for _, j := range c.jobs.All {
		for _, o := range slices.Clone(j.occurrences) {
			if o.complete() {
				c.complete(j, o, now)
			}
		}
	}
}

// Len returns the number of live jobs.
func (c *Cell) Len() int { return c.jobs.Len() }

// Add adds a job that was accepted in this ownership. A known one is left.
func (c *Cell) Add(j Job, now time.Time) {
	if c.jobs.Get(j.ID) != nil || c.over[j.ID] {
		return
	}
	c.add(j).fresh = true
	if c.cancelled[j.ID] {
		delete(c.cancelled, j.ID)
		c.Cancel(j.ID, now)
	}
}

func (c *Cell) add(j Job) *jobRow {
	row := c.jobs.Put(j.ID, jobRow{Job: j, state: Queued, chain: chainOf(j.Steps)})
	if j.Schedule.Times == 0 {
		row.open(0)
		row.next = 1
	}
	return row
}

// LoadAgent adds an agent of the stored roster: an earlier owner may have
// sent it orders.
func (c *Cell) LoadAgent(agent string) {
	c.roster[agent] = rosterRow{until: c.opened.Add(AddClockDrift(hold)), durable: true}
}

// settled reports whether no unknown run of an earlier owner can be at work.
func (c *Cell) settled(now time.Time) bool {
	for _, r := range c.roster {
		if !r.resolved && now.Before(r.until) {
			return false
		}
	}
	return true
}

// Knows reports whether news of a job, or of its cancellation, is none.
func (c *Cell) Knows(id string, cancellation bool) bool {
	j := c.jobs.Get(id)
	return c.over[id] || j != nil && (!cancellation || j.cancelled)
}

// Cancel notes that the job's cancellation is durable. A job that is not
// known yet is cancelled once it is: after a compaction of the store's history
// the two may arrive in either order.
func (c *Cell) Cancel(id string, now time.Time) {
	j := c.jobs.Get(id)
	switch {
	case j == nil && !c.over[id]:
		c.cancelled[id] = true
	case j != nil && !j.cancelled:
		j.cancelled = true
		c.end(j, Cancelled, now)
	}
}

// end stops what is left of a job and records its final state.
func (c *Cell) end(j *jobRow, s State, now time.Time) {
	if j.state.IsFinal() {
		return
	}
	j.state = s
	c.over[j.ID] = true
	j.dirty, j.urgent = true, true
	for _, t := range j.tasks {
		if t.state == taskAssigned {
			c.stop(t, string(s), now)
		}
	}
	c.log = append(c.log, Event{Kind: EventFinal, Task: j.ID, Reason: string(s), SinceAcceptance: since(j, now)})
}

// assign reserves room for a new run of t on w and orders it.
func (c *Cell) assign(j *jobRow, s *stepRow, t *taskRow, w *workerRow, now time.Time) {
	t.starts++
	c.place(s, t, w, c.runNumber(t.starts), now)
	w.orderStart(j, s, t)
	c.note(EventStart, t, w, "placed", now)
	if !j.started {
		j.started, j.dirty = true, true
		j.state = Running
		c.log[len(c.log)-1].SinceAcceptance = since(j, now)
	}
}

// runsPerEpoch is how many runs of one task an owner may order before its
// numbers would reach those of the next owner; retries wait, so it is never
// reached.
const runsPerEpoch = 1 << 20

func (c *Cell) runNumber(starts int64) int64 { return (c.epoch-1)*runsPerEpoch + starts }

// place records that run of t may be at work on w.
func (c *Cell) place(s *stepRow, t *taskRow, w *workerRow, run int64, now time.Time) {
	if t.state == taskWaiting {
		s.waiting--
	}
	t.state, t.worker, t.run, t.spec = taskAssigned, w, run, s.spec
	t.running, t.stopping, t.waits = false, false, time.Time{}
	t.ordered, t.moved, t.percent = now, now, -1
	t.progress.restart()
	w.tasks[t.name] = t
	w.reserve(t.name.Job, s.spec, 1)
}

// reserve adds the room of n tasks of a job's step; a negative n frees it.
func (w *workerRow) reserve(job string, s *Step, n int) {
	w.used.Memory += int64(n) * s.Need.Memory
	w.used.Accelerators += n * s.Need.Accelerators
	if s.BestEffort {
		w.filling += n * s.Need.Processors
		w.fills[s.Image] += float64(n*s.Need.Processors) / processorUnit
		if w.fills[s.Image] < 1.0/processorUnit {
			delete(w.fills, s.Image)
		}
		return
	}
	w.used.Processors += n * s.Need.Processors
	if s.TailTarget > 0 {
		w.serving += n * s.Need.Processors
		k := servingJob{job, s.Image}
		if w.serves[k] += n; w.serves[k] == 0 {
			delete(w.serves, k)
		}
	}
}

// release frees the room of an assigned task, which then waits again.
func (c *Cell) release(s *stepRow, t *taskRow) {
	if t.state != taskAssigned {
		return
	}
	t.worker.reserve(t.name.Job, s.spec, -1)
	delete(t.worker.tasks, t.name)
	t.state, t.worker = taskWaiting, nil
	s.waiting++
}

// stop orders the run of t to end. Its room stays reserved until it has.
func (c *Cell) stop(t *taskRow, reason string, now time.Time) {
	if t.state != taskAssigned || t.stopping {
		return
	}
	t.stopping = true
	t.worker.order(Order{Kind: OrderStop, Task: t.name.String(), Run: t.run})
	c.note(EventStop, t, t.worker, reason, now)
}

// order queues o for the worker's agent.
func (w *workerRow) order(o Order) {
	w.sequence++
	o.Sequence = w.sequence
	o.Worker, o.Incarnation = w.ID, w.Incarnation
	w.pending = append(w.pending, o)
}

// sweepEvery is how often all workers and tasks are looked through for what
// no message tells.
const sweepEvery = 100 * time.Millisecond

// Step opens occurrences that are due, ends waits that are over, and places
// what fits. It is called after each message and at least every 100 ms.
func (c *Cell) Tick(now time.Time) {
	c.openDue(now)
	if now.Sub(c.swept) >= sweepEvery {
		c.swept = now
		c.expire(now)
		c.rescue(now)
		c.migrate(now)
		c.dropRecorded()
	}
	c.placeAll(now)
}

// openDue opens the occurrences whose time has come.
func (c *Cell) openDue(now time.Time) {
	for _, j := range c.jobs.All {
		if j.Schedule.Times == 0 || j.state.IsFinal() {
			continue
		}
		for j.next < j.Schedule.Times && !now.Before(j.Schedule.Due(j.next)) {
			j.open(j.next)
			j.next++
			j.dirty = true
		}
	}
}

// silentLimit is how long an agent may be silent before its worker is passed
// over: agents report every 500 ms.
const silentLimit = 1500 * time.Millisecond

// expire frees the tasks of workers that have certainly ended.
func (c *Cell) expire(now time.Time) {
	var gone []string
	for agent, w := range c.workers.All {
		if now.Sub(w.heard) < AddClockDrift(hold) {
			continue
		}
		c.lose(w, "lease-ended", now)
		gone = append(gone, agent)
	}
	for _, agent := range gone {
		c.workers.Delete(agent)
		c.dismiss(agent)
	}
	for agent, r := range c.roster {
		if !r.resolved && r.durable && !now.Before(r.until) && c.workers.Get(agent) == nil {
			c.dismiss(agent)
		}
	}
}

// lose frees all tasks of w, on which nothing runs any more.
func (c *Cell) lose(w *workerRow, reason string, now time.Time) {
	for _, t := range w.sorted() {
		c.note(EventLost, t, w, reason, now)
		j := c.jobs.Get(t.name.Job)
		s, _ := j.task(t.name)
		c.release(s, t)
	}
	w.pending = nil
	c.note(EventWorker, nil, w, reason, now)
}

// sorted returns the assigned tasks in a fixed order.
func (w *workerRow) sorted() []*taskRow {
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
