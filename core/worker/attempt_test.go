package worker

import (
	"testing"
	"time"

	"rosemarygap/core/wire"

	"github.com/matryer/is"
)

// Guards against a late result of an earlier attempt ending the current attempt.
// The result arrives late either in a worker's report or as a journal record.
func TestEarlierAttemptResultsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := NewCell(0, Timings{Grant: time.Second, Hold: time.Minute})
	started := Record{Kind: KindStarted, ID: "a", Worker: "w", Incarnation: 1}
	c.Apply(Record{Kind: KindSubmitted, Job: &Job{ID: "a"}})
	for n := range 2 {
		started.Attempt = n + 1
		c.Apply(Record{Kind: KindInterrupted, ID: "a", Worker: "w", Attempt: n})
		c.Apply(started)
	}
	c.Apply(c.OpeningRecord(now))
	c.Open(1, now)
	c.Receive(Command{Worker: "w", Lease: Lease{Epoch: 1}}, &Report{Worker: "w", Epoch: 1,
		Stamp: Stamp{Incarnation: 1, Time: 1}, LeaseLeft: wire.Duration(time.Minute),
		Tasks: []TaskReport{{Job: "a", Attempt: 1, State: TaskDone}}}, now)
	is.Equal(len(c.Plan(now)), 0)
	c.Apply(Record{Kind: KindFinished, ID: "a", Worker: "w", Attempt: 1})
	is.Equal(c.Job("a").State, Running)
}
