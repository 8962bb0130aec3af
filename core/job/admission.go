package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemarygap/core/status"
)

// Limits of the decisions of an entry.
const (
	// MaxForecastAge is how long an entry trusts a forecast.
	MaxForecastAge = 1500 * time.Millisecond
	// refusalMargin is the share of the waiting time by which a job must still be too
	// late to be refused: estimates are wrong by up to half.
	refusalMargin = 0.75
	// reportDelay is how long before a forecast the entry may have accepted a job that
	// is not in it: the notice, the ownership check and the forecast take this long.
	reportDelay = 300 * time.Millisecond
	// Limits of the delay after which a refused job may return.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxReturns limits the refused jobs whose times of return an entry remembers.
	maxReturns = 4096
)

// acceptedWork is the work of a job that the entry has accepted.
type acceptedWork struct {
	at time.Time
	serviceKind
	priority int
	work     float64
}

// Admission decides whether an entry refuses new jobs, by the newest forecast of the
// owner. It is not safe for use by several goroutines.
type Admission struct {
	epoch int64
	// madeAt is the earliest time at which the forecast may have been made, by the
	// clock of this entry.
	madeAt  time.Time
	entries int
	queues  map[uint32]queueForecast
	shapes  []workerShape
	// accepted are the jobs that may not be in the forecast.
	accepted []acceptedWork
	// returns are the times at which refused jobs may return; nextReturn is the first
	// free time, by queue.
	returns    map[string]time.Time
	nextReturn map[string]time.Time
	// askedAt is when the entry last asked for a forecast, and interval how long it
	// then asks for no other.
	askedAt  time.Time
	interval time.Duration
	// ignoresEvidence is true if each forecast that is too late refuses.
	ignoresEvidence bool
}

// AdmissionOption is an option of NewAdmission.
type AdmissionOption func(*Admission)

// WithoutEvidence refuses each job whose forecast is too late, as a baseline.
func WithoutEvidence() AdmissionOption { return func(a *Admission) { a.ignoresEvidence = true } }

// NewAdmission returns an Admission that refuses nothing until it has a forecast.
func NewAdmission(options ...AdmissionOption) *Admission {
	a := &Admission{returns: map[string]time.Time{}, nextReturn: map[string]time.Time{}, interval: ForecastInterval}
	for _, o := range options {
		o(a)
	}
	return a
}

// Receive takes over a forecast whose request was sent at sentAt. It returns an error
// for a forecast that must be ignored: epoch is the newest one that the entry knows.
// ErrForecastQueueGone is returned for a forecast that is taken over but has a record
// of a queue that cfg does not have.
func (a *Admission) Receive(f *Forecast, sentAt, now time.Time, epoch int64, cfg *Configuration) error {
	queues, shapes, err := f.decode()
	madeAt := sentAt.Add(-f.Age)
	switch {
	case err != nil:
		return err
	case f.Age < 0:
		return ErrForecastFuture
	case f.Epoch < epoch, f.Epoch < a.epoch:
		return ErrForecastEpoch
	case Age(madeAt, now) > MaxForecastAge:
		return ErrForecastStale
	case f.Epoch == a.epoch && madeAt.Before(a.madeAt):
		// Replies may arrive in another order than they were sent.
		return nil
	}
	a.epoch, a.madeAt, a.entries, a.queues, a.shapes = f.Epoch, madeAt, f.Entries, queues, shapes
	a.interval = f.interval()
	since := madeAt.Add(-reportDelay)
	a.accepted = slices.DeleteFunc(a.accepted, func(w acceptedWork) bool { return w.at.Before(since) })
	return a.matchQueues(cfg)
}

// matchQueues returns ErrForecastQueueGone if the forecast has a record of a queue that
// cfg does not have. It drops a record that may be of two queues.
func (a *Admission) matchQueues(cfg *Configuration) error {
	matches := make(map[uint32]int, len(a.queues))
	for i := range cfg.Queues {
		h := hashName(cfg.Queues[i].ID())
		if _, ok := a.queues[h]; ok {
			matches[h]++
		}
	}
	gone := len(matches) < len(a.queues)
	maps.DeleteFunc(a.queues, func(h uint32, _ queueForecast) bool { return matches[h] > 1 })
	if gone {
		return ErrForecastQueueGone
	}
	return nil
}

// Refusal is the refusal of a job.
type Refusal struct {
	// Epoch is that of the forecast.
	Epoch int64
	// Reason is status.ErrNoRoom or status.ErrCannotBePlaced with the forecast.
	Reason error
	// until is the time until the forecast would accept the job, and drain the time
	// in which the work of the job drains.
	until, drain time.Duration
}

// Decide returns the refusal of a new job, or nil if the job is accepted. The newest
// epoch that the entry knows is epoch.
func (a *Admission) Decide(j *Job, q *Queue, epoch int64, now time.Time) *Refusal {
	if a.queues == nil || a.epoch < epoch || Age(a.madeAt, now) > MaxForecastAge || !isForecast(j) {
		return nil
	}
	if reason := a.misfit(j, q); reason != "" {
		return &Refusal{Epoch: a.epoch, Reason: status.At(status.ErrCannotBePlaced, "steps", reason), until: maxRetryAfter}
	}
	f, ok := a.queues[hashName(q.ID())]
	if !ok || f.bestEffort != j.Steps[0].BestEffort {
		return nil
	}
	criticalPath, work := criticalPathOf(j.Steps), j.work()
	wait := f.totalWait(a.acceptedAhead(q, f.bestEffort), work, criticalPath)
	objective := q.objective(criticalPath)
	level := f.lateness(wait, criticalPath, objective)
	if level == 0 || !a.ignoresEvidence && !f.isSupported(level, j.ID) {
		return nil
	}
	detail := fmt.Sprintf("wait %v, end after %v, objective %v, processors %.0f, age %v", wait.Round(waitUnit),
		f.end(wait, criticalPath, objective).Round(waitUnit), objective.Round(waitUnit), f.rate, Age(a.madeAt, now).Round(time.Millisecond))
	return &Refusal{a.epoch, status.At(status.ErrNoRoom, "forecast", detail), f.untilAccepted(wait, criticalPath, objective), f.drain(work)}
}

// runTime returns the expected run time of a job with the given critical path.
func (f *queueForecast) runTime(criticalPath time.Duration) time.Duration {
	return time.Duration(f.ratio * float64(criticalPath))
}

// drain returns the time in which the given work, in processor seconds, drains.
func (f *queueForecast) drain(work float64) time.Duration {
	return time.Duration(work * f.ratio / f.rate * float64(time.Second))
}

// end returns how long after its arrival a job ends. A job that misses its objective
// yields to jobs on time that arrive later, and waits longer by that.
func (f *queueForecast) end(wait, criticalPath, objective time.Duration) time.Duration {
	run := f.runTime(criticalPath)
	if inTime := max(0, objective-run); objective > 0 && wait > inTime {
		wait = inTime + f.lateWait(wait-inTime)
	}
	return wait + run
}

// lateWait returns the time in which a late job waits for work that drains in d at the
// whole rate.
func (f *queueForecast) lateWait(d time.Duration) time.Duration {
	if yielded := time.Duration(float64(f.overload) * f.lateShare); d > yielded {
		return f.overload + d - yielded
	}
	return time.Duration(float64(d) / f.lateShare)
}

// drainedInLateWait returns for how much work, as the time that it takes at the whole
// rate, a late job has waited after d. It is the inverse of lateWait.
func (f *queueForecast) drainedInLateWait(d time.Duration) time.Duration {
	if d > f.overload {
		return d - f.overload + time.Duration(float64(f.overload)*f.lateShare)
	}
	return time.Duration(float64(d) * f.lateShare)
}

// refuses reports whether a job would end after lateFactor times its objective even
// if it waited for a quarter less than forecast. A job without an objective, and one
// for which there is room, is not refused.
func (f *queueForecast) refuses(wait, criticalPath, objective time.Duration) bool {
	return wait > 0 && objective > 0 && f.end(time.Duration(refusalMargin*float64(wait)), criticalPath, objective) > lateFactor*objective
}

// untilAccepted returns the time in which a wait shrinks, without arrivals, so far
// that a job is accepted.
func (f *queueForecast) untilAccepted(wait, criticalPath, objective time.Duration) time.Duration {
	run := f.runTime(criticalPath)
	inTime := max(0, objective-run)
	longest := inTime + f.drainedInLateWait(max(0, lateFactor*objective-run-inTime))
	return wait - time.Duration(float64(longest)/refusalMargin)
}

// acceptedAhead returns the work that the entry has accepted since the forecast and
// that goes before a new job.
func (a *Admission) acceptedAhead(q *Queue, bestEffort bool) float64 {
	sum := 0.0
	for _, w := range a.accepted {
		if w.serviceKind == (serviceKind{q.Service, bestEffort}) && w.priority <= q.Priority {
			sum += w.work
		}
	}
	return sum
}

// RecordAccepted adds a job that the entry has accepted.
func (a *Admission) RecordAccepted(j *Job, q *Queue, now time.Time) {
	delete(a.returns, j.ID)
	if !isForecast(j) {
		return
	}
	// Without forecasts, nothing else limits the list.
	since := now.Add(-MaxForecastAge - reportDelay)
	a.accepted = slices.DeleteFunc(a.accepted, func(w acceptedWork) bool { return w.at.Before(since) })
	a.accepted = append(a.accepted, acceptedWork{now, serviceKind{q.Service, j.Steps[0].BestEffort}, q.Priority, j.work()})
}

// RecordRefused returns the delay after which a refused job may return. The returns
// of a queue are spread at its drain rate, in the order of the refusals. A job that
// returns too early keeps its time.
func (a *Admission) RecordRefused(r *Refusal, id string, q *Queue, now time.Time) time.Duration {
	if at, ok := a.returns[id]; ok && at.After(now) {
		return max(minRetryAfter, at.Sub(now))
	}
	if len(a.returns) >= maxReturns {
		maps.DeleteFunc(a.returns, func(_ string, at time.Time) bool { return at.Before(now) })
	}
	queue := q.ID()
	at := Later(a.nextReturn[queue], now.Add(r.until))
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	a.nextReturn[queue] = at.Add(r.drain * time.Duration(a.entries))
	if len(a.returns) < maxReturns {
		a.returns[id] = at
	}
	return max(minRetryAfter, at.Sub(now))
}

// misfit returns why no worker can ever run a step of the job, or "". It returns "" if
// not all workers of the service are known.
func (a *Admission) misfit(j *Job, q *Queue) string {
	service := hashName(q.Service)
	known := slices.ContainsFunc(a.shapes, func(s workerShape) bool { return s.service == service })
	for i := range j.Steps {
		if !known {
			break
		}
		s, fits := &j.Steps[i], 0
		for _, shape := range a.shapes {
			if shape.service == service && (s.Label == "" || shape.labels&labelBit(s.Label) != 0) {
				fits += shape.count * shape.tasksOf(s)
			}
		}
		if fits == 0 {
			return fmt.Sprintf("%d fits no worker", i)
		}
		if s.Gang && fits < s.Tasks {
			return fmt.Sprintf("%d is a gang of %d, and all workers have room for %d", i, s.Tasks, fits)
		}
	}
	return ""
}

// tasksOf returns how many tasks of a step an empty worker has room for, at most all.
func (s *workerShape) tasksOf(step *Step) int {
	n := step.Tasks
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	if p := step.Need.Processors; p > 0 {
		n = min(n, s.capacity.Processors/p)
	}
	if m := step.Need.Memory; m > 0 {
		n = int(min(int64(n), s.capacity.Memory/m))
	}
	if g := step.Need.Accelerators; g > 0 {
		n = min(n, s.capacity.Accelerators/g)
	}
	return n
}
