package job

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of forecasts.
const (
	// ForecastInterval is the least time between two forecasts of an owner, and
	// between two that an entry asks for.
	ForecastInterval = 250 * time.Millisecond
	// minForecastEpochAge is the age of an ownership before its first forecast. The
	// new owner hears of its workers within a second, and a write to the store that
	// an entry had begun under the earlier owner has taken effect or been given up.
	minForecastEpochAge = 3 * time.Second
	// maxForecastConfirmation is the age of the newest confirmation of the ownership
	// above which there is no forecast: entries may follow another owner by then. The
	// ownership is confirmed every 350 ms.
	maxForecastConfirmation = time.Second
	// minKnownEpochAge is the age of an ownership before it counts all its workers as
	// known. A worker that is in no roster reports much sooner.
	minKnownEpochAge = 30 * time.Second
	// refusalReview is how long after a forecast that refuses room counts as
	// refused in vain.
	refusalReview = time.Second
	// criticalPathWeight is the weight of a new job in the mean critical path of its
	// queue.
	criticalPathWeight = 0.05
	// rateWeight is the weight of a new sample in the moving average of a rate, which
	// covers about the last second.
	rateWeight = 0.2
	// maxOverloadShare is the share of the rate that is left for late jobs below which
	// a queue is overloaded.
	maxOverloadShare = 0.1
	// overloadOutlook is how many times longer an overload is expected to go on than it
	// has lasted.
	overloadOutlook = 2
	// inflowTime is the time over which the inflow of work is averaged, with
	// exponential decay. It covers several arrivals of wide jobs.
	inflowTime = 10 * time.Second
)

// arrivals is what is known about the jobs that arrive in a queue.
type arrivals struct {
	// bestEffort is the kind of the newest job.
	bestEffort   bool
	criticalPath time.Duration
}

// forecaster is the state of a cell for its forecasts.
type forecaster struct {
	arrivals map[string]*arrivals
	// newest has the records of the newest forecast, made at madeAt, by queue.
	newest map[string]queueForecast
	madeAt time.Time
	// refusedAt is when a forecast last refused a mean job, by queue.
	refusedAt map[string]time.Time
	// rates are the moving averages of the processors that tasks of a kind hold while
	// others of the kind wait.
	rates map[serviceKind]float64
	// inflow is the expected work of the jobs that arrived.
	inflow map[usedBy]*decayingSum
	// overloadedSince is when the overload of a queue began.
	overloadedSince map[string]time.Time
	// missing are the agents whose leases have expired in this epoch.
	missing  map[string]bool
	evidence forecastEvidence
	// acceptedSince is the work of the jobs that were added since the newest forecast.
	acceptedSince map[usedBy]float64
}

func newForecaster() forecaster {
	return forecaster{arrivals: map[string]*arrivals{}, newest: map[string]queueForecast{},
		refusedAt: map[string]time.Time{}, rates: map[serviceKind]float64{}, inflow: map[usedBy]*decayingSum{}, overloadedSince: map[string]time.Time{}, missing: map[string]bool{}, acceptedSince: map[usedBy]float64{}}
}

// observe adds a new job.
func (f *forecaster) observe(j *jobRow) {
	if !isForecast(&j.Job) {
		return
	}
	a := f.arrivals[j.Queue]
	if a == nil {
		a = &arrivals{criticalPath: j.criticalPath}
		f.arrivals[j.Queue] = a
	}
	a.bestEffort = j.Steps[0].BestEffort
	a.criticalPath += time.Duration(criticalPathWeight * float64(j.criticalPath-a.criticalPath))
}

// decayingSum is a sum whose terms decay with inflowTime.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (s *decayingSum) decay(now time.Time) float64 {
	s.sum *= math.Exp(-max(0, now.Sub(s.at)).Seconds() / inflowTime.Seconds())
	s.at = now
	return s.sum
}

// observeInflow adds the work of a job that arrives now.
func (c *Cell) observeInflow(j *jobRow, now time.Time) {
	q := c.queueOf(j)
	if q == nil || !isForecast(&j.Job) {
		return
	}
	u := usedBy{serviceKind{q.Service, j.Steps[0].BestEffort}, q.Priority}
	s := c.forecaster.inflow[u]
	if s == nil {
		s = &decayingSum{at: now}
		c.forecaster.inflow[u] = s
	}
	s.decay(now)
	s.sum += j.work * c.ratio(j.Queue)
}

// overload returns how much longer the queue is expected to be overloaded. An overload
// is expected to go on for overloadOutlook times as long as it has lasted: a burst ends
// soon, and what lasts for long goes on.
func (f *forecaster) overload(queue string, lateShare float64, now time.Time) time.Duration {
	if lateShare > maxOverloadShare {
		delete(f.overloadedSince, queue)
		return 0
	}
	since, ok := f.overloadedSince[queue]
	if !ok {
		since = now
		f.overloadedSince[queue] = now
	}
	return overloadOutlook * now.Sub(since)
}

// isForecast reports whether forecasts apply to j: long-running and scheduled jobs
// are not refused.
func isForecast(j *Job) bool {
	return j.Schedule.Times == 0 && !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// serviceKind is a kind of tasks that compete for the same processors.
type serviceKind struct {
	service    string
	bestEffort bool
}

// usedBy is the number of processors that running tasks of a kind and priority hold.
type usedBy struct {
	serviceKind
	priority int
}

// backlog is the work of the cell at the time of a forecast.
type backlog struct {
	// rates are the processors that the tasks of a kind can get.
	rates map[serviceKind]float64
	used  map[usedBy]float64
	// drains are the samples of best-effort tasks by service.
	drains map[string]*drainSample
	// waiting has the steps with waiting tasks. The first ready of them are ready
	// to start.
	waiting []candidate
	ready   int
	// work has the expected work of each of them in processor seconds.
	work []float64
}

func (c *Cell) backlog(now time.Time) backlog {
	b := backlog{rates: map[serviceKind]float64{}, used: map[usedBy]float64{}, drains: map[string]*drainSample{}}
	for _, w := range c.workers.All {
		if !w.hasRecentReport(now) || w.ended || w.Draining || !w.acceptsTasks(now) || !c.evacuations.allowsStarts(w.Zone) {
			continue
		}
		b.sampleDrain(w)
		// Best-effort tasks get what other tasks are expected to leave, and yield to
		// them.
		b.rates[serviceKind{w.Service, true}] += float64(max(0, w.freeProcessors()+w.bestEffortProcessors)) / processorUnit
		b.rates[serviceKind{w.Service, false}] += float64(max(0, w.Capacity.Processors-w.servingProcessors)) / processorUnit
	}
	var blocked []candidate
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.IsFinal() || q == nil || !isForecast(&j.Job) {
			continue
		}
		for _, o := range j.occurrences {
			c.reviewCase(j, o, q, now)
			b.waiting = c.appendCandidates(b.waiting, j, o, q, now)
			blocked = c.appendBlocked(blocked, &b, j, o, q, now)
		}
	}
	b.ready = len(b.waiting)
	if b.ready > 0 {
		c.setRoom(b.waiting, now)
		for i := range blocked {
			blocked[i].scarce = b.waiting[0].scarce
		}
	}
	b.waiting = append(b.waiting, blocked...)
	for i := range b.waiting {
		k := &b.waiting[i]
		b.work = append(b.work, k.backlog()*c.ratio(k.job.Queue))
	}
	c.learnRates(&b)
	return b
}

// learnRates limits the rates to what the tasks of a kind really hold while others of
// the kind wait: room may be split between workers, or beside serving tasks with which
// they interfere.
func (c *Cell) learnRates(b *backlog) {
	scarce, held := map[serviceKind]bool{}, map[serviceKind]float64{}
	for i := range b.waiting[:b.ready] {
		if k := &b.waiting[i]; !k.isDeniedEverywhere() {
			scarce[serviceKind{k.queue.Service, k.step.spec.BestEffort}] = true
		}
	}
	for u, n := range b.used {
		held[u.serviceKind] += n
	}
	for k, rate := range b.rates {
		if !scarce[k] {
			delete(c.forecaster.rates, k)
			continue
		}
		sample, weight := b.rateSample(k, held[k], rate)
		old, ok := c.forecaster.rates[k]
		switch {
		case ok:
		case weight == interferenceRateWeight:
			old = held[k]
		default:
			old = rate
		}
		c.forecaster.rates[k] = old + weight*(sample-old)
		b.rates[k] = c.forecaster.rates[k]
	}
}

// appendBlocked appends the steps of o that wait for earlier steps, and counts the
// processors of its running tasks.
func (c *Cell) appendBlocked(out []candidate, b *backlog, j *jobRow, o *occurrenceRow, q *Queue, now time.Time) []candidate {
	var first *candidate
	for i := range o.steps {
		s := &o.steps[i]
		if running := len(s.tasks) - s.done - s.waiting; running > 0 {
			b.used[usedBy{serviceKind{q.Service, s.spec.BestEffort}, q.Priority}] += float64(running*s.spec.Need.Processors) / processorUnit
		}
		if s.waiting == 0 || o.isStepReady(i) {
			continue
		}
		if first == nil {
			first = &candidate{job: j, occ: o, queue: q, density: c.density(j, o, q)}
			first.deadline, first.timeliness = c.forecast(j, o, q, now)
		}
		k := *first
		k.step, k.number = s, i
		out = append(out, k)
	}
	return out
}

// ratio returns the learned ratio of run times to estimates of a queue.
func (c *Cell) ratio(queue string) float64 {
	if r, ok := c.runTimeRatios.byQueue[queue]; ok && r > 0 {
		return r
	}
	return 1
}

// forecastQueue returns the forecast for new jobs of a queue.
func (c *Cell) forecastQueue(b *backlog, q *Queue, a *arrivals, now time.Time) queueForecast {
	kind := serviceKind{q.Service, a.bestEffort}
	out := queueForecast{queue: hashName(q.ID()), bestEffort: a.bestEffort, rate: b.rates[kind], ratio: c.ratio(q.ID())}
	for u, n := range b.used {
		if u.serviceKind == kind && u.priority < q.Priority {
			out.rate -= n
		}
	}
	out.rate = max(1, out.rate)
	if s := c.forecaster.inflow[usedBy{kind, q.Priority}]; s != nil {
		out.lateShare = 1 - s.decay(now)/inflowTime.Seconds()/out.rate
	}
	out.lateShare = min(max(out.lateShare, minLateShare), 1)
	out.overload = c.forecaster.overload(q.ID(), out.lateShare, now)
	out.threshold = c.forecaster.evidence.threshold(q.ID(), kind)
	arriving := candidate{job: &jobRow{Job: Job{Queue: q.ID(), Accepted: now}}, occ: &occurrenceRow{}, queue: q,
		deadline: now.Add(q.objective(a.criticalPath)), density: 1 / max(c.meanWork[q.ID()], minRemainingWork)}
	ahead, hasReady := 0.0, false
	for i := range b.waiting {
		k := &b.waiting[i]
		arriving.scarce, arriving.step, arriving.number = k.scarce, k.step, k.number
		if k.queue.Service != kind.service || k.step.spec.BestEffort != kind.bestEffort || !c.isAhead(k, &arriving) {
			continue
		}
		ahead += b.work[i]
		hasReady = hasReady || i < b.ready
	}
	// Without a task that is ready and waits, there is room.
	if hasReady {
		out.wait = time.Duration(ahead / out.rate * float64(time.Second))
	}
	return out
}

// isAhead reports whether k goes before a new job. All accepted jobs of the same rank
// that still have a value do, also those that the policy would place later: an
// accepted job is not given up for later arrivals.
func (c *Cell) isAhead(k, arriving *candidate) bool {
	return k.queue.Priority == arriving.queue.Priority && k.timeliness != tooLate || c.policy.compare(k, arriving) < 0
}

// Forecast returns the forecast for new jobs of each queue, and whether there is one.
// It has no record of a queue in which no job has arrived in this epoch.
func (c *Cell) Forecast(now time.Time) (Forecast, bool) {
	if now.Sub(c.ownedSince) < minForecastEpochAge || Age(c.ownershipConfirmedAt, now) > maxForecastConfirmation || c.cfg == nil {
		return Forecast{}, false
	}
	out := Forecast{Epoch: c.epoch, Entries: 1}
	b := c.backlog(now)
	c.forecaster.evidence.summarize(now)
	clear(c.forecaster.newest)
	clear(c.forecaster.acceptedSince)
	c.forecaster.madeAt = now
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		a := c.forecaster.arrivals[q.ID()]
		if a == nil || len(c.forecaster.newest) == maxQueues {
			continue
		}
		f := c.forecastQueue(&b, q, a, now)
		c.forecaster.newest[q.ID()] = f
		c.reviewRefusals(q, a, &f, now)
		out.Queues = f.append(out.Queues)
	}
	if shapes := c.workerShapes(now); len(shapes) <= maxShapes {
		for i := range shapes {
			out.Workers = shapes[i].append(out.Workers)
		}
	}
	return out, true
}

// reviewRefusals logs an event if there is room soon after a forecast that refuses a
// job with the mean critical path of its queue.
func (c *Cell) reviewRefusals(q *Queue, a *arrivals, f *queueForecast, now time.Time) {
	refusedAt, ok := c.forecaster.refusedAt[q.ID()]
	switch {
	case f.threshold > 0 && f.lateness(f.wait, a.criticalPath, q.objective(a.criticalPath)) >= f.threshold:
		c.forecaster.refusedAt[q.ID()] = now
	case ok && f.wait == 0:
		delete(c.forecaster.refusedAt, q.ID())
		if now.Sub(refusedAt) <= refusalReview {
			c.events = append(c.events, Event{Kind: EventRoomAfterRefusal, Task: q.ID()})
		}
	}
}

// workerShapes returns the shapes of the workers, or none if a worker is missing or
// may not be known yet.
func (c *Cell) workerShapes(now time.Time) []workerShape {
	if now.Sub(c.ownedSince) < minKnownEpochAge || len(c.forecaster.missing) > 0 {
		return nil
	}
	for agent := range c.roster {
		if c.workers.Get(agent) == nil {
			return nil
		}
	}
	type key struct {
		service                  uint32
		processors, accelerators int
		memory                   int64
	}
	byKey := map[key]*workerShape{}
	service, hash := "", hashName("")
	for _, w := range c.workers.All {
		switch {
		case w.left:
			continue
		case !w.hasRecentReport(now), w.ended:
			return nil
		}
		if w.Service != service {
			service, hash = w.Service, hashName(w.Service)
		}
		k := key{hash, w.Capacity.Processors, w.Capacity.Accelerators, w.Capacity.Memory}
		s := byKey[k]
		if s == nil {
			s = &workerShape{service: hash, capacity: w.Capacity}
			byKey[k] = s
		}
		s.count++
		for _, l := range w.Labels {
			s.labels |= labelBit(l)
		}
	}
	var out []workerShape
	for _, s := range byKey {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b workerShape) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.capacity.Processors, b.capacity.Processors),
			cmp.Compare(a.capacity.Memory, b.capacity.Memory), cmp.Compare(a.capacity.Accelerators, b.capacity.Accelerators))
	})
	return out
}

// expectEnd records when the newest forecast expects the end of a new job.
func (c *Cell) expectEnd(j *jobRow, now time.Time) {
	f, ok := c.forecaster.newest[j.Queue]
	if !ok || now.Sub(c.forecaster.madeAt) > MaxForecastAge || !isForecast(&j.Job) || f.bestEffort != j.Steps[0].BestEffort {
		return
	}
	var objective time.Duration
	if q := c.queueOf(j); q != nil {
		objective = q.objective(j.criticalPath)
		c.recordCase(j, &f, q, now)
	}
	j.expectedEnd = now.Add(f.end(f.wait, j.criticalPath, objective))
}

// compareEnd sets the fields of the event of the end of a job that compare it with
// the forecast and with the objective.
func (c *Cell) compareEnd(e *Event, j *jobRow, now time.Time) {
	c.decideCase(j, now)
	if j.expectedEnd.IsZero() || j.state != Done {
		return
	}
	e.Forecast, e.ForecastError = true, now.Sub(j.expectedEnd).Abs()
	if q := c.queueOf(j); q != nil {
		objective := q.objective(j.criticalPath)
		e.TooLate = objective > 0 && sinceAcceptance(j, now) > lateFactor*objective
	}
}
