package worker

import (
	"maps"
	"slices"
	"strings"
)

// list puts the desired tasks into l, or refers to the message that carried
// the same list if the worker has obeyed that one.
func (w *workerRow) list(l *Lease, tasks []DesiredTask) {
	if w.report != nil && w.listedSeq != 0 && w.report.Listed == w.listedSeq &&
		slices.Equal(tasks, w.listed) {
		l.SameAs = w.listedSeq
		return
	}
	l.Tasks = tasks
	w.listed, w.listedSeq = tasks, l.Seq
}

// complete adds to a report of changes what it leaves out. It reports false
// if the report that it is based on is not known here.
func (w *workerRow) complete(r *Report) bool {
	if r.Base == 0 {
		return true
	}
	if w.report == nil || w.report.Stamp.Incarnation != r.Stamp.Incarnation ||
		w.report.Stamp.Time < r.Base {
		return false
	}
	changed := make(map[string]TaskReport, len(w.report.Tasks))
	for _, t := range slices.Concat(w.report.Tasks, r.Tasks) {
		changed[t.Job] = t
	}
	r.Base = 0
	r.Tasks = slices.SortedFunc(maps.Values(changed), func(a, b TaskReport) int {
		return strings.Compare(a.Job, b.Job)
	})
	return true
}
