package job

import "testing"

// The start of a copy can take effect late, too: after its agent and its worker were
// replaced, it must be stopped on the next incarnation before the task gets another copy.
func TestLateStartOfCopyIsStoppedOnNextIncarnation(t *testing.T) {
	cc := newCopyCluster(t, 4, stepWithCopies(1, 800), WithCopies())
	cc.silence()
	w := cc.other()
	run := w.report.Running[0]
	w.report.Process++
	cc.deliverReport(w.report.Agent)
	next := *w.report.Worker
	next.Incarnation, next.Sequence = next.Incarnation+1, 1
	r := w.report
	r.Worker, r.Running, r.Ended, r.Listed = &next, nil, nil, false
	cc.Receive(&r, cc.now)
	pending := cc.workers.Get(r.Agent).pending
	cc.is.Equal(len(pending), 1)
	cc.is.Equal(pending[0].Kind, OrderStop)
	cc.is.Equal(pending[0].Incarnation, next.Incarnation)
	cc.is.Equal(runID{pending[0].Task, pending[0].Run}, runID{run.Task, run.Run})
}
