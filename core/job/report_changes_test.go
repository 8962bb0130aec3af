package job

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// drawReport draws a report of process 1 whose lists overlap with those of other draws.
func drawReport(t *rapid.T) *Report {
	r := &Report{Agent: "agent", Process: 1, Epoch: rapid.Int64Range(1, 3).Draw(t, "epoch"), Listed: rapid.Bool().Draw(t, "listed"),
		LongPoll: rapid.Bool().Draw(t, "wait"), Clock: time.Duration(rapid.Int64().Draw(t, "clock")), Left: rapid.Bool().Draw(t, "left"),
		Worker: &Worker{ID: "i", Incarnation: 1, Sequence: rapid.Int64().Draw(t, "sequence"),
			Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Draining: rapid.Bool().Draw(t, "draining")}}
	if !r.Listed {
		return r
	}
	for range rapid.IntRange(0, 6).Draw(t, "running") {
		r.Running = append(r.Running, Run{Task: fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "task")), Run: rapid.Int64Range(1, 2).Draw(t, "run"),
			Percent: rapid.IntRange(0, 2).Draw(t, "percent"), Load: rapid.Int().Draw(t, "load"),
			Throttled: rapid.Bool().Draw(t, "throttled"), Checkpoint: rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "checkpoint")})
	}
	number := rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, 2}).Draw(t, "first end")
	for range rapid.IntRange(0, 4).Draw(t, "ended") {
		r.Ended = append(r.Ended, End{Number: number, Task: rapid.SampledFrom([]string{"e", "f"}).Draw(t, "ended task"), Outcome: EndDone})
		number += rapid.Int64Range(1, 2).Draw(t, "end step")
	}
	for range rapid.IntRange(0, 1).Draw(t, "absent") {
		r.Absent = append(r.Absent, AbsentRun{Task: "a", Run: 1, Reason: "draining"})
	}
	return r
}

func encode(t interface{ Fatal(...any) }, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// overWire returns what the owner decodes of d.
func overWire(t interface{ Fatal(...any) }, d ReportChanges) *ReportChanges {
	var out ReportChanges
	if err := json.Unmarshal([]byte(encode(t, &d)), &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// A run, an end or a field that a delta loses or invents would make the owner start a
// task twice or wait for one forever.
func TestDeltaGivesReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, r := drawReport(t), drawReport(t)
		before := encode(t, base)
		d, ok := CompareReports(base, r)
		if !ok {
			t.Fatal("not expressible")
		}
		got, err := overWire(t, d).Apply(base)
		if err != nil {
			t.Fatal(err)
		}
		if encode(t, got) != encode(t, r) {
			t.Fatalf("got %s\nwant %s", encode(t, got), encode(t, r))
		}
		if encode(t, base) != before {
			t.Fatal("the base has changed")
		}
	})
}

// sentReport is a report on its way: whole, or as a delta.
type sentReport struct {
	number int64
	whole  *Report
	delta  *ReportChanges
}

// Late, lost and repeated reports must neither give the owner a state that the agent
// never reported nor bring back an earlier one.
func TestReorderedDeltasGiveOnlyReportedStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bases ReportBases
		var numbering ReportNumbering
		var sent []sentReport
		newest := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "memory lost") == 0 {
				bases = ReportBases{}
				newest = 0
			}
			if len(sent) == 0 || rapid.Bool().Draw(t, "send") {
				r := drawReport(t)
				r.LongPoll = false // long polls have no number
				s := sentReport{number: numbering.Next(), whole: r}
				if d, ok := numbering.Encode(r, s.number, 1); ok {
					s.delta = overWire(t, d)
				}
				sent = append(sent, s)
			}
			s := rapid.SampledFrom(sent).Draw(t, "arrives")
			copied := *s.whole
			r := &copied
			r.Delta.Number = s.number
			if s.delta != nil {
				var err error
				if r, err = bases.Expand(s.delta); err != nil {
					if !errors.Is(err, status.ErrUnknownRef) {
						t.Fatal(err)
					}
					numbering.ResetFrom(s.delta.Base)
					continue
				}
			}
			if encode(t, r) != encode(t, s.whole) {
				t.Fatalf("number %d: got %s\nwant %s", s.number, encode(t, r), encode(t, s.whole))
			}
			if bases.IsLate(r) != (s.number <= newest) {
				t.Fatalf("number %d after %d", s.number, newest)
			}
			if !bases.Keep(r) {
				continue
			}
			newest = s.number
			if s.number == numbering.last && rapid.Bool().Draw(t, "confirmed") {
				numbering.Confirm(s.whole, s.number, 1)
			}
		}
	})
}

// A malformed delta must be refused with a code and must not end the owner by a panic.
func TestMalformedDeltaIsRefused(t *testing.T) {
	base := &Report{Agent: "agent", Process: 1, Listed: true, Worker: &Worker{ID: "i", Incarnation: 1},
		Running: []Run{{Task: "a", Run: 1}, {Task: "b", Run: 1}}, Ended: []End{{Number: 5}}}
	run, next := Run{Task: "c", Run: 1}, &Worker{ID: "i", Incarnation: 2}
	for name, d := range map[string]ReportChanges{
		"index too high":                {Removed: []int64{2}},
		"index negative":                {Removed: []int64{-1}},
		"indices out of order":          {Removed: []int64{1, 0}},
		"index repeated":                {Changed: []int64{0, 1, 1, 0, 0, 1, 1, 0}},
		"changed index too high":        {Changed: []int64{2, 1, 1, 0}},
		"changed cut off":               {Changed: []int64{0, 1, 1}},
		"throttled neither 0 nor 1":     {Changed: []int64{0, 1, 1, 2}},
		"checkpoint index too high":     {CheckpointIndices: []int64{2}, Checkpoints: []string{"c"}},
		"checkpoint without an index":   {Checkpoints: []string{"c"}},
		"added run without a position":  {Added: []Run{run}},
		"position too high":             {Positions: []int64{3}, Added: []Run{run}},
		"positions out of order":        {Positions: []int64{1, 0}, Added: []Run{run, run}},
		"ended numbers out of order":    {Ended: []End{{Number: 7}, {Number: 6}}},
		"ended number below the base's": {Ended: []End{{Number: 5}}},
		"list too long":                 {Removed: make([]int64, maxChangesLength+1)},
		"another incarnation":           {Worker: next},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d.Agent, d.Process, d.Listed = "agent", 1, true
			r, err := d.Apply(base)
			is.True(r == nil)
			is.True(errors.Is(err, status.ErrOutOfRange))
		})
	}
	unlisted := ReportChanges{Agent: "agent", Process: 1, Removed: []int64{0}}
	_, err := unlisted.Apply(base)
	is.New(t).True(errors.Is(err, status.ErrOutOfRange))
}

// The lists of another incarnation or process must never be combined with those of the
// base: the incarnations of a worker number their ends independently.
func TestFirstReportIsWhole(t *testing.T) {
	is := is.New(t)
	r := Report{Agent: "agent", Process: 1, Worker: &Worker{ID: "i", Incarnation: 1}}
	restarted, replaced := r, r
	restarted.Worker, replaced.Process = &Worker{ID: "i", Incarnation: 2}, 2
	var n ReportNumbering
	_, ok := n.Encode(&r, n.Next(), 1)
	is.True(!ok) // nothing is confirmed
	n.Confirm(&r, 1, 1)
	_, ok = n.Encode(&r, n.Next(), 1)
	is.True(ok)
	_, ok = n.Encode(&r, n.Next(), 2)
	is.True(!ok) // another owner
	_, ok = n.Encode(&restarted, n.Next(), 1)
	is.True(!ok)
	_, ok = n.Encode(&replaced, n.Next(), 1)
	is.True(!ok)
}

// While replies are lost, the agent continues from the last confirmed base. If the owner
// dropped it, each lost reply would cost a whole report.
func TestLostReplyIsNoGap(t *testing.T) {
	is := is.New(t)
	var bases ReportBases
	var n ReportNumbering
	r := &Report{Agent: "agent", Process: 1, Worker: &Worker{ID: "i", Incarnation: 1}}
	r.Delta.Number = n.Next()
	is.True(bases.Keep(r))
	n.Confirm(r, 1, 1)
	for range 5 {
		d, ok := n.Encode(r, n.Next(), 1)
		is.True(ok)
		is.Equal(d.Base, int64(1))
		got, err := bases.Expand(&d)
		is.NoErr(err)
		is.True(bases.Keep(got))
	}
}
