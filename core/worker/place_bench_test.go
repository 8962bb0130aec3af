package worker

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The size that the benchmarks run at.
const (
	benchTasks = 26000
	benchTeams = 130
	// benchStarts is one tick's part of 220 starts a second.
	benchStarts = 55
)

func benchJob(i int) Job {
	return Job{ID: fmt.Sprintf("job-%08d", i), Team: fmt.Sprint("team-", i%benchTeams),
		Class: []string{"small", "large"}[i%2],
		Need:  Resources{500 + 100*(i%7), int64(500 + 100*(i%5)), 0, 1}}
}

// benchFleet returns a cell whose workers run all tasks and have room for a
// twentieth more.
func benchFleet(b testing.TB, workers int) *fleet {
	quotas := map[string]Resources{}
	for i := range benchTeams {
		quotas[fmt.Sprint("team-", i)] = Resources{1 << 30, 1 << 40, 0, 0}
	}
	f := newFleet(1, testClasses, quotas)
	per := (benchTasks/workers+1)*11/10 + 4
	for range workers {
		f.addVM(0, Resources{per * 850, int64(per) * 750, 0, per})
	}
	for i := range benchTasks {
		f.submit(b, 0, benchJob(i), fakeJob{run: 100 * time.Hour, used: Usage{400, 400}})
	}
	for range 4 {
		f.step()
	}
	return f
}

var benchSizes = []int{50, 200, 1200}

// BenchmarkTick measures a tick that has nothing to decide.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			f := benchFleet(b, n)
			for b.Loop() {
				f.cells[0].Plan(f.now)
			}
		})
	}
}

// BenchmarkPlacement measures the placement of one tick's starts.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			f := benchFleet(b, n)
			c := f.cells[0]
			for i := range benchStarts {
				j := benchJob(benchTasks + i)
				c.Apply(Record{Kind: KindSubmitted, At: f.now, Job: &j})
			}
			placed := 0
			for b.Loop() {
				placed += len(c.planStarts(nil, map[string]bool{}, f.now))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/start")
			b.ReportMetric(float64(placed)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkTaskMemory measures what a task adds to an owner's heap.
func BenchmarkTaskMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := NewCell(0, Timings{})
		c.SetClasses(testClasses)
		for i := range benchTasks {
			j := benchJob(i)
			c.Apply(Record{Kind: KindSubmitted, At: time.Unix(int64(i), 0), Job: &j})
			c.Apply(Record{Kind: KindStarted, ID: j.ID, Attempt: 1, Incarnation: 1,
				Worker: fmt.Sprint("vm-", i%1200), At: time.Unix(int64(i), 0)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchTasks, "B/task")
		runtime.KeepAlive(c)
	}
}

// BenchmarkJournalBytes measures the records of a task's life in the journal.
func BenchmarkJournalBytes(b *testing.B) {
	f := benchFleet(b, 50)
	w := f.cells[0].workers.Get("vm-0-0001")
	j := JobRow{Job: benchJob(1)}
	var started, whole []byte
	for b.Loop() {
		r := startRecord(&j, w, j.Need, f.now)
		started, _ = json.Marshal(r)
		whole, _ = json.Marshal([]Record{{Kind: KindSubmitted, At: f.now, Job: &j.Job}, r,
			{Kind: KindFinished, At: f.now, ID: j.ID, Attempt: 1, Worker: w.id, Checkpoint: "10m0s"}})
	}
	b.ReportMetric(float64(len(started)), "B/start")
	b.ReportMetric(float64(len(whole)), "B/job")
}
