// Package delay tells from the log of a scheduler where the time of its jobs went and why
// tasks waited.
//
// Invariant: the analysis depends only on the records that were added, in the order of
// their times. A Log belongs to one goroutine.
package delay

import (
	"slices"
	"strings"
	"time"
)

// lateFactor is the multiple of its latency objective after which the result of a job has no
// value any more, as for core/job.
const lateFactor = 3

// Record is what a log line says about jobs, from any process.
type Record struct {
	At    time.Time
	Event int
	// Job, Task and Step are names; a line has at most one of them.
	Job, Task, Step string
	Queue           string
	Decision        string
	Reason          string
	Elapsed         time.Duration
	Objective       time.Duration
	Count           int
	// Capacity and Free are processors in thousandths.
	Capacity, Free int
}

// Numbers of the events that a Log uses; see docs/EVENTS.md.
const (
	eventAccepted        = 7001
	eventRefused         = 7002
	eventTaskDecided     = 7010
	eventStepWaited      = 7054
	eventRoomSampled     = 7055
	eventOutlookWorsened = 7056
)

// Log is the history of the jobs of a scheduler.
type Log struct {
	jobs map[string]*jobHistory
	// starts are all first starts of tasks in order.
	starts  []start
	room    []RoomSample
	refused map[string]int
	end     time.Time
}

// start is the first start of a task.
type start struct {
	at  time.Time
	job *jobHistory
}

// jobHistory is what the log says about one job.
type jobHistory struct {
	id, queue string
	accepted  time.Time
	objective time.Duration
	ended     time.Time
	state     string
	steps     map[string]*stepHistory
	// lateKnown and tooLateKnown are when the scheduler first knew, or zero.
	lateKnown, tooLateKnown time.Time
	// waits is the time in which tasks of each step waited, by reason.
	waits map[string]time.Duration
	// interrupted counts the runs that had to be repeated, by reason.
	interrupted map[string]int
}

type stepHistory struct {
	tasks map[string]*taskHistory
}

type taskHistory struct{ firstStart, lastStart, end time.Time }

// RoomSample is the room at one time.
type RoomSample struct {
	At time.Time `json:"at"`
	// Free is the share of the processors that are expected to be unused, and Waiting the
	// number of waiting tasks.
	Free    float64 `json:"free"`
	Waiting int     `json:"waiting"`
}

// NewLog returns a Log without records.
func NewLog() *Log { return &Log{jobs: map[string]*jobHistory{}, refused: map[string]int{}} }

// Add adds a record. Its time must not be before that of the record added last.
func (l *Log) Add(r Record) {
	l.end = r.At
	switch r.Event {
	case eventAccepted:
		j := l.job(r.Job)
		if j.accepted.IsZero() { // a submission may be repeated
			j.accepted, j.queue, j.objective = r.At.Add(-r.Elapsed), r.Queue, r.Objective
		}
	case eventRefused:
		l.refused[r.Queue]++
	case eventTaskDecided:
		l.addDecision(r)
	case eventStepWaited:
		id, _, _ := strings.Cut(r.Step, ".")
		l.job(id).waits[r.Reason] += r.Elapsed
	case eventRoomSampled:
		if r.Capacity > 0 {
			l.room = append(l.room, RoomSample{r.At, float64(r.Free) / float64(r.Capacity), r.Count})
		}
	case eventOutlookWorsened:
		j := l.job(r.Job)
		if j.lateKnown.IsZero() {
			j.lateKnown = r.At
		}
		if r.Reason == "too-late" && j.tooLateKnown.IsZero() {
			j.tooLateKnown = r.At
		}
	}
}

func (l *Log) job(id string) *jobHistory {
	j := l.jobs[id]
	if j == nil {
		j = &jobHistory{id: id, steps: map[string]*stepHistory{}, waits: map[string]time.Duration{}, interrupted: map[string]int{}}
		l.jobs[id] = j
	}
	return j
}

func (l *Log) addDecision(r Record) {
	id, _, _ := strings.Cut(r.Task, ".")
	j := l.job(id)
	if r.Decision == "final" {
		j.ended, j.state = r.At, r.Reason
		return
	}
	t := j.task(r.Task)
	switch r.Decision {
	case "start":
		if t.firstStart.IsZero() {
			t.firstStart = r.At
			l.starts = append(l.starts, start{r.At, j})
		}
		t.lastStart = r.At
	case "stop":
		j.interrupted[r.Reason]++
	case "end":
		if r.Reason == "done" {
			t.end = r.At
		} else if r.Reason != "stopped" { // the stop was counted
			j.interrupted[r.Reason]++
		}
	case "lost", "absent":
		j.interrupted[r.Reason]++
	}
}

// task returns the history of the named task.
func (j *jobHistory) task(name string) *taskHistory {
	step := name[:max(0, strings.LastIndexByte(name, '.'))]
	s := j.steps[step]
	if s == nil {
		s = &stepHistory{tasks: map[string]*taskHistory{}}
		j.steps[step] = s
	}
	t := s.tasks[name]
	if t == nil {
		t = &taskHistory{}
		s.tasks[name] = t
	}
	return t
}

// Parts are the parts of the time of a job, summed up over its steps.
type Parts struct {
	// ToFirst is the time from when a step was ready to its first start, and Spread the
	// time from there to the first start of its last task.
	ToFirst, Spread time.Duration
	// Repeated is the time until the last start of a task of the step, after an earlier
	// run had been stopped, lost or failed.
	Repeated time.Duration
	// Running is the rest until the end of the step.
	Running time.Duration
}

func (p *Parts) add(o Parts) {
	p.ToFirst += o.ToFirst
	p.Spread += o.Spread
	p.Repeated += o.Repeated
	p.Running += o.Running
}

// span is the time of one step.
type span struct{ first, spread, last, end time.Time }

// spans returns the spans of the steps that have started, in the order of their first
// starts. The end of a step that has not ended is that of the log.
func (j *jobHistory) spans(end time.Time) []span {
	var out []span
	for _, s := range j.steps {
		var x span
		for _, t := range s.tasks {
			if t.firstStart.IsZero() {
				continue
			}
			if x.first.IsZero() || t.firstStart.Before(x.first) {
				x.first = t.firstStart
			}
			x.spread, x.last = later(x.spread, t.firstStart), later(x.last, t.lastStart)
			if t.end.IsZero() {
				x.end = end
			}
			x.end = later(x.end, t.end)
		}
		if !x.first.IsZero() {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b span) int { return a.first.Compare(b.first) })
	return out
}

// parts returns the parts of the time of the job. A step counts as ready at the last end
// of the steps before it.
func (j *jobHistory) parts(spans []span) Parts {
	var out Parts
	ready := j.accepted
	for i, x := range spans {
		for _, before := range spans[:i] {
			if !before.end.After(x.first) {
				ready = later(ready, before.end)
			}
		}
		out.add(Parts{max(0, x.first.Sub(ready)), x.spread.Sub(x.first), x.last.Sub(x.spread), max(0, x.end.Sub(x.last))})
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
