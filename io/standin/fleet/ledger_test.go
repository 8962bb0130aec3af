package fleet

import (
	"testing"
	"time"

	"rosemarygap/core/job"

	"github.com/matryer/is"
)

func sample() job.Job {
	need := job.Resources{Processors: 1000, Memory: 10}
	return job.Job{ID: "00000000000000aa", Steps: []job.Step{{Tasks: 1, Need: need}, {Tasks: 1, Need: need, After: []int{0}}}}
}

// Each check fails when its promise is broken.
func TestLedgerSeesEachBreach(t *testing.T) {
	first, second := "00000000000000aa.0.0.0", "00000000000000aa.0.1.0"
	for name, breach := range map[string]func(l *Ledger){
		"unasked":         func(l *Ledger) { l.RecordStart("w", "00000000000000bb.0.0.0") },
		"twice at a time": func(l *Ledger) { l.RecordStart("w", first); l.RecordStart("v", first) },
		"after its end": func(l *Ledger) {
			l.RecordStart("w", first)
			l.RecordEnd(first, job.EndDone, false)
			l.RecordStart("w", first)
		},
		"order":         func(l *Ledger) { l.RecordStart("w", second) },
		"false done":    func(l *Ledger) { l.CheckState("00000000000000aa", job.Done) },
		"false cancel":  func(l *Ledger) { l.CheckState("00000000000000aa", job.Cancelled) },
		"false failure": func(l *Ledger) { l.CheckState("00000000000000aa", job.Failed) },
		"false refusal": func(l *Ledger) { l.CheckRefusals(map[string]bool{"00000000000000aa": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			l.RecordSubmission(sample())
			breach(l)
			is.New(t).True(len(l.Violations()) > 0)
		})
	}
}

// What keeps the promises is not reported.
func TestLedgerKeepsStill(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSubmission(sample())
	l.RecordResponse(sample().ID, true, false)
	for _, name := range []string{"00000000000000aa.0.0.0", "00000000000000aa.0.1.0"} {
		l.RecordStart("w", name)
		l.RecordEnd(name, job.EndDone, false)
	}
	l.CheckState(sample().ID, job.Done)
	l.CheckRefusals(map[string]bool{sample().ID: true})
	is.Equal(l.Violations(), nil)
	is.Equal(l.Unfinished(map[string]bool{sample().ID: true}), nil)
	is.Equal(len(l.Unfinished(nil)), 1)
}

// A worker over its capacity is reported.
func TestWorkerSeesOverload(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	j := sample()
	j.Steps = []job.Step{{Tasks: 5, Need: job.Resources{Processors: 1000, Memory: 10}}}
	l.RecordSubmission(j)
	w := NewWorker("w", "svc", addr("127.0.0.1:1"), addr("127.0.0.1:2"), l)
	for i := range 5 {
		_, err := w.Start(startOf(w, job.Task{Job: j.ID, Index: i}.String(), time.Second))
		is.NoErr(err)
	}
	is.Equal(len(l.Violations()), 1)
}
