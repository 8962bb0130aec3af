package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the decision to copy tasks.
const (
	// copyInterval is the time between two decisions. Workers are listed every half
	// second, so little is new within a tenth.
	copyInterval = 100 * time.Millisecond
	// copyDivisor is the inverse of the share of the usable processors of a service that
	// copies may hold: a twentieth.
	copyDivisor = 20
	// minCopyRatio is how many times longer than its copy the present run must be
	// expected to take, and minCopyGain by how much at least. A wrong forecast costs
	// extra work only, not the work of the present run, so the ratio is below
	// minMoveRatio.
	minCopyRatio = 1.25
	minCopyGain  = 300 * time.Millisecond
	// minSilence is how long a worker must have been unreachable: two of its lists are
	// missing then.
	minSilence = time.Second
	// minSpeedMeasure is how long a run must be listed before its own speed counts: two
	// lists. With 1.2 s, 68 of 2,800 urgent jobs less were on time in the simulated load of
	// slow workers.
	minSpeedMeasure = 600 * time.Millisecond
	// maxCopies limits the copies of one task, as maxMigrations does the migrations.
	maxCopies = 2
	// maxCopiesPerDecision limits the copies of one decision, and maxCopyAttempts the tasks
	// that are compared with all workers. With 240 workers a decision would otherwise take
	// tens of milliseconds; the other tasks wait for the next one.
	maxCopiesPerDecision = 8
	maxCopyAttempts      = 16
	// maxOwnershipAge is the age of the newest ownership check above which nothing is
	// copied. To an owner that was replaced, workers that report to its successor look
	// silent, and their tasks may have ended there. The check is repeated every 350 ms.
	maxOwnershipAge = 500 * time.Millisecond
)

// copyReason is the reason for a copy.
type copyReason string

// Reasons for a copy: the present run is much slower than its kind, is on a worker that is
// unreachable and not given up, or is on a worker that fails tasks.
const (
	copySlow    copyReason = "slow"
	copySilent  copyReason = "silent"
	copyFailing copyReason = "failing"
)

// copyWish is a task of which a copy is expected to end sooner.
type copyWish struct {
	candidate
	task   *taskRow
	reason copyReason
	// kindTime is the run time of a task of its kind. here is how long the present run,
	// and there how long a copy on a worker of the expected speed, is expected to take.
	kindTime, here, there time.Duration
	// rescues is true if the job would miss its latency objective by the present run and
	// would meet it by the copy.
	rescues bool
}

func (x *copyWish) gain() time.Duration { return x.here - x.there }

// hasMargin reports whether a copy that takes the given time ends sooner than the present
// run by the margin.
func (x *copyWish) hasMargin(there time.Duration) bool {
	return x.here >= times(there, minCopyRatio) && x.here-there >= minCopyGain
}

// copyStep is what a decision knows about a step whose tasks may be copied.
type copyStep struct {
	candidate
	allowed bool
	// kindTime is the run time of a task of the step, and after how long the steps after it
	// take, if it is on the critical path.
	kindTime, after time.Duration
}

// copyDecision is the decision about the copies of one tick.
type copyDecision struct {
	cell *Cell
	now  time.Time
	// resolved is true if no unknown run of an earlier owner can be executing.
	resolved bool
	steps    map[*stepRow]*copyStep
	// waiting are the candidates that placement left with waiting tasks, one for each kind
	// of tasks that need the same.
	waiting []*candidate
	// allowed are the processors that further copies may hold, by service.
	allowed map[string]int
	// contested holds, for each worker asked about, whether a waiting task can use it.
	contested map[*workerRow]bool
	// free are the workers that may get a copy, by service.
	free map[string][]*workerRow
}

// waitingKind are the properties of a candidate by which workers can be used by it. The step
// is set only for those whose tickets tell.
type waitingKind struct {
	service, label string
	priority       int
	need           Resources
	bestEffort     bool
	step           *stepRow
}

// setWaiting sets the candidates with waiting tasks.
func (d *copyDecision) setWaiting(all []candidate) {
	seen := map[waitingKind]bool{}
	for i := range all {
		k := &all[i]
		s := k.step.spec
		kind := waitingKind{k.queue.Service, s.Label, k.queue.Priority, s.Need, s.BestEffort, nil}
		if k.queue.RequiresTicket {
			kind.step = k.step
		}
		if k.step.waiting > 0 && !seen[kind] {
			seen[kind] = true
			d.waiting = append(d.waiting, k)
		}
	}
}

// copyTasks starts copies of tasks that are expected to end late by their present run.
// The candidates are those of the placement that was just made: copies take only what
// it left.
func (c *Cell) copyTasks(all []candidate, now time.Time) {
	p := &c.copies
	if !p.enabled || now.Sub(p.decidedAt) < copyInterval || Age(c.ownershipConfirmedAt, now) > maxOwnershipAge {
		return
	}
	p.decidedAt = now
	d := &copyDecision{cell: c, now: now, resolved: c.priorRunsResolved(now), steps: map[*stepRow]*copyStep{}, contested: map[*workerRow]bool{}}
	wishes := d.wishes()
	if len(wishes) == 0 {
		return
	}
	d.setAllowed()
	d.setWaiting(all)
	started, attempts := 0, 0
	for i := range wishes {
		x := &wishes[i]
		if d.allowed[x.queue.Service] < x.step.spec.Need.Processors {
			continue
		}
		if attempts++; d.place(x) {
			started++
		}
		if started == maxCopiesPerDecision || attempts == maxCopyAttempts {
			return
		}
	}
}

// wishes returns the tasks to copy: those first whose jobs a copy keeps on time, then by
// what they gain.
func (d *copyDecision) wishes() []copyWish {
	var out []copyWish
	for _, w := range d.cell.workers.All {
		for _, t := range w.tasks {
			if !t.spec.Speculative {
				continue
			}
			if x, ok := d.wish(w, t); ok {
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, func(a, b copyWish) int {
		return cmp.Or(cmp.Compare(boolRank(b.rescues), boolRank(a.rescues)), cmp.Compare(b.gain(), a.gain()), compareTasks(a.task.name, b.task.name))
	})
	return out
}

// wish returns the forecast for a copy of t, and whether t is to be copied.
func (d *copyDecision) wish(w *workerRow, t *taskRow) (copyWish, bool) {
	if t.hasOtherRun() || t.race != nil || len(t.crashes) > 0 || t.stopping || t.isDone() || t.copies >= maxCopies {
		return copyWish{}, false
	}
	s := d.step(t)
	if !s.allowed || s.queue.isExhausted(t) {
		return copyWish{}, false
	}
	x := copyWish{task: t, candidate: s.candidate, kindTime: s.kindTime, there: t.copyTime(s.kindTime)}
	if x.reason, x.here = d.presentRun(w, t, x.kindTime); x.reason == "" || !x.hasMargin(x.there) {
		return copyWish{}, false
	}
	x.rescues = d.now.Add(x.here+s.after).After(x.deadline) && !d.now.Add(x.there+s.after).After(x.deadline)
	return x, true
}

// step returns what the decision knows about the step of t.
func (d *copyDecision) step(t *taskRow) *copyStep {
	row := t.step
	if s := d.steps[row]; s != nil {
		return s
	}
	c := d.cell
	j := c.jobs.Get(t.name.Job)
	s := &copyStep{candidate: candidate{job: j, occ: j.occurrence(t.name.Occurrence), step: row, number: t.name.Step, queue: c.queueOf(j)}}
	d.steps[row] = s
	if j.state.IsFinal() || !d.resolved && !j.acceptedThisEpoch || !c.mayCopy(j, t.spec) {
		return s
	}
	s.deadline, s.timeliness = c.forecast(j, s.occ, s.queue, d.now)
	s.kindTime = c.kindTime(j, row)
	s.after = max(0, c.runTimeRatios.remaining(j, s.occ)-c.runTimeRatios.estimate(j, row))
	s.allowed = s.timeliness != tooLate && s.kindTime > 0
	return s
}

// kindTime returns the run time of a task of s on a worker of the expected speed: what the
// tasks of the step took that are done, or the estimate if that is longer. An estimate that
// is too short must not make all tasks of a step look slow.
func (c *Cell) kindTime(j *jobRow, s *stepRow) time.Duration {
	var sum time.Duration
	n := 0
	for i := range s.tasks {
		if d := s.tasks[i].runTime; d > 0 {
			sum += d
			n++
		}
	}
	return max(c.runTimeRatios.estimate(j, s), sum/time.Duration(max(n, 1)))
}

// copyTime returns how long a copy of t takes that would run for d from its begin.
func (t *taskRow) copyTime(d time.Duration) time.Duration {
	if t.spec.Checkpoints && t.checkpoint != "" {
		d = times(d, float64(fullPercent-t.checkpointPercent)/fullPercent)
	}
	return restoreTime + d
}

// silence returns for how long a worker has not answered.
func (w *workerRow) silence(now time.Time) time.Duration {
	return w.unreachable + Age(w.lastReport, now)
}

// presentRun returns why the present run of t is expected to end late, or "", and how long
// it is expected to take still.
func (d *copyDecision) presentRun(w *workerRow, t *taskRow, kindTime time.Duration) (copyReason, time.Duration) {
	kindTime = times(kindTime, d.cell.rackFactor(t.spec, w))
	remaining := times(kindTime, float64(fullPercent-max(0, t.percent))/fullPercent)
	switch silence := w.silence(d.now); {
	case silence >= minSilence:
		// A silence that has lasted for some time is expected to last as long again. The
		// progress meanwhile is unknown.
		return copySilent, remaining + silence
	case !t.running:
		return "", 0
	case w.health.onProbation() && w.health.failures > 0:
		// After n failures in a row, the next run fails with a probability of
		// (n+1)/(n+2) by the rule of succession. The task then starts anew elsewhere.
		n := float64(w.health.failures)
		return copyFailing, remaining + times(t.copyTime(kindTime), (n+1)/(n+2))
	}
	if w.isCold(d.now) || w.wasColdSince(t.firstListed) {
		return "", 0
	}
	if speed := w.relativeSpeed(t, kindTime); speed < slowSpeed {
		return copySlow, times(remaining, 1/max(speed, minWorkerSpeed))
	}
	return "", 0
}

// relativeSpeed returns the speed of a running task as a share of that of its kind. It is 1
// while too little is known.
func (w *workerRow) relativeSpeed(t *taskRow, kindTime time.Duration) float64 {
	if t.spec.BestEffort && t.speed.current > 0 {
		return t.speed.current * kindTime.Seconds()
	}
	speed := 1.0
	if w.speed.isSlow() && !t.spec.BestEffort {
		speed = w.speed.average
	}
	if elapsed := t.lastListed.Sub(t.speedSince); elapsed >= minSpeedMeasure {
		speed = float64(t.percent-t.speedPercent) / fullPercent * kindTime.Seconds() / elapsed.Seconds()
	}
	return speed
}

// setAllowed sets the processors that further copies may hold. A run that is left after
// another one was done holds its processors until it has ended.
func (d *copyDecision) setAllowed() {
	usable, held := map[string]int{}, map[string]int{}
	for _, w := range d.cell.workers.All {
		if w.hasRecentReport(d.now) && !w.ended && !w.Draining && d.cell.evacuations.allowsStarts(w.Zone) {
			usable[w.Service] += w.Capacity.Processors
		}
		for _, t := range w.tasks {
			if t.isExtra() {
				held[w.Service] += t.spec.Need.Processors
			}
		}
	}
	d.allowed = map[string]int{}
	for service, n := range usable {
		d.allowed[service] = n/copyDivisor - held[service]
	}
}

// place starts a copy if a worker has room for it that no waiting task can use.
func (d *copyDecision) place(x *copyWish) bool {
	c := d.cell
	r := c.newScorer(&x.candidate, d.now)
	r.runTime = x.kindTime
	w := d.choose(x, r)
	if w == nil {
		return false
	}
	d.allowed[x.queue.Service] -= x.step.spec.Need.Processors
	c.startCopy(&x.candidate, x.task, w, x.reason, x.here-x.task.copyTime(r.timeOn(w)), d.now)
	return true
}

// choose returns the best worker for a copy, or nil: one in another rack if there is any,
// as a rack often fails as a whole.
func (d *copyDecision) choose(x *copyWish, r *scorer) *workerRow {
	var same, other []scoredWorker
	for _, w := range d.freeWorkers(x.queue.Service) {
		o, ok := d.suitable(x, r, w)
		if !ok {
			continue
		}
		if rackOf(&o.worker.Worker) == rackOf(&x.task.worker.Worker) {
			same = append(same, o)
			continue
		}
		other = append(other, o)
	}
	for _, scored := range [][]scoredWorker{other, same} {
		if o := r.choose(scored, &x.candidate, x.task); o != nil {
			return o.worker
		}
	}
	return nil
}

// freeWorkers returns the workers of a service that may get a copy, whatever it needs.
func (d *copyDecision) freeWorkers(service string) []*workerRow {
	if d.free == nil {
		d.free = map[string][]*workerRow{}
		for _, w := range d.cell.workers.All {
			if !w.speed.isSlow() && !w.health.onProbation() && w.hasRecentReport(d.now) {
				d.free[w.Service] = append(d.free[w.Service], w)
			}
		}
	}
	return d.free[service]
}

// suitable returns a worker with its score, and whether it has room for a copy that ends
// sooner there by the margin.
func (d *copyDecision) suitable(x *copyWish, r *scorer, w *workerRow) (scoredWorker, bool) {
	c, s, o := d.cell, x.step.spec, scoredWorker{worker: w}
	if w == x.task.worker || !w.hasRoom(s, x.queue.Priority) || slices.Contains(x.task.failedOn, w.ID) ||
		!c.isUsable(w, &x.candidate, d.now) || !x.hasMargin(x.task.copyTime(r.timeOn(w))) || d.isContested(w) {
		return o, false
	}
	o.limited, o.ramp, o.claimed = true, c.rampOf(w, d.now), c.claims[w]
	r.setScore(&o)
	r.byEnd = r.byEnd || r.timed && w.isCold(d.now)
	return o, !o.interferes
}

// isContested reports whether a waiting task can use room on w now. Gangs and tasks that
// wait for a better worker count as well: they may take the room soon.
func (d *copyDecision) isContested(w *workerRow) bool {
	if contested, ok := d.contested[w]; ok {
		return contested
	}
	contested := slices.ContainsFunc(d.waiting, func(k *candidate) bool {
		return w.hasRoom(k.step.spec, k.queue.Priority) && d.cell.isUsable(w, k, d.now) && k.hasTicket(w, d.now)
	})
	d.contested[w] = contested
	return contested
}
