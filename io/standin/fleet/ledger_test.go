package fleet

import (
	"fmt"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/matryer/is"
)

func sampleJob() job.Job {
	need := job.Resources{Processors: 1000, Memory: 10}
	return job.Job{ID: "00000000000000aa", Steps: []job.Step{{Tasks: 1, Need: need}, {Tasks: 1, Need: need, After: []int{0}}}}
}

func sampleStart(task string) platform.StartRequest { return platform.StartRequest{Task: task, Run: 1} }

// lastingJob is a job of long-running tasks of which up to two may be away.
func lastingJob() job.Job {
	j := oneStepJob("00000000000000ab", 4, "lasting")
	j.Steps[0].LongRunning, j.Steps[0].MaxUnavailable = true, 2
	return j
}

func lastingTaskName(n int) string { return job.Task{Job: lastingJob().ID, Index: n}.String() }

func ownership(epoch int64, holder string) platform.Item {
	return platform.Item{Key: job.KeyOwner, Value: fmt.Appendf(nil, `{"epoch":%d,"holder":%q}`, epoch, holder)}
}

// TestLedgerReportsEachViolation checks that the ledger detects each kind of
// violation.
func TestLedgerReportsEachViolation(t *testing.T) {
	first, second := "00000000000000aa.0.0.0", "00000000000000aa.0.1.0"
	for name, violate := range map[string]func(l *Ledger){
		"unknown job":   func(l *Ledger) { l.RecordStart("w", sampleStart("00000000000000bb.0.0.0"), time.Now()) },
		"other payload": func(l *Ledger) { l.RecordStart("w", platform.StartRequest{Task: first, Payload: "x"}, time.Now()) },
		"checkpoint":    func(l *Ledger) { l.RecordStart("w", platform.StartRequest{Task: first, Checkpoint: "x"}, time.Now()) },
		"concurrent runs": func(l *Ledger) {
			l.RecordStart("w", sampleStart(first), time.Now())
			l.RecordStart("v", sampleStart(first), time.Now())
		},
		"run after done": func(l *Ledger) {
			l.RecordStart("w", sampleStart(first), time.Now())
			l.RecordEnd(first, job.EndDone, false)
			l.RecordStart("w", sampleStart(first), time.Now())
		},
		"step order":            func(l *Ledger) { l.RecordStart("w", sampleStart(second), time.Now()) },
		"false done state":      func(l *Ledger) { l.CheckState("00000000000000aa", job.Done) },
		"false cancelled state": func(l *Ledger) { l.CheckState("00000000000000aa", job.Cancelled) },
		"false failed state":    func(l *Ledger) { l.CheckState("00000000000000aa", job.Failed) },
		"done after acknowledged cancellation": func(l *Ledger) {
			l.RecordCancellation("00000000000000aa", true)
			l.CheckState("00000000000000aa", job.Cancelled)
			for _, name := range []string{first, second} {
				l.RecordStart("w", sampleStart(name), time.Now())
				l.RecordEnd(name, job.EndDone, false)
			}
			l.CheckState("00000000000000aa", job.Done)
		},
		"ended job counts as waiting": func(l *Ledger) {
			l.RecordResponse("00000000000000aa", true, false)
			l.RecordCancellation("00000000000000aa", true)
			l.CheckPending("s", 1, true)
			is.New(t).Equal(l.Violations(), nil) // the job may wait until its end is told
			l.CheckState("00000000000000aa", job.Cancelled)
			l.CheckPending("s", 1, false)
			is.New(t).Equal(l.Violations(), nil) // the count may be out of date
			l.CheckPending("s", 1, true)
		},
		"start after cancellation": func(l *Ledger) {
			l.RecordCancellation("00000000000000aa", true)
			l.RecordStart("w", sampleStart(first), time.Now().Add(maxCancelDelay+time.Millisecond))
		},
		"start after evacuation": func(l *Ledger) {
			l.RecordEvacuation("a", time.Second)
			l.RecordZoneOfStart("a", "w", first, time.Now().Add(time.Second+time.Millisecond))
		},
		"start after evacuation with a disturbed store": func(l *Ledger) {
			l.RecordEvacuation("a", time.Second)
			l.RecordStoreFault(true)
			l.RecordStoreFault(false)
			l.RecordZoneOfStart("a", "w", first, time.Now().Add(time.Second+outerDelay+time.Millisecond))
		},
		"run after the last permitted failure": func(l *Ledger) {
			for run := range int64(maxFailures) {
				is.New(t).Equal(l.Violations(), nil)
				l.RecordStart("w", sampleStart(first), time.Now())
				l.RecordEnd(first, job.EndFailed, false)
				l.RecordAcknowledgement(job.End{Task: first, Run: run, Outcome: job.EndFailed})
			}
			l.RecordStart("w", sampleStart(first), time.Now().Add(time.Millisecond))
		},
		"failed state before the last permitted failure": func(l *Ledger) {
			for range maxFailures - 1 {
				l.RecordStart("w", sampleStart(first), time.Now())
				l.RecordEnd(first, job.EndFailed, false)
			}
			l.CheckState("00000000000000aa", job.Failed)
		},
		"start on a draining worker": func(l *Ledger) {
			l.RecordDraining("w")
			l.CheckDraining("w", "agent", first, time.Now().Add(maxDrainDelay-time.Millisecond))
			is.New(t).Equal(l.Violations(), nil)
			l.CheckDraining("w", "agent", first, time.Now().Add(maxDrainDelay+time.Millisecond))
		},
		"two owners of an epoch": func(l *Ledger) {
			l.RecordWrite(ownership(1, "s"))
			l.RecordWrite(ownership(1, "s"))
			is.New(t).Equal(l.Violations(), nil)
			l.RecordWrite(ownership(1, "r"))
		},
		"ownership of an earlier epoch": func(l *Ledger) {
			l.RecordWrite(ownership(2, "s"))
			l.RecordWrite(ownership(1, "r"))
		},
		"decisions of two schedulers in an epoch": func(l *Ledger) {
			l.RecordDecision("s", 1)
			l.RecordDecision("s", 1)
			l.RecordDecision("r", 2)
			is.New(t).Equal(l.Violations(), nil)
			l.RecordDecision("r", 1)
		},
		"token that no scheduler owned": func(l *Ledger) {
			l.RecordWrite(ownership(1, "s"))
			l.RecordToken("w", "agent", 2, time.Now())
		},
		"lower token after a higher one": func(l *Ledger) {
			l.RecordToken("w", "agent", 1, time.Now())
			l.RecordToken("w", "agent", 2, time.Now())
			l.RecordToken("w", "agent", 1, time.Now().Add(maxOrderDelay-time.Millisecond))
			l.RecordToken("v", "agent", 1, time.Now().Add(time.Hour))
			is.New(t).Equal(l.Violations(), nil)
			l.RecordToken("w", "agent", 1, time.Now().Add(maxOrderDelay+time.Millisecond))
		},
		"stop while too many tasks are away": func(l *Ledger) {
			for n := range 4 {
				l.RecordReady(lastingTaskName(n))
			}
			stop := func(n int) {
				l.CheckStop("w", "agent", lastingTaskName(n), 1, time.Now().Add(readyReportTime))
				l.RecordEnd(lastingTaskName(n), job.EndStopped, false)
			}
			stop(0)
			stop(1) // one other is away, of at most two
			is.New(t).Equal(l.Violations(), nil)
			stop(2)
		},
		"configuration not in force": func(l *Ledger) {
			l.RecordConfiguration(2)
			l.CheckConfiguration("s", 2, true, time.Now().Add(time.Hour))
			l.CheckConfiguration("s", 2, false, time.Now().Add(maxConfigurationDelay-time.Millisecond))
			is.New(t).Equal(l.Violations(), nil)
			l.CheckConfiguration("s", 2, false, time.Now().Add(maxConfigurationDelay+time.Millisecond))
		},
		"run after refusal": func(l *Ledger) { l.CheckRefusals(map[string]bool{"00000000000000aa": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			l.RecordSubmission(sampleJob())
			l.RecordSubmission(lastingJob())
			violate(l)
			is.New(t).True(len(l.Violations()) > 0)
		})
	}
}

// TestLedgerAcceptsCorrectRun checks that the ledger reports no violation for a job
// that runs correctly.
func TestLedgerAcceptsCorrectRun(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSubmission(sampleJob())
	l.RecordResponse(sampleJob().ID, true, false)
	l.RecordEvacuation("a", time.Second)
	l.RecordEvacuation("b", 0)
	l.RecordReopening("b")
	for _, name := range []string{"00000000000000aa.0.0.0", "00000000000000aa.0.1.0"} {
		l.RecordZoneOfStart("a", "w", name, time.Now())
		l.RecordZoneOfStart("b", "v", name, time.Now())
		l.RecordStart("w", sampleStart(name), time.Now())
		l.RecordEnd(name, job.EndDone, false)
	}
	l.CheckState(sampleJob().ID, job.Done)
	l.CheckState(sampleJob().ID, job.Done)
	l.CheckRefusals(map[string]bool{sampleJob().ID: true})
	is.Equal(l.Violations(), nil)
	is.Equal(l.Unfinished(map[string]bool{sampleJob().ID: true}), nil)
	is.Equal(len(l.Unfinished(nil)), 1)
}

// TestLedgerAcceptsFailures checks that a job may be reported as failed once a task has
// failed as often as its queue permits, and that a failure whose end was lost does not
// count against a further start.
func TestLedgerAcceptsFailures(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSubmission(sampleJob())
	first := "00000000000000aa.0.0.0"
	for range maxFailures {
		l.RecordStart("w", sampleStart(first), time.Now())
		l.RecordEnd(first, job.EndFailed, false)
	}
	l.RecordStart("w", sampleStart(first), time.Now())
	l.CheckState("00000000000000aa", job.Failed)
	is.Equal(l.Violations(), nil)
}

// TestLedgerJudgesOnlyProcessesInTouch checks that the ledger reports no start on a draining
// worker while the agent, the store or the machine is disturbed, within contactTime of that,
// and once the worker is ready again. Otherwise the checks would give false alarms.
func TestLedgerJudgesOnlyProcessesInTouch(t *testing.T) {
	for _, name := range []string{"agent", storeName, machineName} {
		is := is.New(t)
		l := NewLedger()
		l.RecordDraining("w")
		ended := l.Disturb(name)
		start := func(after time.Duration) { l.CheckDraining("w", "agent", "t", time.Now().Add(after)) }
		start(time.Hour)
		ended()
		start(contactTime - time.Millisecond)
		is.Equal(l.Violations(), nil)
		start(contactTime + time.Millisecond)
		is.Equal(len(l.Violations()), 1)
		l.RecordNotDraining("w")
		start(time.Hour)
		l.RecordConfiguration(2)
		l.CheckConfiguration("agent", 2, false, time.Now().Add(contactTime-100*time.Millisecond))
		is.Equal(len(l.Violations()), 1)
	}
}

// TestLedgerAcceptsStops checks that the ledger accepts a stop after a cancellation, or of a
// task that is not ready, or while the others have just been lost, or are ready again.
func TestLedgerAcceptsStops(t *testing.T) {
	lose := func(l *Ledger, o job.Outcome) {
		for n := range 2 {
			l.RecordEnd(lastingTaskName(n), o, false)
		}
	}
	for name, prepare := range map[string]func(l *Ledger){
		"cancelled": func(l *Ledger) { lose(l, job.EndStopped); l.RecordCancellation(lastingJob().ID, false) },
		"not ready": func(l *Ledger) { lose(l, job.EndStopped); l.RecordEnd(lastingTaskName(3), job.EndLapsed, false) },
		"just lost": func(l *Ledger) { lose(l, job.EndLapsed) },
		"just ready": func(l *Ledger) {
			lose(l, job.EndStopped)
			l.lasting[lastingTaskName(3)].readySince = time.Now().Add(time.Millisecond)
		},
		"ready again": func(l *Ledger) {
			lose(l, job.EndStopped)
			l.RecordReady(lastingTaskName(0))
		},
		"disturbed agent": func(l *Ledger) { lose(l, job.EndStopped); l.Disturb("agent") },
		"disturbed owner": func(l *Ledger) {
			lose(l, job.EndStopped)
			l.RecordWrite(ownership(1, "s"))
			l.Disturb("s")()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			l.RecordSubmission(lastingJob())
			for n := range 4 {
				l.RecordReady(lastingTaskName(n))
			}
			prepare(l)
			l.CheckStop("w", "agent", lastingTaskName(3), 1, time.Now().Add(readyReportTime))
			is.New(t).Equal(l.Violations(), nil)
		})
	}
}

// TestWorkerReportsOverload checks that a worker reports a violation when its tasks
// need more than its capacity.
func TestWorkerReportsOverload(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	j := sampleJob()
	j.Payload = "ms=100"
	j.Steps = []job.Step{{Tasks: 5, Need: job.Resources{Processors: 1000, Memory: 10}}}
	l.RecordSubmission(j)
	w := NewWorker("w", "svc", addr("127.0.0.1:1"), addr("127.0.0.1:2"), l)
	for i := range 5 {
		_, err := w.Start(startRequest(w, job.Task{Job: j.ID, Index: i}.String(), time.Second))
		is.NoErr(err)
	}
	is.Equal(len(l.Violations()), 1)
}

// TestLedgerListsRunsOfCancelledJobs checks that a run of a cancelled job is listed
// until it ends.
func TestLedgerListsRunsOfCancelledJobs(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSubmission(sampleJob())
	name := "00000000000000aa.0.0.0"
	l.RecordStart("w", sampleStart(name), time.Now())
	is.Equal(l.ActiveCancelled(), nil)
	l.RecordCancellation("00000000000000aa", true)
	is.Equal(l.ActiveCancelled(), []string{name})
	l.RecordEnd(name, job.EndStopped, false)
	is.Equal(l.ActiveCancelled(), nil)
}
