package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	testClasses = map[string]bool{"urgent": true, "small": false, "large": false}
	standardVM  = Resources{16000, 60000, 0, 8}
)

// randomFleet is a fleet with randomly generated quotas, workers and jobs.
type randomFleet struct {
	*fleet
	quotas map[string]Resources
	jobs   int
}

func newRandomFleet(t *rapid.T) *randomFleet {
	cells := rapid.IntRange(1, 4).Draw(t, "cells")
	p := &randomFleet{quotas: map[string]Resources{}}
	for i := range 3 {
		p.quotas[fmt.Sprint("team-", i)] = Resources{Processors: rapid.IntRange(8000, 60000).Draw(t, "quota"),
			Memory: rapid.Int64Range(20000, 200000).Draw(t, "memory"), Accelerators: 2}
	}
	p.fleet = newFleet(cells, testClasses, p.quotas)
	for i := range cells {
		for range rapid.IntRange(1, 3).Draw(t, "workers") {
			vm := standardVM
			vm.Accelerators = rapid.IntRange(0, 2).Draw(t, "accelerators")
			vm.Slots = rapid.IntRange(2, 8).Draw(t, "slots")
			p.addVM(i, vm)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	p.losesExchange = func() bool { return random.IntN(3) == 0 }
	return p
}

func (p *randomFleet) submit(t *rapid.T) {
	p.jobs++
	need := Resources{rapid.IntRange(100, 8000).Draw(t, "processors"),
		rapid.Int64Range(100, 20000).Draw(t, "memory"),
		rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "accelerators"), 1}
	class := rapid.SampledFrom([]string{"urgent", "small", "large"}).Draw(t, "class")
	usageTenths := rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "tenths")
	j := Job{ID: fmt.Sprintf("job-%04d", p.jobs), Class: class, Need: need,
		Team: fmt.Sprint("team-", rapid.IntRange(0, 2).Draw(t, "team"))}
	p.actual[j.ID] = fakeJob{time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tick,
		Usage{need.Processors * usageTenths / 10, need.Memory * int64(usageTenths) / 10}}
	cell := rapid.IntRange(0, len(p.cells)-1).Draw(t, "cell")
	if _, err := p.cells[cell].Submit(j, p.now); err != nil {
		t.Fatal(err)
	}
}

// check verifies that reservations are within capacities and quotas, and that
// evictions stay within their budget.
func (p *randomFleet) check(t *rapid.T) {
	used, held := map[string]Resources{}, map[string]Resources{}
	for _, c := range p.cells {
		for _, j := range c.Jobs() {
			if j.State == Running {
				used[j.Worker] = used[j.Worker].Plus(j.Size)
				held[j.Team] = held[j.Team].Plus(j.Size)
				if !j.Need.Fits(j.Size) {
					t.Fatalf("job %s reserves less than it needs", j.ID)
				}
			}
		}
	}
	for id, u := range used {
		if !u.Fits(p.vms[id].capacity) {
			t.Fatalf("worker %s has %+v reserved, but a capacity of %+v", id, u, p.vms[id].capacity)
		}
	}
	for team, h := range held {
		q := p.quotas[team]
		q.Slots = h.Slots
		if !h.Fits(q) {
			t.Fatalf("team %s holds %+v, but has a quota of %+v", team, h, q)
		}
	}
	if p.urgentStops > 0 {
		t.Fatal("an urgent task was evicted")
	}
	if limit := preemptionBurst + int(preemptionsPerSecond*p.now.Sub(time.Unix(0, 0)).Seconds()); p.stops > limit {
		t.Fatalf("%d evictions, the budget allows %d", p.stops, limit)
	}
}

// For random submissions, learned sizes and lost messages between cells, no worker's
// capacity and no quota is exceeded, only non-urgent tasks are evicted, and eventually
// every job that can run has run.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRandomFleet(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 6).Draw(t, "submits") {
				p.submit(t)
			}
			p.step()
			p.check(t)
		}
		for range 6000 {
			if p.unfinishedJob() == "" {
				return
			}
			p.step()
			p.check(t)
		}
		t.Fatalf("job %s never finished", p.unfinishedJob())
	})
}

// unfinishedJob returns the id of a job that can run and has not ended, or "".
func (p *randomFleet) unfinishedJob() string {
	for _, c := range p.cells {
		for _, j := range c.jobs.All {
			if !j.State.Final() && c.canEverStart(&j.Job) {
				return j.ID
			}
		}
	}
	return ""
}

// Urgent jobs start within 4 s on a fleet that is full of small tasks, and the jobs
// evicted for them finish later.
func TestUrgentStartsOnFullFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	for range 11 {
		f.addVM(0, standardVM)
	}
	for i := range 200 {
		f.submit(t, 0, Job{ID: fmt.Sprintf("batch-%03d", i), Team: "t", Class: "small",
			Need: Resources{2000, 4000, 0, 1}}, fakeJob{runTime: 30 * time.Second})
	}
	for range 20 {
		f.step()
	}
	for i := range 20 {
		f.submit(t, 0, Job{ID: fmt.Sprintf("urgent-%02d", i), Team: "u", Class: "urgent",
			Need: Resources{6000, 20000, 0, 1}}, fakeJob{runTime: 5 * time.Second})
	}
	submittedAt := f.now
	for range 2000 {
		f.step()
	}
	for i := range 20 {
		at, ok := f.started[fmt.Sprintf("urgent-%02d", i)]
		is.True(ok)
		is.True(at.Sub(submittedAt) <= 4*time.Second)
	}
	for _, j := range f.cells[0].Jobs() {
		is.Equal(j.State, Finished) // evicted jobs resume and finish
	}
	is.True(f.stops <= 60) // three evictions make room for one urgent task
}

// A burst of urgent jobs causes evictions no faster than the budget allows.
func TestPreemptionBudget(t *testing.T) {
	f := newFleet(1, testClasses, nil)
	for range 40 {
		f.addVM(0, standardVM)
	}
	for i := range 620 {
		class := "small"
		if i >= 320 {
			class = "urgent"
		}
		f.submit(t, 0, Job{ID: fmt.Sprintf("job-%03d", i), Team: "t", Class: class,
			Need: Resources{2000, 4000, 0, 1}}, fakeJob{runTime: time.Hour})
		if i == 319 {
			f.step()
			f.step()
		}
	}
	submittedAt := f.now
	for range 20 {
		f.step()
		limit := preemptionBurst + int(preemptionsPerSecond*f.now.Sub(submittedAt).Seconds())
		if f.stops > limit || f.stops == 0 && f.now.Sub(submittedAt) > time.Second {
			t.Fatalf("%d evictions, want at most %d, and at least one after a second", f.stops, limit)
		}
	}
}

// A continuous stream of small jobs of one team does not starve a large job of another
// team whose jobs are all in one cell.
func TestNoTeamStarves(t *testing.T) {
	is := is.New(t)
	quotas := map[string]Resources{"busy": {64000, 240000, 0, 0}, "rare": {16000, 60000, 0, 0}}
	f := newFleet(4, testClasses, quotas)
	for i := range 4 {
		f.addVM(i, standardVM)
	}
	next := 0
	submitBusyJobs := func() {
		for i := range f.cells {
			next++
			f.submit(t, i, Job{ID: fmt.Sprintf("busy-%05d", next), Team: "busy", Class: "small",
				Need: Resources{2000, 4000, 0, 1}}, fakeJob{runTime: 10 * time.Second})
		}
	}
	for range 40 {
		submitBusyJobs()
		f.step()
	}
	f.submit(t, 2, Job{ID: "rare-1", Team: "rare", Class: "large",
		Need: Resources{15000, 50000, 0, 1}}, fakeJob{runTime: time.Second})
	for range 4 * 120 {
		submitBusyJobs()
		f.step()
	}
	_, ok := f.started["rare-1"]
	is.True(ok)
}

// Rules on zones and services are kept, draining workers receive no tasks, and a
// worker where a job would disturb services is avoided while another one has room.
func TestPlacementRulesAndInterference(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	c := f.cells[0]
	ids := []string{f.addVM(0, standardVM), f.addVM(0, standardVM), f.addVM(0, standardVM), f.addVM(0, standardVM)}
	c.RegisterWorker(ids[0], "other", "r", c.workers.Get(ids[0]).address, f.now)
	c.SetRules(map[string]ClassRule{"small": {Avoid: []string{"catalogue"}, Zones: []string{"z"}}})
	c.SetServices(map[string][]string{ids[1]: {"catalogue"}})
	c.SetDraining([]string{ids[2]})
	c.SetRanker(Packed{fixedMissRates{ids[0]: 1, ids[3]: 0.02}})
	f.step()
	for i := range 4 {
		need := Resources{1000, 1000, 0, 1}
		f.submit(t, 0, Job{ID: fmt.Sprint("s", i), Team: "t", Class: "small", Need: need}, fakeJob{runTime: time.Hour})
		f.submit(t, 0, Job{ID: fmt.Sprint("l", i), Team: "t", Class: "large", Need: need}, fakeJob{runTime: time.Hour})
	}
	f.step()
	f.step()
	for _, j := range c.Jobs() {
		want := map[string]string{"small": ids[3], "large": ids[1]}[j.Class]
		is.Equal(j.Worker, want)
	}
}

type fixedMissRates map[string]float64

func (r fixedMissRates) AddedMissRate(worker, _ string) float64 { return r[worker] }

func (fixedMissRates) IsSpare(string) bool { return false }
