package job

import "time"

// waitReason is why ready tasks of a step wait.
type waitReason string

// Reasons for a wait.
const (
	notWaiting waitReason = ""
	// waitUnchanged is the reason of before: no worker has changed that could end the wait.
	waitUnchanged waitReason = "unchanged"
	// waitRoom means that no usable worker has room.
	waitRoom waitReason = "no-room"
	// waitReserved means that the only room is that which steps of higher rank keep, or
	// which a worker withholds after a restart.
	waitReserved waitReason = "reserved"
	// waitInterference means that the tasks would interfere with serving tasks.
	waitInterference waitReason = "interference"
	// waitRack means that the tasks wait for the rack of their data.
	waitRack waitReason = "rack"
	// waitIsolation means that the tasks are suspects of crashes and wait for an isolated
	// worker.
	waitIsolation waitReason = "isolation"
	waitTicket    waitReason = "ticket"
	// waitRetry means that the tasks have failed and wait for their next attempt.
	waitRetry waitReason = "retry"
)

// Limits of the log of waits.
const (
	// minLoggedWait is the shortest wait that is logged. Jobs take seconds.
	minLoggedWait = 100 * time.Millisecond
	// maxWaitSpan is the time after which a wait that goes on is logged, so that the log
	// shows it before its end.
	maxWaitSpan = 5 * time.Second
)

// stepWait is a span of time in which ready tasks of a step waited for one reason.
type stepWait struct {
	reason waitReason
	since  time.Time
	// tasks is the number of waiting tasks at the begin of the span.
	tasks int
}

// recordWait records why the tasks of the candidate wait after a decision.
func (c *Cell) recordWait(k *candidate, reason waitReason, now time.Time) {
	w := &k.step.wait
	switch {
	case k.step.waiting == 0:
		reason = notWaiting
	case reason == waitUnchanged && w.reason != notWaiting:
		reason = w.reason
	case reason == waitUnchanged:
		reason = waitRoom
	}
	if reason == w.reason && now.Sub(w.since) < maxWaitSpan {
		return
	}
	c.endWait(k.job, k.occ, k.number, now)
	if reason != notWaiting {
		*w = stepWait{reason, now, k.step.waiting}
	}
}

// waitForRoom returns the reason of a step for which no worker that has changed since the
// given version has room.
func waitForRoom(withheld bool, since int64) waitReason {
	switch {
	case since != allWorkers:
		return waitUnchanged
	case withheld:
		return waitReserved
	}
	return waitRoom
}

// endWait ends the wait of a step and logs it.
func (c *Cell) endWait(j *jobRow, o *occurrenceRow, step int, now time.Time) {
	w := &o.steps[step].wait
	if elapsed := now.Sub(w.since); w.reason != notWaiting && elapsed >= minLoggedWait {
		c.events = append(c.events, Event{Kind: EventStepWaited, Task: stepName(j, o, step),
			Reason: string(w.reason), Count: w.tasks, Elapsed: elapsed})
	}
	*w = stepWait{}
}

// endWaits ends the waits of all steps of a job.
func (c *Cell) endWaits(j *jobRow, now time.Time) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			c.endWait(j, o, i, now)
		}
	}
}

// roomSampleInterval is how often the room is logged while tasks wait.
const roomSampleInterval = time.Second

// sampleRoom logs the processors of all workers, those that running tasks leave unused and
// the number of tasks that wait, while any do.
func (c *Cell) sampleRoom(all []candidate, now time.Time) {
	if len(all) == 0 || now.Sub(c.roomSampledAt) < roomSampleInterval {
		return
	}
	c.roomSampledAt = now
	e := Event{Kind: EventRoomSampled}
	for i := range all {
		e.Count += all[i].step.waiting
	}
	if e.Count == 0 {
		return
	}
	for _, w := range c.workers.All {
		e.Capacity += w.Capacity.Processors
		if c.evacuations.allowsStarts(w.Zone) {
			e.Free += max(0, w.freeProcessors())
			e.Reserved += w.used.Processors
		}
	}
	c.events = append(c.events, e)
}

func (t timeliness) String() string { return [...]string{"on-time", "late", "too-late"}[t] }

// recordOutlook logs that the forecast of a job is worse than ever before.
func (c *Cell) recordOutlook(j *jobRow, t timeliness) {
	if t > j.outlook && j.Schedule.Times == 0 {
		j.outlook = t
		c.events = append(c.events, Event{Kind: EventOutlookWorsened, Task: j.ID, Reason: t.String()})
	}
}
