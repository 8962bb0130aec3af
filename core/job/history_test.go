package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history runs cells against a simulated store and simulated workers. It
// simulates lost messages, restarts, and superseded owners that do not know their
// successor. It keeps its own record of what happened and checks the invariants
// with it.
type history struct {
	t       *rapid.T
	options []Option
	now     time.Time
	cfg     *Configuration
	store   durableStore
	owners  []*owner
	epoch   int64
	// remoteDataFactor is 0 in histories without placement by expected end and without
	// cold workers.
	remoteDataFactor float64
	workers          []*simWorker
	// jobs are all accepted jobs; done, failed and cancelled record what
	// really happened.
	jobs      map[string]Job
	cancelled map[string]bool
	done      map[string]bool
	// failed counts all failures, durableFailures those that were not lost in
	// a crash of the worker.
	failed, durableFailures map[string]int
	// crashed counts the crashes of workers under runs of each task, and those with which
	// the end of a run was lost: an owner cannot tell them apart.
	crashed map[string]int
	// evacuated are the evacuated zones; each worker is a zone. It is nil if zones
	// cannot be evacuated.
	evacuated map[string]bool
	// copies is true if the tasks of some jobs may have copies.
	copies bool
	// holdsReports is true if the network may deliver reports again, long after later ones.
	// heldReports are the newest ones.
	holdsReports bool
	heldReports  []heldReport
	// doneAcknowledged is when the end of a task as done was first acknowledged, or its job
	// was shown as done. failuresAcknowledged counts the acknowledged failures.
	doneAcknowledged     map[string]time.Time
	failuresAcknowledged map[string]int
}

// durableStore is the content of the store.
type durableStore struct {
	jobs      map[string]Job
	progress  map[string][]byte
	cancelled map[string]bool
	finals    map[string]State
	agents    map[string]bool
	journal   int64
}

// owner is a cell with the journal position that it expects in the store.
type owner struct {
	*Cell
	journal int64
	// storeUnreachable is true while the owner cannot reach the store;
	// unreachableWorkers has the numbers of the workers that it cannot reach.
	storeUnreachable   bool
	unreachableWorkers map[int]bool
	// bases are the reports that the owner's process holds, by agent.
	bases map[string]*ReportBases
}

// simWorker is a simulated worker with its agent.
type simWorker struct {
	number      int
	incarnation int64
	clock       time.Duration
	// epoch is the epoch of the agent, fence the highest epoch that the worker
	// has seen.
	epoch, fence int64
	// applied is the sequence of the newest order that the agent received, and
	// process the number of the agent's process.
	applied int64
	process int64
	// generation is the newest one in a reply to the agent's process in its epoch.
	generation int64
	// granted is the latest end of the lease that an owner has granted, lease
	// the end of the lease to which the agent has extended it.
	granted time.Duration
	lease   time.Duration
	// running and highestRun are run numbers by task.
	running    map[string]int64
	highestRun map[string]int64
	ended      []End
	absent     []AbsentRun
	lastEnd    int64
	dead       bool
	// numbering is that of the agent's process. Workers with odd numbers send deltas.
	numbering ReportNumbering
}

const (
	historyTick  = 100 * time.Millisecond
	historyLease = 5 * time.Second
	// historyMaxLease is the longest lease of a worker, which shortens longer ones.
	historyMaxLease = 10 * time.Second
)

func (h *history) agent(i int) string { return fmt.Sprintf("agent-%d", i) }

// takeOver adds a new owner that loads the content of the store.
func (h *history) takeOver() *owner {
	h.epoch++
	h.store.journal++
	options := append(slices.Clone(h.options), WithRemoteDataFactor(h.remoteDataFactor))
	if h.evacuated != nil {
		options = append(options, WithEvacuation(time.Second))
	}
	if h.copies {
		options = append(options, WithCopies())
	}
	o := &owner{Cell: New(h.epoch, h.now, options...), journal: h.store.journal, unreachableWorkers: map[int]bool{}, bases: map[string]*ReportBases{}}
	o.SetConfiguration(h.cfg)
	for _, a := range slices.Sorted(maps.Keys(h.store.agents)) {
		o.LoadAgent(a)
	}
	for _, id := range slices.Sorted(maps.Keys(h.store.jobs)) {
		var p Progress
		if b := h.store.progress[id]; b != nil {
			if err := json.Unmarshal(b, &p); err != nil {
				h.t.Fatal(err)
			}
		}
		if err := o.Load(h.store.jobs[id], p, h.now); err != nil {
			h.t.Fatal(err)
		}
	}
	o.FinishLoaded(h.now)
	for id := range h.store.cancelled {
		o.Cancel(id, h.now)
	}
	h.owners = append(h.owners, o)
	h.readEvacuations()
	return o
}

func (h *history) newestOwner() *owner { return h.owners[len(h.owners)-1] }

// commitWrites lets an owner write its pending changes. The write is lost if
// lostBefore is true, the answer if lostAfter is true.
func (h *history) commitWrites(o *owner, lostBefore, lostAfter bool) {
	w := o.PendingWrites(h.now, 30)
	if w.Empty() {
		return
	}
	if o.journal != h.store.journal || o.storeUnreachable || lostBefore {
		o.Abandoned(&w)
		return
	}
	for id, p := range w.Progress {
		b, err := json.Marshal(p)
		if err != nil {
			h.t.Fatal(err)
		}
		h.store.progress[id] = b
	}
	for _, f := range w.Finals {
		h.store.finals[f.ID] = f.State
		delete(h.store.jobs, f.ID)
		delete(h.store.progress, f.ID)
		delete(h.store.cancelled, f.ID)
		h.checkFinal(f)
	}
	for _, a := range w.AddedAgents {
		h.store.agents[a] = true
	}
	for _, a := range w.RemovedAgents {
		delete(h.store.agents, a)
	}
	if lostAfter {
		o.Abandoned(&w)
		return
	}
	o.Committed(&w)
}

// checkFinal checks a final state against what really happened.
func (h *history) checkFinal(f Final) {
	j := h.jobs[f.ID]
	switch f.State {
	case Done:
		for i := range j.Steps {
			for n := range j.Steps[i].Tasks {
				task := Task{f.ID, 0, i, n}.String()
				if !h.done[task] {
					h.t.Fatalf("job %s is done, but task %d.%d is not", f.ID, i, n)
				}
				h.acknowledgeDone(task)
			}
		}
	case Cancelled:
		if !h.cancelled[f.ID] {
			h.t.Fatalf("job %s is cancelled without a cancellation", f.ID)
		}
	case Failed:
		for name, n := range h.failed {
			if n >= h.cfg.Queues[0].MaxFailures && name[:16] == f.ID {
				return
			}
		}
		for name, n := range h.crashed {
			if n >= minCrashes && name[:16] == f.ID {
				return
			}
		}
		h.t.Fatalf("job %s failed without enough failures or crashes", f.ID)
	}
}

// deliverReport delivers a report of a worker to an owner, and the reply unless
// lost is true.
func (h *history) deliverReport(s *simWorker, o *owner, lost bool) {
	if s.dead || o.unreachableWorkers[s.number] || o.Epoch() < max(s.epoch, s.fence) {
		return
	}
	s.fence = o.Epoch()
	if o.Epoch() > s.epoch {
		s.epoch, s.applied, s.generation, s.absent = o.Epoch(), 0, 0, nil
	}
	r := Report{Agent: h.agent(s.number), Process: s.process, Epoch: s.epoch, Applied: s.applied,
		Clock: s.clock, Listed: true, Ended: slices.Clone(s.ended), Absent: slices.Clone(s.absent),
		Worker: &Worker{ID: h.agent(s.number), Incarnation: s.incarnation, Service: "svc", Zone: h.agent(s.number),
			Capacity: Resources{Processors: 4000, Memory: 4000}}}
	if h.remoteDataFactor > 0 {
		r.Worker.Labels = []string{fmt.Sprintf("r%d", s.number%2)}
		r.Worker.ColdLeft = time.Duration(s.number) * time.Second
	}
	for _, task := range slices.Sorted(maps.Keys(s.running)) {
		r.Running = append(r.Running, Run{Task: task, Run: s.running[task], Percent: int(h.now.UnixMilli()/100) % 100})
	}
	received := h.transmit(s, o, &r)
	if received == nil {
		return
	}
	if h.holdsReports {
		received.Generation, received.EchoesGeneration = s.generation, true
		h.hold(o, received)
		if o.IsOutdated(received) {
			s.generation = max(s.generation, o.OutdatedReply(received).Generation)
			return
		}
	}
	o.Receive(received, h.now)
	o.Tick(h.now)
	reply := o.Reply(received, h.now)
	if lost {
		return
	}
	s.generation = max(s.generation, reply.Generation)
	if reply.Base > 0 {
		s.numbering.Confirm(&r, reply.Base, o.Epoch())
	}
	s.absent = nil
	if reply.Incarnation != s.incarnation {
		return
	}
	s.granted = max(s.granted, reply.LeaseUntil)
	for len(s.ended) > 0 && s.ended[0].Number <= reply.Acknowledged {
		h.acknowledge(s.ended[0])
		s.ended = s.ended[1:]
	}
	// The worker may restart under the same ID before it receives the orders.
	crash := len(reply.Orders) > 0 && rapid.IntRange(0, 15).Draw(h.t, "restart") == 0
	if crash {
		h.restart(s)
		// The calls for the starts name a time on the clock of the former incarnation.
		s.granted = min(reply.LeaseUntil, historyMaxLease)
	}
	for _, order := range reply.Orders {
		if order.Sequence > s.applied {
			s.applied = order.Sequence
			if crash {
				order.Incarnation = s.incarnation
			}
			if order.Kind == OrderStart && h.copies && withdraws(reply.Orders, order) {
				s.absent = append(s.absent, AbsentRun{order.Task, order.Run, "withdrawn"})
				continue
			}
			h.applyOrder(s, order)
		}
	}
	s.lease = max(s.lease, min(s.granted, s.clock+historyLease))
}

// withdraws reports whether a later order stops the run of a start. Agents do not carry
// out such a start.
func withdraws(orders []Order, start Order) bool {
	return slices.ContainsFunc(orders, func(o Order) bool {
		return o.Kind == OrderStop && o.Task == start.Task && o.Run == start.Run && o.Sequence > start.Sequence
	})
}

// transmit returns the report that the owner gets for r, or nil if it asks for a whole one
// because it does not hold the base.
func (h *history) transmit(s *simWorker, o *owner, r *Report) *Report {
	if s.number%2 == 0 {
		return r
	}
	number := s.numbering.Next()
	bases := o.bases[r.Agent]
	// The owner loses its bases now and then. This is not drawn, since another draw would
	// change what the saved histories in testdata mean.
	if bases == nil || number%31 == 0 {
		bases = &ReportBases{}
		o.bases[r.Agent] = bases
	}
	copied := *r
	received := &copied
	received.Delta = DeltaContext{Enabled: true, Number: number}
	if d, ok := s.numbering.Encode(r, number, o.Epoch()); ok {
		var err error
		if received, err = bases.Expand(overWire(h.t, d)); err != nil {
			s.numbering.ResetFrom(d.Base)
			return nil
		}
		// The duration is in a query parameter of the request.
		received.Worker.ColdLeft = r.Worker.ColdLeft
	}
	if !bases.Keep(received) {
		h.t.Fatalf("report %d of %s was not kept", received.Delta.Number, r.Agent)
	}
	return received
}

// applyOrder carries out an order, and checks each start.
func (h *history) applyOrder(s *simWorker, o Order) {
	if o.Incarnation != s.incarnation {
		return
	}
	if o.Kind == OrderStop {
		if s.running[o.Task] == o.Run {
			h.endRun(s, o.Task, EndStopped)
		} else {
			s.absent = append(s.absent, AbsentRun{o.Task, o.Run, "stopped"})
		}
		s.highestRun[o.Task] = max(s.highestRun[o.Task], o.Run)
		return
	}
	if s.running[o.Task] == o.Run {
		return
	}
	if _, ok := s.running[o.Task]; ok && h.copies {
		h.t.Fatalf("run %d of %s is ordered on %d, which runs the task", o.Run, o.Task, s.number)
	}
	if o.Run <= s.highestRun[o.Task] || min(s.granted, s.clock+historyLease) <= s.clock {
		s.absent = append(s.absent, AbsentRun{o.Task, o.Run, "old"})
		return
	}
	if h.evacuated[h.agent(s.number)] {
		s.absent = append(s.absent, AbsentRun{o.Task, o.Run, "evacuated"})
		return
	}
	h.checkStart(s, o)
	s.running[o.Task] = o.Run
	s.lease = max(s.lease, min(s.granted, s.clock+historyLease))
}

// checkStart fails the test if a start violates an invariant.
func (h *history) checkStart(s *simWorker, o Order) {
	name, err := ParseTask(o.Task)
	if err != nil {
		h.t.Fatal(err)
	}
	j := h.jobs[name.Job]
	allowed := 1
	if h.copies && j.Steps[name.Step].Speculative {
		allowed = 2
	}
	for _, other := range h.workers {
		if run, ok := other.running[o.Task]; ok && !other.dead {
			if allowed--; allowed == 0 || run == o.Run {
				h.t.Fatalf("run %d of %s starts on %d while run %d is on %d", o.Run, o.Task, s.number, run, other.number)
			}
		}
	}
	if at, ok := h.doneAcknowledged[o.Task]; ok && h.now.Sub(at) > time.Second && h.mustKnowEnds(s.epoch, o) {
		h.t.Fatalf("run %d of %s starts on %d %v after its end was acknowledged", o.Run, o.Task, s.number, h.now.Sub(at))
	}
	for _, a := range j.Steps[name.Step].After {
		for n := range j.Steps[a].Tasks {
			if !h.done[Task{name.Job, 0, a, n}.String()] {
				h.t.Fatalf("%s starts before task %d.%d is done", o.Task, a, n)
			}
		}
	}
	used := j.Steps[name.Step].Need
	for task := range s.running {
		other, _ := ParseTask(task)
		used = used.Plus(h.jobs[other.Job].Steps[other.Step].Need)
	}
	if used.Processors > 4000 {
		h.t.Fatalf("%s exceeds the capacity of worker %d", o.Task, s.number)
	}
	failures := h.durableFailures[o.Task]
	if h.copies && j.Steps[name.Step].Speculative {
		// The failure of another run may not be known yet.
		failures = h.failuresAcknowledged[o.Task]
	}
	if failures >= h.cfg.Queues[0].MaxFailures {
		h.t.Fatalf("%s starts after %d failures", o.Task, failures)
	}
}

// mustKnowEnds reports whether an order of the owner of an epoch must not be of a task whose
// end was acknowledged. The ordinary starts of a replaced owner are refused by the agents,
// whose check of the age of its knowledge is not part of the simulation.
func (h *history) mustKnowEnds(epoch int64, o Order) bool {
	_, _, t := h.owners[epoch-1].findTask(o.Task)
	return epoch == h.epoch || t != nil && t.race != nil && t.race.copyRun == o.Run
}

// acknowledge records that the owner acknowledged an end.
func (h *history) acknowledge(e End) {
	switch e.Outcome {
	case EndDone:
		h.acknowledgeDone(e.Task)
	case EndFailed:
		h.failuresAcknowledged[e.Task]++
	}
}

func (h *history) acknowledgeDone(task string) {
	if _, ok := h.doneAcknowledged[task]; !ok {
		h.doneAcknowledged[task] = h.now
	}
}

// endRun ends a run and records its outcome.
func (h *history) endRun(s *simWorker, task string, outcome Outcome) {
	run := s.running[task]
	delete(s.running, task)
	s.lastEnd++
	s.ended = append(s.ended, End{Number: s.lastEnd, Task: task, Run: run, Outcome: outcome})
	s.highestRun[task] = max(s.highestRun[task], run)
	switch outcome {
	case EndDone:
		h.done[task] = true
	case EndFailed:
		if _, ok := h.doneAcknowledged[task]; ok {
			break // the failure of a run that no longer counts must not fail the job
		}
		h.failed[task]++
		h.durableFailures[task]++
	}
}

// restart simulates a crash of the worker, which loses its runs and the ends that
// were not acknowledged.
func (h *history) restart(s *simWorker) {
	for _, e := range s.ended {
		h.crashed[e.Task]++
		if _, ok := h.doneAcknowledged[e.Task]; e.Outcome == EndFailed && !ok {
			h.durableFailures[e.Task]--
		}
	}
	for task := range s.running {
		h.crashed[task]++
	}
	s.incarnation++
	s.fence = 0
	s.clock, s.granted, s.lease, s.lastEnd = 0, 0, 0, 0
	s.running, s.highestRun, s.ended, s.absent = map[string]int64{}, map[string]int64{}, nil, nil
}

// tick advances the time and ends the runs of workers whose leases have expired.
func (h *history) tick() {
	h.now = h.now.Add(historyTick)
	for _, s := range h.workers {
		s.clock += historyTick
		if !s.dead && s.granted > 0 {
			s.lease = max(s.lease, min(s.granted, s.clock+historyLease))
		}
		if s.clock > s.lease {
			for _, task := range slices.Sorted(maps.Keys(s.running)) {
				h.endRun(s, task, EndLapsed)
			}
		}
	}
}

func newHistory(t *rapid.T, options ...Option) *history {
	h := &history{t: t, options: options, now: time.Unix(1000, 0), jobs: map[string]Job{}, cancelled: map[string]bool{},
		crashed: map[string]int{}, failed: map[string]int{}, durableFailures: map[string]int{}, done: map[string]bool{},
		doneAcknowledged: map[string]time.Time{}, failuresAcknowledged: map[string]int{},
		store: durableStore{map[string]Job{}, map[string][]byte{}, map[string]bool{}, map[string]State{}, map[string]bool{}, 0},
		cfg: &Configuration{Version: 1, Queues: []Queue{{Host: "host", Prefix: "/queue/", Service: "svc",
			MaxFailures: 2, Stretch: 2, Target: time.Second}}}}
	if rapid.Bool().Draw(t, "placed by expected end") {
		h.remoteDataFactor = 1.5
	}
	for i := range 3 {
		h.workers = append(h.workers, &simWorker{number: i, incarnation: 1, process: 1,
			running: map[string]int64{}, highestRun: map[string]int64{}})
	}
	h.takeOver()
	return h
}

// checkOwnership lets an owner check its ownership, which succeeds if the owner is
// the newest one and can reach the store.
func (h *history) checkOwnership(o *owner) {
	o.BeginOwnershipCheck()
	if !o.storeUnreachable && o == h.newestOwner() {
		o.ConfirmOwnership(h.now)
	}
}

// randomEvent performs one random event and advances the time.
func (h *history) randomEvent(n int) {
	t := h.t
	s := h.workers[rapid.IntRange(0, len(h.workers)-1).Draw(t, "worker")]
	o := h.owners[max(0, len(h.owners)-1-rapid.IntRange(0, 1).Draw(t, "owner"))]
	switch rapid.IntRange(0, 15).Draw(t, "act") {
	case 0:
		steps := []Step{step(rapid.IntRange(1, 3).Draw(t, "tasks"), 1000)}
		if rapid.Bool().Draw(t, "second step") {
			steps = append(steps, step(2, 1500, 0))
		}
		if h.remoteDataFactor > 0 {
			steps[0].Rack = fmt.Sprintf("r%d", n%2)
		}
		j := testJob(n, steps...)
		if h.copies {
			h.makeCopying(&j)
		}
		h.jobs[j.ID], h.store.jobs[j.ID] = j, j
		h.newestOwner().Add(j, h.now)
	case 1:
		if len(h.store.jobs) > 0 {
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(h.store.jobs))).Draw(t, "job")
			h.cancelled[id], h.store.cancelled[id] = true, true
			h.newestOwner().Cancel(id, h.now)
		}
	case 2:
		if len(s.running) > 0 && !s.dead {
			task := rapid.SampledFrom(slices.Sorted(maps.Keys(s.running))).Draw(t, "task")
			h.endRun(s, task, rapid.SampledFrom([]Outcome{EndDone, EndDone, EndFailed}).Draw(t, "how"))
		}
	case 3:
		h.takeOver()
	case 4:
		o.unreachableWorkers[s.number] = !o.unreachableWorkers[s.number]
	case 5:
		o.storeUnreachable = !o.storeUnreachable
	case 6: // the agent restarts
		s.process++
		s.numbering = ReportNumbering{}
		s.epoch, s.applied, s.generation, s.absent = 0, 0, 0, nil
	case 8: // the worker restarts
		h.restart(s)
	case 7:
		h.commitWrites(o, rapid.Bool().Draw(t, "before"), rapid.Bool().Draw(t, "after"))
	default:
		for _, w := range h.workers {
			for _, recentOwner := range h.owners[max(0, len(h.owners)-2):] {
				h.checkOwnership(recentOwner)
				h.deliverReport(w, recentOwner, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
				h.commitWrites(recentOwner, false, false)
			}
		}
	}
	h.tick()
}

// toggleEvacuation evacuates or reopens a zone. The newest owner may not read it.
func (h *history) toggleEvacuation() {
	zone := h.agent(rapid.IntRange(0, len(h.workers)-1).Draw(h.t, "zone"))
	h.evacuated[zone] = !h.evacuated[zone]
	if rapid.Bool().Draw(h.t, "read") {
		h.readEvacuations()
	}
}

// readEvacuations tells the newest owner the evacuated zones.
func (h *history) readEvacuations() {
	var zones []string
	for zone, evacuated := range h.evacuated {
		if evacuated {
			zones = append(zones, zone)
		}
	}
	h.newestOwner().ConfirmEvacuations(zones, h.now, h.now)
}

// finishAll ends all faults and lets all jobs finish.
func (h *history) finishAll() {
	last := h.newestOwner()
	last.storeUnreachable = false
	clear(last.unreachableWorkers)
	clear(h.evacuated)
	h.readEvacuations()
	for range 400 {
		for _, s := range h.workers {
			h.checkOwnership(last)
			h.deliverReport(s, last, false)
			h.commitWrites(last, false, false)
			for _, task := range slices.Sorted(maps.Keys(s.running)) {
				h.endRun(s, task, EndDone)
			}
		}
		h.tick()
	}
	for id := range h.jobs {
		if !h.store.finals[id].IsFinal() {
			h.t.Fatalf("job %s never ends: %+v", id, h.newestOwner().jobs.Get(id))
		}
	}
}

// TestHistories checks worker capacity, step order, failure limits, that a task
// has a single run at a time, that final states match what happened, and that
// every job ends.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for n := range rapid.IntRange(5, 120).Draw(t, "length") {
			h.randomEvent(n)
		}
		h.finishAll()
	})
}

// TestHistoriesWithEvacuation checks the same while zones are evacuated and reopened, and
// agents refuse starts that the owner would not have ordered if it had known.
func TestHistoriesWithEvacuation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.evacuated = map[string]bool{}
		h.takeOver()
		for n := range rapid.IntRange(5, 120).Draw(t, "length") {
			if rapid.IntRange(0, 5).Draw(t, "evacuation") == 0 {
				h.toggleEvacuation()
			}
			h.randomEvent(n)
		}
		h.finishAll()
	})
}
