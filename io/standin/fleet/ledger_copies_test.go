package fleet

import (
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/matryer/is"
)

const copiedTask = "00000000000000ac.0.0.0"

// copiesLedger returns a ledger that knows a job whose tasks may be copied.
func copiesLedger(allowed bool) *Ledger {
	l := NewLedger()
	j := oneStepJob("00000000000000ac", 1, "")
	j.Steps[0].Speculative = true
	l.RecordSubmission(j)
	if allowed {
		l.AllowCopies()
	}
	return l
}

// startCopied starts a run of the copied task on a worker, after the given time.
func startCopied(l *Ledger, worker string, run int64, after time.Duration) {
	l.RecordStart(worker, platform.StartRequest{Task: copiedTask, Run: run}, time.Now().Add(after))
}

// endCopied ends a run of the copied task and acknowledges that.
func endCopied(l *Ledger, o job.Outcome) {
	l.RecordEnd(copiedTask, o, false)
	l.RecordAcknowledgement(job.End{Task: copiedTask, Outcome: o})
}

// TestLedgerReportsCopies checks that the ledger detects each violation of the rules for
// copies, and nothing before it.
func TestLedgerReportsCopies(t *testing.T) {
	late := maxStartAfterEnd + time.Millisecond
	for name, test := range map[string]struct{ prepare, violate func(l *Ledger) }{
		"third run": {func(l *Ledger) {}, func(l *Ledger) { startCopied(l, "u", 3, 0) }},
		"one number on two workers": {func(l *Ledger) { endCopied(l, job.EndLapsed) },
			func(l *Ledger) { startCopied(l, "u", 1, 0) }},
		"start after the acknowledged end": {func(l *Ledger) { endCopied(l, job.EndDone); startCopied(l, "u", 3, time.Millisecond) },
			func(l *Ledger) { l.RecordEnd(copiedTask, job.EndStopped, false); startCopied(l, "u", 4, late) }},
		"start after the job was shown as done": {func(l *Ledger) {
			l.RecordEnd(copiedTask, job.EndDone, false)
			l.CheckState("00000000000000ac", job.Done)
		}, func(l *Ledger) { startCopied(l, "u", 3, late) }},
		"start after the loser was lost": {func(l *Ledger) {
			endCopied(l, job.EndDone)
			l.RecordEnd(copiedTask, job.EndDone, false)
			l.RecordEnd(copiedTask, "", true)
		}, func(l *Ledger) { startCopied(l, "u", 3, late) }},
		"failed by the loser's end": {func(l *Ledger) {
			endCopied(l, job.EndFailed)
			for run := range int64(maxFailures - 2) {
				startCopied(l, "u", 3+run, 0)
				endCopied(l, job.EndFailed)
			}
			endCopied(l, job.EndDone)
			startCopied(l, "u", 9, 0)
			endCopied(l, job.EndFailed)
		}, func(l *Ledger) { l.CheckState("00000000000000ac", job.Failed) }},
		"failed while the other run is active": {func(l *Ledger) {
			for run := range int64(maxFailures) {
				endCopied(l, job.EndFailed)
				if run < maxFailures-1 {
					startCopied(l, "u", 3+run, 0)
				}
			}
		}, func(l *Ledger) { l.CheckState("00000000000000ac", job.Failed) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := copiesLedger(true)
			startCopied(l, "w", 1, 0)
			startCopied(l, "v", 2, 0)
			test.prepare(l)
			is.Equal(l.Violations(), nil)
			test.violate(l)
			is.Equal(len(l.Violations()), 1)
		})
	}
}

// TestLedgerReportsCopiesWhileOff checks that a second run is a violation unless copies are
// allowed and the step permits them.
func TestLedgerReportsCopiesWhileOff(t *testing.T) {
	is := is.New(t)
	l := copiesLedger(false)
	startCopied(l, "w", 1, 0)
	startCopied(l, "v", 2, 0)
	is.Equal(len(l.Violations()), 1)
	l = copiesLedger(true)
	l.RecordSubmission(sampleJob())
	l.RecordStart("w", sampleStart("00000000000000aa.0.0.0"), time.Now())
	l.RecordStart("v", sampleStart("00000000000000aa.0.0.0"), time.Now())
	is.Equal(len(l.Violations()), 1)
}

// TestLedgerAcceptsCopies checks that a job whose copy wins, and whose other run then fails
// or is done as well, is accepted.
func TestLedgerAcceptsCopies(t *testing.T) {
	for _, o := range []job.Outcome{job.EndStopped, job.EndFailed, job.EndLapsed, job.EndDone} {
		is := is.New(t)
		l := copiesLedger(true)
		startCopied(l, "w", 1, 0)
		startCopied(l, "v", 2, 0)
		endCopied(l, job.EndDone)
		endCopied(l, o)
		l.CheckState("00000000000000ac", job.Done)
		is.Equal(l.Violations(), nil)
		is.Equal(l.Judged()["copies"], 1)
	}
}
