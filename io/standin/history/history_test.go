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

// TestMain fixes the seed, so that CI runs are reproducible. Soak runs set their
// own seeds.
func TestMain(m *testing.M) { golden.FixSeed(m, "200") }

// checkRecord checks a record against the durable state of the cell when the
// record becomes durable, before it is applied.
func checkRecord(sim *Simulation, r core.Record) {
	j := sim.durable.Job(r.ID)
	switch r.Kind {
	case core.KindStarted:
		checkJournalCapacity(sim, r)
		if j.State != core.Queued || r.Attempt != j.Attempt+1 {
			sim.fatalf("%s: attempt %d journaled in state %s after attempt %d", r.ID, r.Attempt, j.State, j.Attempt)
		}
	case core.KindFinished:
		if !sim.succeeded[attemptKey(r.ID, r.Attempt)] {
			sim.fatalf("%s: attempt %d was recorded as finished, but did not succeed on its worker", r.ID, r.Attempt)
		}
	case core.KindInterrupted:
		if checkpointProgress(r.Checkpoint) < checkpointProgress(j.Checkpoint) && r.Checkpoint != "" {
			sim.fatalf("%s: checkpoint went back from %s to %s", r.ID, j.Checkpoint, r.Checkpoint)
		}
	}
}

// checkJournalCapacity checks that the start r fits on its worker together with
// the jobs that run there according to the journal.
func checkJournalCapacity(sim *Simulation, r core.Record) {
	var used core.Resources
	for _, j := range sim.durable.Jobs() {
		if j.ID == r.ID || j.State == core.Running && j.Worker == r.Worker {
			used = used.Plus(j.Need)
		}
	}
	if !used.Fits(sim.CurrentVM(r.Worker).engine.Capacity()) {
		sim.fatalf("jobs in the journal exceed the capacity of %s: %+v", r.Worker, used)
	}
}

// checkRunning checks the tasks that run on the VMs at this instant. A frozen VM
// runs nothing.
func checkRunning(sim *Simulation) {
	running := make(map[string]string)
	for _, v := range sim.vms {
		if v.dead || v.frozen {
			continue
		}
		v.engine.Advance(v.readClock(sim.now, true))
		if !v.engine.Used().Fits(v.engine.Capacity()) {
			sim.fatalf("tasks on %s exceed its capacity", v.id)
		}
		for _, t := range v.engine.RunningTasks() {
			checkTask(sim, v, t, running)
		}
		ran := v.engine.EndedRuns()
		for _, r := range ran[v.checkedRuns:] {
			sim.succeeded[attemptKey(r.Job, r.Attempt)] = r.State == core.TaskDone
			if r.State == core.TaskFailed && !sim.failuresAllowed {
				sim.fatalf("%s rejected %s for lack of capacity", v.id, r.Job)
			}
		}
		v.checkedRuns = len(ran)
	}
}

// attemptKey returns the key of an attempt in Simulation.succeeded.
func attemptKey(job string, n int) string { return fmt.Sprint(job, "#", n) }

// checkTask checks that the task t on the VM v runs nowhere else and agrees with
// the journal. The map running holds the location of each task seen so far.
func checkTask(sim *Simulation, v *vm, t worker.RunningTask, running map[string]string) {
	location := fmt.Sprintf("%s#%d (attempt %d)", v.id, v.engine.Incarnation(), t.Attempt)
	if other, duplicate := running[t.Job]; duplicate {
		sim.fatalf("%s runs both on %s and on %s", t.Job, other, location)
	}
	running[t.Job] = location
	j := sim.durable.Job(t.Job)
	if j == nil || j.State != core.Running || j.Attempt != t.Attempt || j.Worker != v.id || j.Incarnation != v.engine.Incarnation() {
		sim.fatalf("%s runs on %s, but the journal has %+v", t.Job, location, j)
		return
	}
	if t.ResumedFrom != checkpointProgress(j.Checkpoint) {
		sim.fatalf("%s on %s resumed at %v instead of %s", t.Job, location, t.ResumedFrom, j.Checkpoint)
	}
}

// checkpointProgress returns the run time that a checkpoint covers, or 0 without a
// checkpoint.
func checkpointProgress(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}

// workerCount is the number of worker VMs in a history.
const workerCount = 2

// actions returns the operations from which rapid generates a history, which is a
// random sequence of operations. The keys are sorted by rapid, so their order
// determines the history of a seed.
func actions(sim *Simulation) map[string]func(*rapid.T) {
	jobs := 0
	drawOwner := func(t *rapid.T) *owner {
		alive := slices.DeleteFunc(slices.Clone(sim.owners), func(o *owner) bool { return o.dead })
		return rapid.SampledFrom(alive).Draw(t, "owner")
	}
	drawWorkerID := func(t *rapid.T) string {
		return fmt.Sprintf("worker-%d", rapid.IntRange(0, workerCount-1).Draw(t, "worker"))
	}
	toggleFrozen := func(p *process, clockAdvanced bool) {
		if p.frozen {
			sim.Resume(p, clockAdvanced)
		} else if !p.dead {
			sim.Freeze(p)
		}
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			sim.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "centiseconds")) * 10 * time.Millisecond)
		},
		"run long": func(t *rapid.T) { sim.Run(time.Duration(rapid.IntRange(3, 40).Draw(t, "seconds")) * time.Second) },
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "jobs") {
				jobs++
				sim.Submit(fmt.Sprintf("job-%d", jobs), time.Duration(rapid.SampledFrom([]int{1, 3, 10, 60}).Draw(t, "seconds"))*time.Second,
					rapid.IntRange(1, 4).Draw(t, "size"))
			}
		},
		"cancel": func(t *rapid.T) { sim.Cancel(fmt.Sprintf("job-%d", rapid.IntRange(1, 1+jobs).Draw(t, "job"))) },
		"kill owner": func(t *rapid.T) {
			o := drawOwner(t)
			o.dead = true
			sim.StartOwner(o.id)
		},
		"freeze or resume owner":  func(t *rapid.T) { toggleFrozen(&drawOwner(t).process, rapid.Bool().Draw(t, "clock")) },
		"freeze or resume worker": func(t *rapid.T) { toggleFrozen(&sim.CurrentVM(drawWorkerID(t)).process, true) },
		"restart worker":          func(t *rapid.T) { sim.RestartVM(drawWorkerID(t), rapid.IntRange(0, 3).Draw(t, "moved") == 0) },
		"cut or restore link": func(t *rapid.T) {
			k := linkKey(drawOwner(t).id, rapid.SampledFrom([]string{"store", "worker-0", "worker-1"}).Draw(t, "to"))
			sim.cutLinks[k] = !sim.cutLinks[k]
		},
		"store down or up": func(*rapid.T) { sim.storeDown = !sim.storeDown },
		"store slow": func(t *rapid.T) {
			sim.storeDelay = time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
		},
		"message faults": func(t *rapid.T) { sim.faultRate = rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "rate") },
		"lease expires":  func(t *rapid.T) { sim.ExpireLease(drawOwner(t)) },
		"isolate owner": func(t *rapid.T) {
			o := sim.PartitionOwner(drawWorkerID(t))
			sim.Run(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
			sim.PauseRepeatedly(o, rapid.IntRange(0, 80).Draw(t, "pauses"))
		},
		"owner pauses":  func(t *rapid.T) { sim.PauseRepeatedly(drawOwner(t), rapid.IntRange(1, 20).Draw(t, "pauses")) },
		"cuts restored": func(*rapid.T) { clear(sim.cutLinks) },
		"change configuration": func(t *rapid.T) {
			sim.timings = core.Timings{Grant: time.Duration(rapid.IntRange(2, 10).Draw(t, "grant")) * time.Second,
				Hold: time.Duration(rapid.SampledFrom([]int{10, 15, 60}).Draw(t, "hold")) * time.Second}
		},
	}
}

// In any random history, no task runs in two places, no worker exceeds its
// capacity and no accepted job is lost. After all faults have ended, every job
// reaches a final state.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := New(rapid.Uint64().Draw(t, "seed"), workerCount, t.Fatalf, checkRunning, checkRecord)
		sim.Run(5 * time.Second)
		t.Repeat(actions(sim))
		sim.EndFaults()
		sim.Run(6 * time.Minute)
		for _, j := range sim.durable.Jobs() {
			if !j.State.Final() {
				t.Fatalf("%s has not reached a final state: %+v", j.ID, j)
			}
		}
	})
}

// Two processes believe that they own a cell: the old owner is cut from the store
// but not from the worker, and the new owner is cut from the worker. The clock of
// the old owner stands still in many short pauses, so it underestimates the
// elapsed time. A task must not run on two workers, and must restart on another
// worker.
func TestTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := New(rapid.Uint64().Draw(t, "seed"), workerCount, t.Fatalf, checkRunning, checkRecord)
		sim.Run(5 * time.Second)
		sim.Submit("job-1", 5*time.Minute, 4)
		sim.Run(2 * time.Second)
		workerID := sim.durable.Job("job-1").Worker
		oldOwner := sim.PartitionOwner(workerID)
		if rapid.Bool().Draw(t, "restart") {
			sim.RestartVM(workerID, false)
		}
		if rapid.Bool().Draw(t, "shorter hold") {
			sim.timings.Hold = 5 * time.Second
		}
		sim.PauseRepeatedly(oldOwner, rapid.IntRange(60, 100).Draw(t, "pauses"))
		sim.Run(30 * time.Second)
		if j := sim.durable.Job("job-1"); j.State != core.Running || j.Worker == workerID {
			t.Fatalf("job was not restarted on another worker: %+v", j)
		}
	})
}
