package job

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"rosemarygap/io/golden"
)

// wideStepCase is a simulation of wide steps with a far factor, with or without reservations.
type wideStepCase struct {
	name    string
	factor  float64
	options []Option
}

// wideStepResult sums up the simulations of a case with all seeds.
type wideStepResult struct {
	urgent, urgentInTime, wide, wideInTime int
	// free and capacity are the processors over all ticks, in thousandths.
	free, capacity int
	// starts are those of tasks of wide jobs, and remote those outside of their rack.
	starts, remote map[Task]bool
	// claimed counts the workers on which room was claimed, over all ticks.
	claimed, ticks int
}

// TestWideStepsLackProcessors simulates wide steps that gain nothing from reservations. It
// guards against reservations that cost jobs there, and against a wrong explanation: what
// the steps lack is processors, since tasks outside of the rack of their data take longer.
// Without that, all jobs must be in time.
func TestWideStepsLackProcessors(t *testing.T) {
	t.Parallel()
	load := readWorkload(t, "testdata/load/reservation/wide-steps-of-many-racks.json")
	without := []Option{WithoutReservations()}
	var table bytes.Buffer
	results := map[string]*wideStepResult{}
	for _, tc := range []wideStepCase{{"reservations", load.RemoteDataFactor, nil}, {"no reservations", load.RemoteDataFactor, without}, {"data near all workers", 1, nil}} {
		changed := *load
		changed.RemoteDataFactor = tc.factor
		r := &wideStepResult{starts: map[Task]bool{}, remote: map[Task]bool{}}
		for _, seed := range loadSeeds {
			s := newSim(t, &changed, seed, simPolicy{options: tc.options})
			s.observe = func() { r.observe(s, seed) }
			s.run()
			r.count(s)
		}
		results[tc.name] = r
		fmt.Fprintf(&table, "%s: urgent %d of %d in time, wide %d of %d, %d%% of processors free, %d%% of %d wide tasks off their rack, room claimed on %.1f workers\n",
			tc.name, r.urgentInTime, r.urgent, r.wideInTime, r.wide, fullPercent*r.free/r.capacity,
			fullPercent*len(r.remote)/len(r.starts), len(r.starts), float64(r.claimed)/float64(r.ticks))
	}
	golden.Check(t, "testdata/load/reservation/wide-steps-of-many-racks.golden", table.Bytes())
	with, none, near := results["reservations"], results["no reservations"], results["data near all workers"]
	if with.wideInTime < none.wideInTime || with.urgentInTime < none.urgentInTime {
		t.Errorf("reservations cost jobs:\n%s", table.Bytes())
	}
	if near.wideInTime < near.wide || near.urgentInTime < near.urgent {
		t.Errorf("jobs are late although data is near all workers:\n%s", table.Bytes())
	}
}

// observe adds the state after a tick.
func (r *wideStepResult) observe(s *sim, seed uint64) {
	r.ticks++
	r.claimed += len(s.claims)
	for _, w := range s.workers.All {
		r.free += w.freeProcessors()
		r.capacity += w.Capacity.Processors
		for name, t := range w.tasks {
			if t.spec.Tasks < wideStepTasks {
				continue
			}
			name.Occurrence = int(seed) // a job has only one; its ID is the same with each seed
			r.starts[name] = true
			if !slices.Contains(w.Labels, t.spec.Rack) {
				r.remote[name] = true
			}
		}
	}
}

// count adds the results of a simulation.
func (r *wideStepResult) count(s *sim) {
	result := s.result(byQueue)
	u, q := result["urgent"], result["queue"]
	r.urgent += u.onTime + u.late + u.unserved
	r.urgentInTime += u.onTime
	r.wide += q.onTime + q.late + q.unserved
	r.wideInTime += q.onTime
}

// TestReservationsServeWideAccount guards against reservations that do not help the account
// for which they are made: more of its jobs must be in time than without. Eight seeds are
// simulated: with single ones, choices of workers that are equally good over 24 seeds differ
// by 3 jobs in 10.
func TestReservationsServeWideAccount(t *testing.T) {
	t.Parallel()
	const wide = "queue@wide"
	load := readWorkload(t, "testdata/load/reservation/wide-account-beside-narrow.json")
	inTime := func(name string, table *bytes.Buffer, options ...Option) int {
		n, all := map[string]int{}, map[string]int{}
		for seed := range uint64(8) {
			s := newSim(t, load, 1+seed, simPolicy{options: append(options, WithFairShares())})
			s.run()
			for account, r := range s.result(byAccount) {
				n[account] += r.onTime
				all[account] += r.onTime + r.late + r.unserved
			}
		}
		for _, account := range slices.Sorted(maps.Keys(n)) {
			fmt.Fprintf(table, "%s: %s %d of %d in time\n", name, account, n[account], all[account])
		}
		return n[wide]
	}
	var table bytes.Buffer
	with, without := inTime("reservations", &table), inTime("no reservations", &table, WithoutReservations())
	golden.Check(t, "testdata/load/reservation/wide-account-beside-narrow.golden", table.Bytes())
	if with <= without {
		t.Errorf("%s: no more jobs are in time than without:\n%s", load.Rule, table.Bytes())
	}
}
