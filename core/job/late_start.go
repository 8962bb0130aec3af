package job

import (
	"slices"
	"time"
)

// LateStartWindow is how long after it was sent a start without an answer may take
// effect. On the platform, a call may take effect up to 12 s late.
const LateStartWindow = 15 * time.Second

// sentStart is a start that was ordered from a process of the worker's agent. Its time is
// that of the order or, for a run that an earlier owner ordered, of its first report. The agent
// makes starts without an answer impossible on a later incarnation of the worker before it
// reports that incarnation, but its next process does not know them.
type sentStart struct {
	task Task
	run  int64
	// worker is the ID of the worker.
	worker  string
	process int64
	at      time.Time
}

// recordSentStart records that the start of the current run of t is ordered, or was ordered
// by an earlier owner, and forgets the starts that can no longer take effect.
func (w *workerRow) recordSentStart(t *taskRow, now time.Time) {
	n := 0
	starts := w.record.recentStarts
	for n < len(starts) && now.Sub(starts[n].at) > LateStartWindow {
		n++
	}
	w.record.recentStarts = append(starts[n:], sentStart{t.name, t.run, w.ID, w.process, now})
}

// startsOfFormerProcesses returns the starts that an earlier process of the agent may have
// sent and that may still take effect, also on a new incarnation of the worker.
func (w *workerRow) startsOfFormerProcesses(now time.Time) []sentStart {
	var out []sentStart
	for _, s := range w.record.recentStarts {
		if s.worker == w.ID && s.process != w.process && now.Sub(s.at) <= LateStartWindow {
			out = append(out, s)
		}
	}
	return out
}

// isLateStart reports whether the start of the current run of t is in late.
func isLateStart(late []sentStart, t *taskRow) bool {
	return slices.ContainsFunc(late, func(s sentStart) bool { return s.task == t.name && s.run == t.run })
}

// stopLateStarts makes the starts in late impossible on the current incarnation: it orders
// the runs to stop that are not stopped as those of assigned tasks, for example because
// they ended on the incarnation before.
func (w *workerRow) stopLateStarts(late []sentStart) {
	for _, s := range late {
		if t := w.tasks[s.task]; t == nil || t.run != s.run {
			w.enqueueOrder(Order{Kind: OrderStop, Task: s.task.String(), Run: s.run})
		}
	}
}
