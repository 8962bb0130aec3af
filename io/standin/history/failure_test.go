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

// submitJobs submits n jobs of one kind.
func submitJobs(sim *Simulation, kind string, n int, spec worker.TaskSpec) {
	for i := range n {
		sim.SubmitJob(NewJob(fmt.Sprintf("%s-%d", kind, i), spec, 1))
	}
}

// countStates counts the jobs of one kind by state.
func countStates(sim *Simulation, kind string, n int) map[core.State]int {
	out := make(map[core.State]int)
	for i := range n {
		out[sim.durable.Job(fmt.Sprintf("%s-%d", kind, i)).State]++
	}
	return out
}

// Jobs that fail on every worker are parked, and workers that fail every task are
// put on probation, even if both occur at once. The test guards against mistaking
// one for the other, and against workers that do not return to service after
// their fault has ended.
func TestFaultyJobsAndWorkers(t *testing.T) {
	for seed := range uint64(10) {
		const good, bad = 120, 4
		var counter probationCounter
		sim := New(seed, 10, t.Fatalf, checkRunning, counter.record)
		sim.failuresAllowed = true
		faultyCount := 1 + int(seed)%5
		for _, v := range sim.vms[:faultyCount] {
			v.engine.SetFailStarts(true)
		}
		sim.Run(5 * time.Second)
		submitJobs(sim, "bad", bad, worker.TaskSpec{RunTime: wire.Duration(time.Second), Fails: true})
		submitJobs(sim, "good", good, worker.TaskSpec{RunTime: wire.Duration(5 * time.Second)})
		sim.Run(4 * time.Minute)
		if got := countStates(sim, "good", good); got[core.Finished] != good {
			t.Fatalf("states of good jobs: %v", got)
		}
		if got := countStates(sim, "bad", bad); got[core.Parked] != bad {
			t.Fatalf("states of bad jobs: %v", got)
		}
		for _, v := range sim.vms {
			// The incarnations of the initial VMs are 1, 2, ... in the order of sim.vms.
			isFaulty := v.engine.Incarnation() <= int64(faultyCount)
			if failed := sim.countFailures(v.id); isFaulty && failed > good/3 {
				t.Fatalf("%s failed %d tasks", v.id, failed)
			}
			if n := counter.count[v.id]; isFaulty != (n > 0) {
				t.Fatalf("%s: faulty %t, probations %d", v.id, isFaulty, n)
			}
			v.engine.SetFailStarts(false)
		}
		sim.Run(10 * time.Minute)
		submitJobs(sim, "later", good, worker.TaskSpec{RunTime: wire.Duration(10 * time.Second)})
		sim.Run(3 * time.Minute)
		for _, v := range sim.vms {
			if ran := v.engine.EndedRuns(); ran[len(ran)-1].State != core.TaskDone {
				t.Fatalf("%s did not return to service; its last run: %v", v.id, ran[len(ran)-1])
			}
		}
	}
}

// probationCounter counts the probations that began on each worker.
type probationCounter struct {
	count    map[string]int
	previous core.Record
}

// record counts a probation that began with the record before r, which the
// simulation has applied by now.
func (p *probationCounter) record(sim *Simulation, r core.Record) {
	if _, began := sim.durable.Probation(p.previous); began {
		if p.count == nil {
			p.count = make(map[string]int)
		}
		p.count[p.previous.Worker]++
	}
	p.previous = r
	checkRecord(sim, r)
}

// countFailures counts the failed executions on a worker.
func (sim *Simulation) countFailures(id string) int {
	n := 0
	for _, r := range sim.CurrentVM(id).engine.EndedRuns() {
		if r.State == core.TaskFailed {
			n++
		}
	}
	return n
}

// A job that fits on no worker is parked with the largest capacity as its limit,
// and runs once a large enough worker appears.
func TestImpossibleJob(t *testing.T) {
	is := is.New(t)
	sim := New(1, 2, t.Fatalf, checkRunning, checkRecord)
	sim.Run(5 * time.Second)
	sim.Submit("huge", time.Second, 5)
	sim.Run(2 * time.Minute)
	j := sim.durable.Job("huge")
	is.Equal(j.State, core.Parked)
	is.Equal(j.Reason, core.ReasonImpossibleJob)
	is.Equal(j.Limit, workerCapacity)
	larger := workerCapacity.Plus(workerCapacity)
	sim.enlargeVM("worker-0", larger)
	sim.Run(time.Minute)
	is.Equal(j.State, core.Finished)
}

// enlargeVM replaces a worker by one with capacity c at the same address.
func (sim *Simulation) enlargeVM(id string, c core.Resources) {
	sim.RestartVM(id, false)
	v := sim.CurrentVM(id)
	v.engine = worker.NewEngine(id, v.engine.Incarnation(), c)
}

// Cancelling 5,000 jobs at once causes at most two writes per tick. The values
// stay below the size limit of the store: the fake rejects larger ones.
func TestWaveOfCancellations(t *testing.T) {
	is := is.New(t)
	const jobs = 5000
	sim := New(1, 2, t.Fatalf, checkRunning, checkRecord)
	sim.journalSlots = platform.JournalSlots
	sim.Run(5 * time.Second)
	submitJobs(sim, "job", jobs, worker.TaskSpec{RunTime: wire.Duration(time.Hour)})
	sim.Run(10 * time.Second)
	is.Equal(countStates(sim, "job", jobs)[core.Running], 8)
	before := sim.store.CallCounts()
	for i := range jobs {
		sim.Cancel(fmt.Sprintf("job-%d", i))
	}
	const period = 10 * time.Second
	sim.Run(period)
	is.Equal(countStates(sim, "job", jobs)[core.Cancelled], jobs)
	writes := sim.store.CallCounts().Writes - before.Writes
	t.Logf("%d cancellations: %d writes, %d bytes", jobs, writes, sim.store.CallCounts().BytesWritten-before.BytesWritten)
	is.True(writes <= 2*int64(period/ownerTickInterval)) // at most two writes per tick
}

// BenchmarkStarts measures the store load per task start, with 40 workers of four
// slots each that run tasks of two seconds.
func BenchmarkStarts(b *testing.B) {
	for range b.N {
		sim := New(1, 40, b.Fatalf, func(*Simulation) {}, func(*Simulation, core.Record) {})
		sim.journalSlots = platform.JournalSlots
		sim.Run(5 * time.Second)
		submitJobs(sim, "job", 3000, worker.TaskSpec{RunTime: wire.Duration(2 * time.Second)})
		sim.Run(10 * time.Second)
		before, finishedBefore := sim.store.CallCounts(), countStates(sim, "job", 3000)[core.Finished]
		const period = 30 * time.Second
		sim.Run(period)
		after := sim.store.CallCounts()
		starts := float64(countStates(sim, "job", 3000)[core.Finished] - finishedBefore)
		b.ReportMetric(starts/period.Seconds(), "starts/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/starts, "writes/start")
		b.ReportMetric(float64(after.Reads-before.Reads)/starts, "reads/start")
		b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/starts, "bytes/start")
	}
}
