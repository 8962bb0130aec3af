package history

import (
	"fmt"
	"testing"
	"time"

	"rosemarygap/core/platform"
	"rosemarygap/core/wire"
	core "rosemarygap/core/worker"
	"rosemarygap/io/standin/worker"

	"github.com/matryer/is"
)

// submitMany submits n jobs of one kind.
func submitMany(w *Simulation, kind string, n int, work worker.TaskSpec) {
	for i := range n {
		w.SubmitJob(NewJob(fmt.Sprintf("%s-%d", kind, i), work, 1))
	}
}

// states counts the jobs of one kind by state.
func states(w *Simulation, kind string, n int) map[core.State]int {
	out := make(map[core.State]int)
	for i := range n {
		out[w.journal.Job(fmt.Sprintf("%s-%d", kind, i)).State]++
	}
	return out
}

// Jobs that fail everywhere are parked and workers that fail everything get
// little to do, although both occur at once; neither is taken for the other,
// and workers come back by themselves.
func TestFaultyJobsAndWorkers(t *testing.T) {
	for seed := range uint64(10) {
		const good, bad = 120, 4
		var begun probations
		w := New(seed, 10, t.Fatalf, checkRunning, begun.record)
		w.failures = true
		faulty := 1 + int(seed)%5
		for _, v := range w.vms[:faulty] {
			v.engine.SetFailStarts(true)
		}
		w.Run(5 * time.Second)
		submitMany(w, "bad", bad, worker.TaskSpec{RunTime: wire.Duration(time.Second), Fails: true})
		submitMany(w, "good", good, worker.TaskSpec{RunTime: wire.Duration(5 * time.Second)})
		w.Run(4 * time.Minute)
		if got := states(w, "good", good); got[core.Finished] != good {
			t.Fatalf("good jobs: %v", got)
		}
		if got := states(w, "bad", bad); got[core.Parked] != bad {
			t.Fatalf("bad jobs: %v", got)
		}
		for _, v := range w.vms {
			isFaulty := v.engine.Incarnation() <= int64(faulty)
			if failed := w.failedOn(v.id); isFaulty && failed > good/3 {
				t.Fatalf("%s failed %d tasks", v.id, failed)
			}
			if n := begun.count[v.id]; isFaulty != (n > 0) {
				t.Fatalf("%s: faulty %t, probations %d", v.id, isFaulty, n)
			}
			v.engine.SetFailStarts(false)
		}
		w.Run(10 * time.Minute)
		submitMany(w, "later", good, worker.TaskSpec{RunTime: wire.Duration(10 * time.Second)})
		w.Run(3 * time.Minute)
		for _, v := range w.vms {
			if ran := v.engine.EndedRuns(); ran[len(ran)-1].State != core.TaskDone {
				t.Fatalf("%s did not come back: %v", v.id, ran[len(ran)-1])
			}
		}
	}
}

// probations counts the probations that began on each worker.
type probations struct {
	count  map[string]int
	failed core.Record
}

// record looks at the failure before r, which the world has applied.
func (p *probations) record(w *Simulation, r core.Record) {
	if _, began := w.journal.Probation(p.failed); began {
		if p.count == nil {
			p.count = make(map[string]int)
		}
		p.count[p.failed.Worker]++
	}
	p.failed = r
	checkRecord(w, r)
}

// failedOn counts the failed executions of a worker.
func (w *Simulation) failedOn(id string) int {
	n := 0
	for _, r := range w.CurrentVM(id).engine.EndedRuns() {
		if r.State == core.TaskFailed {
			n++
		}
	}
	return n
}

// A job that fits on no worker is parked with the largest capacity, and runs
// once a worker appears that it fits on.
func TestImpossibleJob(t *testing.T) {
	is := is.New(t)
	w := New(1, 2, t.Fatalf, checkRunning, checkRecord)
	w.Run(5 * time.Second)
	w.Submit("huge", time.Second, 5)
	w.Run(2 * time.Minute)
	j := w.journal.Job("huge")
	is.Equal(j.State, core.Parked)
	is.Equal(j.Reason, core.ReasonImpossibleJob)
	is.Equal(j.Limit, capacity)
	larger := capacity.Plus(capacity)
	w.grow("worker-0", larger)
	w.Run(time.Minute)
	is.Equal(j.State, core.Finished)
}

// grow replaces a worker by a larger one at its address.
func (w *Simulation) grow(id string, c core.Resources) {
	w.RestartVM(id, false)
	v := w.CurrentVM(id)
	v.engine = worker.NewEngine(id, v.engine.Incarnation(), c)
}

// Cancelling 5,000 jobs at once costs at most two writes a tick, and the
// values stay below the store's limit (the stand-in refuses larger ones).
func TestWaveOfCancellations(t *testing.T) {
	is := is.New(t)
	const jobs = 5000
	w := New(1, 2, t.Fatalf, checkRunning, checkRecord)
	w.slots = platform.JournalSlots
	w.Run(5 * time.Second)
	submitMany(w, "job", jobs, worker.TaskSpec{RunTime: wire.Duration(time.Hour)})
	w.Run(10 * time.Second)
	is.Equal(states(w, "job", jobs)[core.Running], 8)
	before := w.store.CallCounts()
	for i := range jobs {
		w.Cancel(fmt.Sprintf("job-%d", i))
	}
	const wave = 10 * time.Second
	w.Run(wave)
	is.Equal(states(w, "job", jobs)[core.Cancelled], jobs)
	writes := w.store.CallCounts().Writes - before.Writes
	t.Logf("%d cancellations: %d writes, %d bytes", jobs, writes, w.store.CallCounts().BytesWritten-before.BytesWritten)
	is.True(writes <= 2*int64(wave/ownerTick)) // writes in proportion to ticks
}

// BenchmarkStarts measures what starts cost the store: 40 workers with four
// slots each run tasks of two seconds for a minute.
func BenchmarkStarts(b *testing.B) {
	for range b.N {
		w := New(1, 40, b.Fatalf, func(*Simulation) {}, func(*Simulation, core.Record) {})
		w.slots = platform.JournalSlots
		w.Run(5 * time.Second)
		submitMany(w, "job", 3000, worker.TaskSpec{RunTime: wire.Duration(2 * time.Second)})
		w.Run(10 * time.Second)
		before, ended := w.store.CallCounts(), states(w, "job", 3000)[core.Finished]
		const period = 30 * time.Second
		w.Run(period)
		after := w.store.CallCounts()
		starts := float64(states(w, "job", 3000)[core.Finished] - ended)
		b.ReportMetric(starts/period.Seconds(), "starts/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/starts, "writes/start")
		b.ReportMetric(float64(after.Reads-before.Reads)/starts, "reads/start")
		b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/starts, "bytes/start")
	}
}
