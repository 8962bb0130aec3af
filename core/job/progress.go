package job

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/status"
)

// Progress is the durable state of a live job, apart from the Job itself.
type Progress struct {
	Started bool `json:"started,omitempty"`
	// Next is the first occurrence that has not been opened. Of the earlier
	// occurrences of a job with a schedule, those in Done are open and all
	// others are done.
	Next int `json:"next,omitempty"`
	// Done is a bitmap of the done tasks for each step of an open occurrence,
	// keyed by "OCCURRENCE.STEP".
	Done map[string]string `json:"done,omitempty"`
	// Failures are the numbers of the failed runs of each task, keyed by
	// "OCCURRENCE.STEP.INDEX".
	Failures map[string][]int64 `json:"failures,omitempty"`
	// Checkpoints are the checkpoints from which tasks resume, with the same
	// keys.
	Checkpoints map[string]string `json:"checkpoints,omitempty"`
	// Crashes are the crashes of workers under each task, with the same keys.
	Crashes map[string][]Crash `json:"crashes,omitempty"`
}

// Final is the durable state of a job that has ended.
type Final struct {
	ID    string    `json:"id"`
	Queue string    `json:"queue"`
	State State     `json:"state"`
	Ended time.Time `json:"ended"`
	// Withdrawn is true if the client account cancelled the job while the store did not have
	// it. State is then Cancelled, as earlier builds know no other mark, and the job is
	// unknown to client accounts until it is submitted. The key makes a submission whose
	// write is still under way impossible.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

func (j *jobRow) durableProgress() Progress {
	p := Progress{Started: j.started, Next: j.nextOccurrence, Done: map[string]string{},
		Failures: map[string][]int64{}, Checkpoints: map[string]string{}, Crashes: map[string][]Crash{}}
	for _, o := range j.occurrences {
		for i := range o.steps {
			s := &o.steps[i]
			if s.done > 0 || j.Schedule.Times > 0 {
				p.Done[fmt.Sprintf("%d.%d", o.number, i)] = s.bitmap()
			}
			for n := range s.tasks {
				t := &s.tasks[n]
				key := fmt.Sprintf("%d.%d.%d", o.number, i, n)
				if len(t.failedRuns) > 0 {
					p.Failures[key] = slices.Clone(t.failedRuns)
				}
				if len(t.crashes) > 0 && !t.isDone() {
					p.Crashes[key] = slices.Clone(t.crashes)
				}
				if t.checkpoint != "" && !t.isDone() {
					p.Checkpoints[key] = t.checkpoint
				}
			}
		}
	}
	return p
}

func (s *stepRow) bitmap() string {
	b := make([]byte, (len(s.tasks)+7)/8)
	for i := range s.tasks {
		if s.tasks[i].isDone() {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(b)
}

// restore sets the state of the row from durable progress.
func (j *jobRow) restore(p Progress) error {
	j.started = p.Started
	j.nextOccurrence = p.Next
	if j.Schedule.Times > 0 {
		for _, key := range slices.Sorted(maps.Keys(p.Done)) {
			n, err := parseInts(key, 2)
			if err != nil {
				return err
			}
			if j.occurrence(n[0]) == nil {
				j.openOccurrence(n[0])
			}
		}
	}
	for key, bitmap := range p.Done {
		if err := j.restoreStep(key, bitmap); err != nil {
			return err
		}
	}
	for key, f := range p.Failures {
		t, err := j.restoredTask(key)
		if err != nil {
			return err
		}
		t.failedRuns = f
	}
	for key, crashes := range p.Crashes {
		t, err := j.restoredTask(key)
		if err != nil {
			return err
		}
		t.setCrashes(crashes)
	}
	for key, checkpoint := range p.Checkpoints {
		t, err := j.restoredTask(key)
		if err != nil {
			return err
		}
		t.checkpoint = checkpoint
	}
	return nil
}

func (j *jobRow) restoreStep(key, bitmap string) error {
	n, err := parseInts(key, 2)
	if err != nil {
		return err
	}
	b, err := hex.DecodeString(bitmap)
	o := j.occurrence(n[0])
	if err != nil || o == nil || n[1] >= len(o.steps) {
		return status.At(status.ErrOutOfRange, "progress.done", key)
	}
	s := &o.steps[n[1]]
	for i := range s.tasks {
		if i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 {
			s.markDone(&s.tasks[i])
		}
	}
	return nil
}

func (j *jobRow) restoredTask(key string) (*taskRow, error) {
	n, err := parseInts(key, 3)
	if err != nil {
		return nil, err
	}
	_, t := j.task(Task{j.ID, n[0], n[1], n[2]})
	if t == nil {
		return nil, status.At(status.ErrOutOfRange, "progress", key)
	}
	return t, nil
}

// markDone marks a task as done. The current run of an assigned task keeps its
// capacity until it has ended.
func (s *stepRow) markDone(t *taskRow) {
	if t.isDone() {
		return
	}
	s.done++
	if t.state == taskAssigned {
		t.succeeded = true
		return
	}
	s.waiting--
	t.state = taskDone
}

func parseInts(key string, n int) ([]int, error) {
	parts := strings.Split(key, ".")
	if len(parts) != n {
		return nil, status.At(status.ErrOutOfRange, "progress", key)
	}
	out := make([]int, n)
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return nil, status.At(status.ErrOutOfRange, "progress", key)
		}
		out[i] = v
	}
	return out, nil
}
