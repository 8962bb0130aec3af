package job

import (
	"maps"
	"slices"
	"time"
)

// Times of the evacuation of a zone.
const (
	// leaveWindow is how long after the stop of a long-running task the room that it
	// takes elsewhere may still be free. It covers the stop, up to 400 ms on the
	// platform, a report and the next start.
	leaveWindow = 3 * time.Second
	// workersReportTime is how long agents take to report to a new owner, and a worker
	// of a new zone to appear. A zone in which no worker has reported until then is
	// logged as unknown.
	workersReportTime = 2 * time.Second
)

// reasonEvacuated is the reason for stopping a task in an evacuated zone.
const reasonEvacuated = "evacuated"

// reasonNoWorker is the reason in the event of an evacuated zone that no worker is in.
const reasonNoWorker = "no-worker"

// evacuations is what the cell knows about the evacuation of availability zones.
type evacuations struct {
	// bound is the time after the acknowledgement of an evacuation from which on no
	// task may start in the zone. Unless it is positive, no zone is ever evacuated.
	bound time.Duration
	// knownAt is a time at which the cell knew all evacuations. Until the first
	// reading it is zero, and nothing is placed.
	knownAt time.Time
	zones   map[string]*evacuatedZone
	// reopenedAt is when the evacuations that this owner saw ended.
	reopenedAt map[string]time.Time
	// leaving is the long-running task that was last stopped, by service.
	leaving map[string]leavingTask
	// withoutRoom are the steps for whose tasks the current sweep found no room. All
	// tasks of a step need the same, and in a full deployment hundreds of them would
	// be compared with each worker ten times a second.
	withoutRoom map[*stepRow]bool
}

// evacuatedZone is an evacuation that is in force.
type evacuatedZone struct {
	since time.Time
	// logged is true once the event of the evacuation has been logged.
	logged bool
}

// leavingTask is a long-running task that was stopped to leave a zone.
type leavingTask struct {
	name      string
	stoppedAt time.Time
}

// WithEvacuation lets zones be evacuated: no task starts in a zone once bound has passed
// since its evacuation was acknowledged. With a bound of 0 nothing changes.
func WithEvacuation(bound time.Duration) Option {
	return func(c *Cell) {
		c.evacuations = evacuations{bound: bound, zones: map[string]*evacuatedZone{},
			reopenedAt: map[string]time.Time{}, leaving: map[string]leavingTask{}, withoutRoom: map[*stepRow]bool{}}
	}
}

// ConfirmEvacuations sets the evacuated zones: those of which the store had the key at
// began or later. It ignores a reading that began before the newest one.
func (c *Cell) ConfirmEvacuations(zones []string, began, now time.Time) {
	e := &c.evacuations
	if e.bound <= 0 || began.Before(e.knownAt) {
		return
	}
	e.knownAt = began
	for _, zone := range zones {
		if e.zones[zone] == nil {
			e.zones[zone] = &evacuatedZone{since: now}
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
		if slices.Contains(zones, zone) {
			continue
		}
		delete(e.zones, zone)
		e.reopenedAt[zone] = now
		tasks, _ := c.tasksIn(zone)
		c.events = append(c.events, Event{Kind: EventZoneReopened, Zone: zone, Count: tasks})
	}
	// Starts that are still on their way are withdrawn at once.
	c.evacuateZones(now)
}

// zoneReopenedAt returns when the last evacuation of a zone ended, or the zero time if
// this owner has not seen one end.
func (c *Cell) zoneReopenedAt(zone string) time.Time { return c.evacuations.reopenedAt[zone] }

// isEvacuated reports whether the evacuation of a zone is in force.
func (e *evacuations) isEvacuated(zone string) bool { return e.zones[zone] != nil }

// allowsStarts reports whether tasks may be placed in a zone. Nothing is placed before
// the evacuations are known: a new owner could start tasks in a zone that its
// predecessor knew as evacuated.
func (e *evacuations) allowsStarts(zone string) bool {
	return e.bound <= 0 || !e.knownAt.IsZero() && !e.isEvacuated(zone)
}

// tasksIn returns the number of tasks assigned to workers in a zone, and whether any
// worker is in it.
func (c *Cell) tasksIn(zone string) (tasks int, hasWorker bool) {
	for _, w := range c.workers.All {
		if w.Zone == zone {
			tasks, hasWorker = tasks+len(w.tasks), true
		}
	}
	return tasks, hasWorker
}

// evacuateZones stops the tasks that must leave the evacuated zones now.
func (c *Cell) evacuateZones(now time.Time) {
	if len(c.evacuations.zones) == 0 {
		return
	}
	clear(c.evacuations.withoutRoom)
	for _, w := range c.workers.All {
		if !c.evacuations.isEvacuated(w.Zone) {
			continue
		}
		for _, t := range w.sortedTasks() {
			if c.mustLeave(w, t, now) {
				c.stopTask(t, reasonEvacuated, now)
			}
		}
	}
	c.logEvacuations(now)
}

// mustLeave reports whether a task in an evacuated zone must be stopped now. Starts that
// no list has yet are withdrawn, also those of gangs. The start of a long-running task is
// withdrawn only if the task may become unavailable: it may have become ready since the
// last list, and its agent refuses it otherwise. Of the runs in progress, gangs and tasks
// that end soon or would lose their work are left to end.
func (c *Cell) mustLeave(w *workerRow, t *taskRow, now time.Time) bool {
	if t.stopping {
		return false
	}
	if !t.running {
		return !t.spec.LongRunning || t.step.allowsDisruption(t, now)
	}
	k, ok := c.moveCandidate(t)
	switch {
	case !ok, c.isLastRun(t):
		return false
	case !t.spec.LongRunning:
		return t.checkpoint != "" && t.expectedRemaining(c.runTimeRatios.estimate(k.job, k.step)) > c.evacuations.bound
	case !w.hasRecentReport(now) || c.isRoomContested(k.queue.Service, now) || c.evacuations.withoutRoom[k.step] ||
		!k.step.allowsDisruption(t, now):
		return false
	case !c.hasRoomElsewhere(w, &k, t, false, now):
		c.evacuations.withoutRoom[k.step] = true
		return false
	}
	c.evacuations.leaving[k.queue.Service] = leavingTask{t.name.String(), now}
	return true
}

// isRoomContested reports whether a long-running task of a service has left a zone and
// not yet taken its room elsewhere. Without this, several tasks would be stopped for
// the same room.
func (c *Cell) isRoomContested(service string, now time.Time) bool {
	l, ok := c.evacuations.leaving[service]
	if !ok || now.Sub(l.stoppedAt) > leaveWindow {
		return false
	}
	_, _, t := c.findTask(l.name)
	return t != nil && t.stopping
}

// expectedRemaining returns how long a running batch task is expected to take to its
// end: by its own speed if that is known, and otherwise by the estimate of its step.
func (t *taskRow) expectedRemaining(estimate time.Duration) time.Duration {
	remaining := float64(fullPercent-t.percent) / fullPercent
	if speed := t.speed.current; speed > 0 {
		return seconds(remaining / max(speed, minTaskSpeed))
	}
	return time.Duration(remaining * float64(estimate))
}

// logEvacuations appends an event for each new evacuation. A new owner waits until the
// workers have reported their tasks.
func (c *Cell) logEvacuations(now time.Time) {
	for _, zone := range slices.Sorted(maps.Keys(c.evacuations.zones)) {
		z := c.evacuations.zones[zone]
		tasks, hasWorker := c.tasksIn(zone)
		knownSince := c.ownedSince
		if !hasWorker {
			knownSince = Later(knownSince, z.since)
		}
		if z.logged || now.Sub(knownSince) < workersReportTime {
			continue
		}
		z.logged = true
		e := Event{Kind: EventZoneEvacuated, Zone: zone, Count: tasks}
		if !hasWorker {
			e.Reason = reasonNoWorker
		}
		c.events = append(c.events, e)
	}
}
