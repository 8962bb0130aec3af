package job

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// starts returns the orders to start of all hosts by worker.
func (w *world) starts() map[string][]Order {
	out := map[string][]Order{}
	for _, h := range w.hosts {
		for _, o := range h.orders {
			if o.Kind == OrderStart {
				out[o.Worker] = append(out[o.Worker], o)
			}
		}
	}
	return out
}

func (w *world) count() int {
	n := 0
	for _, os := range w.starts() {
		n += len(os)
	}
	return n
}

// No worker is committed beyond its processors or memory, stops included.
func TestCapacity(t *testing.T) {
	w := newWorld(t, 2)
	w.Add(testJob(1, step(20, 3000)), w.now)
	for range 5 {
		w.round()
	}
	w.is.Equal(w.count(), 10) // five of 3,000 on each worker of 16,000
	w.Add(testJob(2, Step{Tasks: 4, Need: Resources{Processors: 1, Memory: 63000}, Estimate: time.Second}), w.now)
	for range 5 {
		w.round()
	}
	w.is.Equal(w.count(), 12)
}

// Tasks go to workers of the queue's service, with the step's label, and no
// more of a step to one worker than it allows.
func TestRouting(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts["agent-0"].report.Worker.Service = "other"
	w.hosts["agent-1"].report.Worker.Labels = []string{"b", "r2"}
	w.round()
	s := step(9, 100)
	s.Label, s.MaxPerWorker = "a", 2
	w.Add(testJob(1, s), w.now)
	for range 5 {
		w.round()
	}
	got := w.starts()
	w.is.Equal(len(got), 1)
	w.is.Equal(len(got["i-agent-2"]), 2)
}

// A step starts once all tasks of the steps before it are done.
func TestOrder(t *testing.T) {
	w := newWorld(t, 1)
	w.Add(testJob(1, step(2, 100), step(1, 100, 0)), w.now)
	w.round()
	w.round()
	h := w.hosts["agent-0"]
	w.is.Equal(len(h.orders), 2)
	h.end(h.report.Running[0].Task, EndDone)
	w.round()
	w.is.Equal(len(h.orders), 2)
	h.end(h.report.Running[0].Task, EndDone)
	w.round()
	w.is.Equal(len(h.orders), 3)
}

// A job fails with the last failed run that its queue allows, and nothing of
// it starts after that.
func TestBudget(t *testing.T) {
	w := newWorld(t, 2)
	w.Add(testJob(1, step(1, 100)), w.now)
	for range 40 {
		w.round()
		for _, h := range w.hosts {
			for _, r := range slices.Clone(h.report.Running) {
				h.end(r.Task, EndFailed)
			}
		}
	}
	w.is.Equal(w.count(), 2)
	w.is.True(w.over[testJob(1).ID])
}

// A gang starts as a whole, with one run number, or not at all; on one rack if
// it asks for that and one has room.
func TestGang(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts["agent-1"].report.Worker.Labels = []string{"a", "r2"}
	w.hosts["agent-2"].report.Worker.Labels = []string{"a", "r2"}
	w.round()
	s := step(4, 7500)
	s.Gang, s.SameRack = true, true
	w.Add(testJob(1, s), w.now)
	w.round()
	w.round()
	got := w.starts()
	w.is.Equal(len(got["i-agent-0"]), 0)
	w.is.Equal(w.count(), 4)
	for _, os := range got {
		for _, o := range os {
			w.is.Equal(o.Run, int64(1))
		}
	}
	s.Tasks = 7
	w.Add(testJob(2, s), w.now)
	w.round()
	w.is.Equal(w.count(), 4) // two processors' worth of room is not enough for seven
}

// A cancellation stops what runs, and nothing starts after it.
func TestCancel(t *testing.T) {
	w := newWorld(t, 1)
	w.Add(testJob(1, step(2, 100), step(1, 100, 0)), w.now)
	w.round()
	w.round()
	w.Cancel(testJob(1).ID, w.now)
	for range 3 {
		w.round()
	}
	h := w.hosts["agent-0"]
	w.is.Equal(len(h.report.Running), 0)
	w.is.Equal(w.count(), 2)
}

// A draining worker gets nothing, and keeps what it has.
func TestDraining(t *testing.T) {
	w := newWorld(t, 1)
	w.Add(testJob(1, step(1, 100)), w.now)
	w.round()
	w.round()
	h := w.hosts["agent-0"]
	h.report.Worker.Draining = true
	h.report.Worker.Sequence++
	w.round()
	w.Add(testJob(2, step(1, 100)), w.now)
	w.round()
	w.is.Equal(w.count(), 1)
	w.is.Equal(len(h.report.Running), 1)
}

// A job is final only once its last end is durable, and an end is acknowledged
// only then.
func TestEndsAreDurableFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.Add(testJob(1, step(1, 100)), w.now)
	w.round()
	w.round()
	h := w.hosts["agent-0"]
	h.end(h.report.Running[0].Task, EndDone)
	r := h.report
	w.Receive(&r, w.now)
	w.Step(w.now)
	w.is.Equal(w.Reply(&r).Acknowledged, int64(0))
	d := w.Due(w.now, 30)
	w.is.Equal(d.Finals[0].State, Done)
	w.is.Equal(w.Reply(&r).Acknowledged, int64(0))
	w.Committed(&d)
	w.is.Equal(w.Reply(&r).Acknowledged, int64(1))
}

// A lasting task starts anew however it ends, without limit.
func TestLasting(t *testing.T) {
	w := newWorld(t, 2)
	s := step(1, 100)
	s.Lasting = true
	w.Add(testJob(1, s), w.now)
	for range 300 {
		w.round()
		for _, h := range w.hosts {
			for _, r := range slices.Clone(h.report.Running) {
				h.end(r.Task, EndFailed)
			}
		}
	}
	w.is.True(w.count() > 5)
	w.is.True(!w.over[testJob(1).ID])
}

// Occurrences start at their times and not before, and may overlap.
func TestSchedule(t *testing.T) {
	w := newWorld(t, 1)
	j := testJob(1, step(1, 100))
	j.Schedule = Schedule{First: w.now.Add(time.Second), Period: time.Second, Times: 3}
	w.Add(j, w.now)
	for w.now.Before(time.Unix(1000, 0).Add(980 * time.Millisecond)) {
		w.round()
	}
	w.is.Equal(w.count(), 0)
	for range 60 {
		w.round()
	}
	w.is.Equal(w.count(), 2)
	for range 60 {
		w.round()
	}
	w.is.Equal(w.count(), 3)
	h := w.hosts["agent-0"]
	for _, r := range slices.Clone(h.report.Running) {
		h.end(r.Task, EndDone)
	}
	w.round()
	w.is.True(w.over[j.ID])
}

// A scheduled job that a new owner loads keeps its open occurrences.
func TestScheduleOutlivesItsOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	j := testJob(1, step(2, 100))
	j.Schedule = Schedule{First: w.now, Period: time.Hour, Times: 2}
	w.Add(j, w.now)
	w.round()
	w.round()
	h := w.hosts["agent-0"]
	h.end(h.report.Running[0].Task, EndDone)
	w.round()
	p := w.jobs.Get(j.ID).progress()
	next := New(2, w.now)
	next.SetConfiguration(w.cfg)
	is.NoErr(next.Load(j, p, w.now))
	row := next.jobs.Get(j.ID)
	is.Equal(row.next, 1)
	is.Equal(row.occurrence(0).steps[0].done, 1)
}

// Urgent tasks go before others, and what can still be on time before what
// cannot. Load: builds that have missed their objective beside new ones.
func TestOrderOfCandidates(t *testing.T) {
	w := newWorld(t, 0)
	late := testJob(1, step(1, 100))
	late.Accepted = w.now.Add(-4 * time.Second)
	hopeless := testJob(2, step(1, 100))
	hopeless.Accepted = w.now.Add(-time.Hour)
	fresh := testJob(3, step(1, 100))
	urgent := testJob(4, step(1, 100))
	urgent.Queue = "host/urgent/"
	for _, j := range []Job{late, hopeless, fresh, urgent} {
		w.Add(j, w.now)
	}
	var got []string
	for _, k := range w.candidates(w.now) {
		got = append(got, k.job.ID[15:])
	}
	w.is.Equal(got, []string{"4", "3", "1", "2"})
}

// A task as large as a worker fits on an empty one, though less urgent tasks
// leave room for urgent ones otherwise.
func TestLargeTask(t *testing.T) {
	w := newWorld(t, 1)
	w.Add(testJob(1, step(1, 16000)), w.now)
	w.round()
	w.round()
	w.is.Equal(w.count(), 1)
}

// Filling tasks keep off feeds that they strain while others have room, and
// wait for a while when these are full.
func TestFillingTasksAvoidFeedsTheyStrain(t *testing.T) {
	w := newWorld(t, 2)
	feed := step(1, 3000)
	feed.Lasting, feed.TailTarget, feed.Image = true, 100*time.Millisecond, "feed"
	w.Add(testJob(1, feed), w.now)
	w.round()
	w.round()
	beside := ""
	for worker := range w.starts() {
		beside = worker
	}
	w.pressure.of("feed").restore(map[string]float64{"heavy": 0.3, "light": 0.001})
	w.pressure.loadOf(testJob(1).ID).update(0.7)
	heavy := step(8, 2000)
	heavy.Fills, heavy.Image = true, "heavy"
	w.Add(testJob(2, heavy), w.now)
	w.round()
	w.round()
	w.is.Equal(len(w.starts()[beside]), 1) // the feed alone
	w.is.Equal(w.count(), 9)
}

// A worker that fails what it starts gets one task at a time; one sound run
// ends that.
func TestProbation(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts["agent-0"]
	for n := range failuresBeforeProbation {
		w.Add(testJob(n, step(1, 100)), w.now)
		w.round()
		w.round()
		h.end(h.report.Running[0].Task, EndFailed)
		w.round()
		w.Cancel(testJob(n).ID, w.now)
		w.round()
		w.round()
	}
	w.Add(testJob(9, step(4, 100)), w.now)
	for range 60 {
		w.round()
	}
	w.is.Equal(len(h.report.Running), 1)
	h.end(h.report.Running[0].Task, EndDone)
	w.round()
	w.round()
	w.is.Equal(len(h.report.Running), 3)
}

// A run that stands still on a worker where nothing moves is moved.
func TestStalledRunMoves(t *testing.T) {
	w := newWorld(t, 2)
	w.Add(testJob(1, step(1, 100)), w.now)
	w.round()
	w.round()
	first := ""
	for worker := range w.starts() {
		first = worker
	}
	for range 90 {
		w.round()
	}
	got := w.starts()
	w.is.Equal(len(got), 2)
	for worker, os := range got {
		if worker != first {
			w.is.Equal(os[0].Run, int64(2))
		}
	}
}
