package history

import (
	"fmt"
	"slices"
	"testing"
	"time"

	core "rosemarygap/core/worker"
	"rosemarygap/io/golden"
	"rosemarygap/io/standin/worker"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that CI gives the same verdict every run; soak
// runs choose theirs.
func TestMain(m *testing.M) { golden.FixSeed(m, "200") }

// durable checks a record against the world's own tables when it becomes
// durable, and applies it.
func checkRecord(w *Simulation, r core.Record) {
	j := w.journal.Job(r.ID)
	switch r.Kind {
	case core.KindStarted:
		checkJournalRoom(w, r)
		if j.State != core.Queued || r.Attempt != j.Attempt+1 {
			w.fail("%s: attempt %d journaled in state %s after attempt %d", r.ID, r.Attempt, j.State, j.Attempt)
		}
	case core.KindFinished:
		if !w.done[attemptOf(r.ID, r.Attempt)] {
			w.fail("%s: attempt %d recorded as finished, but it did not", r.ID, r.Attempt)
		}
	case core.KindInterrupted:
		if progress(r.Checkpoint) < progress(j.Checkpoint) && r.Checkpoint != "" {
			w.fail("%s: checkpoint went back from %s to %s", r.ID, j.Checkpoint, r.Checkpoint)
		}
	}
}

// checkJournalRoom checks that the start r fits beside what the journal has on
// the same worker.
func checkJournalRoom(w *Simulation, r core.Record) {
	var used core.Resources
	for _, j := range w.journal.Jobs() {
		if j.ID == r.ID || j.State == core.Running && j.Worker == r.Worker {
			used = used.Plus(j.Need)
		}
	}
	if !used.Fits(w.CurrentVM(r.Worker).engine.Capacity()) {
		w.fail("journal commits %s beyond its capacity: %+v", r.Worker, used)
	}
}

// checkRunning looks at what really runs at this instant. A frozen VM runs nothing.
func checkRunning(w *Simulation) {
	running := make(map[string]string)
	for _, v := range w.vms {
		if v.dead || v.frozen {
			continue
		}
		v.engine.Advance(v.clock(w.now, true))
		if !v.engine.Used().Fits(v.engine.Capacity()) {
			w.fail("%s runs beyond its capacity", v.id)
		}
		for _, t := range v.engine.RunningTasks() {
			checkTask(w, v, t, running)
		}
		ran := v.engine.EndedRuns()
		for _, r := range ran[v.checked:] {
			w.done[attemptOf(r.Job, r.Attempt)] = r.State == core.TaskDone
			if r.State == core.TaskFailed && !w.failures {
				w.fail("%s refused %s for want of room", v.id, r.Job)
			}
		}
		v.checked = len(ran)
	}
}

func attemptOf(job string, n int) string { return fmt.Sprint(job, "#", n) }

func checkTask(w *Simulation, v *vm, t worker.RunningTask, running map[string]string) {
	here := fmt.Sprintf("%s#%d (attempt %d)", v.id, v.engine.Incarnation(), t.Attempt)
	if other, double := running[t.Job]; double {
		w.fail("%s runs on %s and on %s", t.Job, other, here)
	}
	running[t.Job] = here
	j := w.journal.Job(t.Job)
	if j == nil || j.State != core.Running || j.Attempt != t.Attempt || j.Worker != v.id || j.Incarnation != v.engine.Incarnation() {
		w.fail("%s runs on %s, but the journal has %+v", t.Job, here, j)
		return
	}
	if t.ResumedFrom != progress(j.Checkpoint) {
		w.fail("%s on %s resumed at %v, not at %s", t.Job, here, t.ResumedFrom, j.Checkpoint)
	}
}

func progress(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}

// workers is the number of worker VMs in a history.
const workers = 2

// actions are the commands of a history.
func actions(w *Simulation) map[string]func(*rapid.T) {
	jobs := 0
	owner := func(t *rapid.T) *owner {
		alive := slices.DeleteFunc(slices.Clone(w.owners), func(o *owner) bool { return o.dead })
		return rapid.SampledFrom(alive).Draw(t, "owner")
	}
	vmOf := func(t *rapid.T) string {
		return fmt.Sprintf("worker-%d", rapid.IntRange(0, workers-1).Draw(t, "worker"))
	}
	toggle := func(p *process, clockWentOn bool) {
		if p.frozen {
			w.Resume(p, clockWentOn)
		} else if !p.dead {
			w.Freeze(p)
		}
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			w.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "centiseconds")) * 10 * time.Millisecond)
		},
		"run long": func(t *rapid.T) { w.Run(time.Duration(rapid.IntRange(3, 40).Draw(t, "seconds")) * time.Second) },
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "jobs") {
				jobs++
				w.Submit(fmt.Sprintf("job-%d", jobs), time.Duration(rapid.SampledFrom([]int{1, 3, 10, 60}).Draw(t, "seconds"))*time.Second,
					rapid.IntRange(1, 4).Draw(t, "size"))
			}
		},
		"cancel": func(t *rapid.T) { w.Cancel(fmt.Sprintf("job-%d", rapid.IntRange(1, 1+jobs).Draw(t, "job"))) },
		"kill owner": func(t *rapid.T) {
			o := owner(t)
			o.dead = true
			w.StartOwner(o.id)
		},
		"freeze or wake owner":  func(t *rapid.T) { toggle(&owner(t).process, rapid.Bool().Draw(t, "clock")) },
		"freeze or wake worker": func(t *rapid.T) { toggle(&w.CurrentVM(vmOf(t)).process, true) },
		"restart worker":        func(t *rapid.T) { w.RestartVM(vmOf(t), rapid.IntRange(0, 3).Draw(t, "moved") == 0) },
		"cut": func(t *rapid.T) {
			k := pair(owner(t).id, rapid.SampledFrom([]string{"store", "worker-0", "worker-1"}).Draw(t, "to"))
			w.cuts[k] = !w.cuts[k]
		},
		"store down or up": func(*rapid.T) { w.down = !w.down },
		"store slow":       func(t *rapid.T) { w.slow = time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond },
		"noise":            func(t *rapid.T) { w.noise = rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "noise") },
		"lease lapses":     func(t *rapid.T) { w.ExpireLease(owner(t)) },
		"isolate owner": func(t *rapid.T) {
			o := w.PartitionOwner(vmOf(t))
			w.Run(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
			w.PauseRepeatedly(o, rapid.IntRange(0, 80).Draw(t, "pauses"))
		},
		"owner stutters": func(t *rapid.T) { w.PauseRepeatedly(owner(t), rapid.IntRange(1, 20).Draw(t, "pauses")) },
		"cuts heal":      func(*rapid.T) { clear(w.cuts) },
		"configuration": func(t *rapid.T) {
			w.timing = core.Timings{Grant: time.Duration(rapid.IntRange(2, 10).Draw(t, "grant")) * time.Second,
				Hold: time.Duration(rapid.SampledFrom([]int{10, 15, 60}).Draw(t, "hold")) * time.Second}
		},
	}
}

// Whatever happens, nothing runs twice or beyond the room, nothing accepted
// is lost, and once all faults have ended every job ends.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(rapid.Uint64().Draw(t, "seed"), workers, t.Fatalf, checkRunning, checkRecord)
		w.Run(5 * time.Second)
		t.Repeat(actions(w))
		w.EndFaults()
		w.Run(6 * time.Minute)
		for _, j := range w.journal.Jobs() {
			if !j.State.Final() {
				t.Fatalf("%s has not ended: %+v", j.ID, j)
			}
		}
	})
}

// The trace in which two owners believe that they own a cell: the old one is
// cut from the store but not from the worker, the new one from the worker.
// The old one's clock stands still in many short pauses.
func TestTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(rapid.Uint64().Draw(t, "seed"), workers, t.Fatalf, checkRunning, checkRecord)
		w.Run(5 * time.Second)
		w.Submit("job-1", 5*time.Minute, 4)
		w.Run(2 * time.Second)
		v := w.journal.Job("job-1").Worker
		old := w.PartitionOwner(v)
		if rapid.Bool().Draw(t, "restart") {
			w.RestartVM(v, false)
		}
		if rapid.Bool().Draw(t, "shorter hold") {
			w.timing.Hold = 5 * time.Second
		}
		w.PauseRepeatedly(old, rapid.IntRange(60, 100).Draw(t, "pauses"))
		w.Run(30 * time.Second)
		if j := w.journal.Job("job-1"); j.State != core.Running || j.Worker == v {
			t.Fatalf("not restarted elsewhere: %+v", j)
		}
	})
}
