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

// placement is a random history of a fleet.
type placement struct {
	*fleet
	quotas map[string]Resources
	jobs   int
}

func newPlacement(t *rapid.T) *placement {
	cells := rapid.IntRange(1, 4).Draw(t, "cells")
	p := &placement{quotas: map[string]Resources{}}
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
	p.lose = func() bool { return random.IntN(3) == 0 }
	return p
}

func (p *placement) submit(t *rapid.T) {
	p.jobs++
	need := Resources{rapid.IntRange(100, 8000).Draw(t, "processors"),
		rapid.Int64Range(100, 20000).Draw(t, "memory"),
		rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "accelerators"), 1}
	class := rapid.SampledFrom([]string{"urgent", "small", "large"}).Draw(t, "class")
	wrong := rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "tenths")
	j := Job{ID: fmt.Sprintf("job-%04d", p.jobs), Class: class, Need: need,
		Team: fmt.Sprint("team-", rapid.IntRange(0, 2).Draw(t, "team"))}
	p.truth[j.ID] = fakeJob{time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tick,
		Usage{need.Processors * wrong / 10, need.Memory * int64(wrong) / 10}}
	cell := rapid.IntRange(0, len(p.cells)-1).Draw(t, "cell")
	if _, err := p.cells[cell].Submit(j, p.now); err != nil {
		t.Fatal(err)
	}
}

// check compares what is reserved with capacities and quotas.
func (p *placement) check(t *rapid.T) {
	used, held := map[string]Resources{}, map[string]Resources{}
	for _, c := range p.cells {
		for _, j := range c.Jobs() {
			if j.State == Running {
				used[j.Worker] = used[j.Worker].Plus(j.Size)
				held[j.Team] = held[j.Team].Plus(j.Size)
				if !j.Need.Fits(j.Size) {
					t.Fatalf("%s reserves less than its need", j.ID)
				}
			}
		}
	}
	for id, u := range used {
		if !u.Fits(p.vms[id].capacity) {
			t.Fatalf("%s is committed to %+v of %+v", id, u, p.vms[id].capacity)
		}
	}
	for team, h := range held {
		q := p.quotas[team]
		q.Slots = h.Slots
		if !h.Fits(q) {
			t.Fatalf("%s holds %+v of %+v", team, h, q)
		}
	}
	if p.urgentStops > 0 {
		t.Fatal("an urgent task was evicted")
	}
	if limit := preemptBurst + int(preemptPerSec*p.now.Sub(time.Unix(0, 0)).Seconds()); p.stops > limit {
		t.Fatalf("%d evictions, the budget allows %d", p.stops, limit)
	}
}

// Whatever is submitted, learnt and lost between cells, no worker and no
// quota is exceeded, only non-urgent tasks are evicted, and at last every job
// that can run has run.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlacement(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 6).Draw(t, "submits") {
				p.submit(t)
			}
			p.step()
			p.check(t)
		}
		for range 6000 {
			if p.waiting() == "" {
				return
			}
			p.step()
			p.check(t)
		}
		t.Fatalf("%s never started", p.waiting())
	})
}

// waiting returns a queued job that can run, or "".
func (p *placement) waiting() string {
	for _, c := range p.cells {
		for _, j := range c.jobs.All {
			if !j.State.Final() && c.possible(&j.Job) {
				return j.ID
			}
		}
	}
	return ""
}

// Urgent jobs start within 4 s on a full fleet, although the room is taken by
// many small tasks, and what is evicted for them finishes later.
func TestUrgentStartsOnFullFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	for range 11 {
		f.addVM(0, standardVM)
	}
	for i := range 200 {
		f.submit(t, 0, Job{ID: fmt.Sprintf("batch-%03d", i), Team: "t", Class: "small",
			Need: Resources{2000, 4000, 0, 1}}, fakeJob{run: 30 * time.Second})
	}
	for range 20 {
		f.step()
	}
	for i := range 20 {
		f.submit(t, 0, Job{ID: fmt.Sprintf("urgent-%02d", i), Team: "u", Class: "urgent",
			Need: Resources{6000, 20000, 0, 1}}, fakeJob{run: 5 * time.Second})
	}
	asked := f.now
	for range 2000 {
		f.step()
	}
	for i := range 20 {
		at, ok := f.started[fmt.Sprintf("urgent-%02d", i)]
		is.True(ok)
		is.True(at.Sub(asked) <= 4*time.Second)
	}
	for _, j := range f.cells[0].Jobs() {
		is.Equal(j.State, Finished) // evicted work resumes and finishes
	}
	is.True(f.stops <= 60) // three victims make room for one urgent task
}

// A wave of urgent jobs evicts no faster than the budget allows.
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
			Need: Resources{2000, 4000, 0, 1}}, fakeJob{run: time.Hour})
		if i == 319 {
			f.step()
			f.step()
		}
	}
	asked := f.now
	for range 20 {
		f.step()
		limit := preemptBurst + int(preemptPerSec*f.now.Sub(asked).Seconds())
		if f.stops > limit || f.stops == 0 && f.now.Sub(asked) > time.Second {
			t.Fatalf("%d evictions, the budget allows %d", f.stops, limit)
		}
	}
}

// A stream of small jobs of one team starves neither another team's large
// job nor a team whose jobs are all in one cell.
func TestNoTeamStarves(t *testing.T) {
	is := is.New(t)
	quotas := map[string]Resources{"busy": {64000, 240000, 0, 0}, "rare": {16000, 60000, 0, 0}}
	f := newFleet(4, testClasses, quotas)
	for i := range 4 {
		f.addVM(i, standardVM)
	}
	next := 0
	flood := func() {
		for i := range f.cells {
			next++
			f.submit(t, i, Job{ID: fmt.Sprintf("busy-%05d", next), Team: "busy", Class: "small",
				Need: Resources{2000, 4000, 0, 1}}, fakeJob{run: 10 * time.Second})
		}
	}
	for range 40 {
		flood()
		f.step()
	}
	f.submit(t, 2, Job{ID: "rare-1", Team: "rare", Class: "large",
		Need: Resources{15000, 50000, 0, 1}}, fakeJob{run: time.Second})
	for range 4 * 120 {
		flood()
		f.step()
	}
	_, ok := f.started["rare-1"]
	is.True(ok)
}

// Rules of zones and services hold, draining workers receive nothing, and a
// harmful pair is avoided while another worker has room.
func TestRulesAndPairs(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	c := f.cells[0]
	ids := []string{f.addVM(0, standardVM), f.addVM(0, standardVM), f.addVM(0, standardVM), f.addVM(0, standardVM)}
	c.RegisterWorker(ids[0], "other", "r", c.workers.Get(ids[0]).address, f.now)
	c.SetRules(map[string]ClassRule{"small": {Avoid: []string{"catalogue"}, Zones: []string{"z"}}})
	c.SetServices(map[string][]string{ids[1]: {"catalogue"}})
	c.SetDraining([]string{ids[2]})
	c.SetRanker(Packed{harmOf{ids[0]: 1, ids[3]: 0.02}})
	f.step()
	for i := range 4 {
		need := Resources{1000, 1000, 0, 1}
		f.submit(t, 0, Job{ID: fmt.Sprint("s", i), Team: "t", Class: "small", Need: need}, fakeJob{run: time.Hour})
		f.submit(t, 0, Job{ID: fmt.Sprint("l", i), Team: "t", Class: "large", Need: need}, fakeJob{run: time.Hour})
	}
	f.step()
	f.step()
	for _, j := range c.Jobs() {
		want := map[string]string{"small": ids[3], "large": ids[1]}[j.Class]
		is.Equal(j.Worker, want)
	}
}

type harmOf map[string]float64

func (h harmOf) AddedMissRate(worker, _ string) float64 { return h[worker] }

func (harmOf) IsSpare(string) bool { return false }
