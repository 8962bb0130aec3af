package worker

import (
	"maps"
	"slices"
	"strings"
)

// setTasks sets the tasks of l. If the worker has already applied an identical
// list, l refers to the message with that list instead.
func (w *workerRow) setTasks(l *Lease, tasks []DesiredTask) {
	if w.report != nil && w.sentTasksSeq != 0 && w.report.Listed == w.sentTasksSeq &&
		slices.Equal(tasks, w.sentTasks) {
		l.SameAs = w.sentTasksSeq
		return
	}
	l.Tasks = tasks
	w.sentTasks, w.sentTasksSeq = tasks, l.Seq
}

// expandDelta adds the unchanged tasks to a report that contains only changes.
// It returns false if the newest known report is of another incarnation or older
// than the base of the delta.
func (w *workerRow) expandDelta(r *Report) bool {
	if r.Base == 0 {
		return true
	}
	if w.report == nil || w.report.Stamp.Incarnation != r.Stamp.Incarnation ||
		w.report.Stamp.Time < r.Base {
		return false
	}
	merged := make(map[string]TaskReport, len(w.report.Tasks))
	for _, t := range slices.Concat(w.report.Tasks, r.Tasks) {
		merged[t.Job] = t
	}
	r.Base = 0
	r.Tasks = slices.SortedFunc(maps.Values(merged), func(a, b TaskReport) int {
		return strings.Compare(a.Job, b.Job)
	})
	return true
}
