package worker

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The numbers of tasks, teams and starts that the benchmarks use.
const (
	benchTasks = 26000
	benchTeams = 130
	// benchStarts is the number of starts in one tick at 220 starts per second.
	benchStarts = 55
)

func benchJob(i int) Job {
	return Job{ID: fmt.Sprintf("job-%08d", i), Team: fmt.Sprint("team-", i%benchTeams),
		Class: []string{"small", "large"}[i%2],
		Need:  Resources{500 + 100*(i%7), int64(500 + 100*(i%5)), 0, 1}}
}

// benchFleet returns a fleet of one cell whose workers run benchTasks tasks and have
// room for at least a tenth more.
func benchFleet(b testing.TB, workers int) *fleet {
	quotas := map[string]Resources{}
	for i := range benchTeams {
		quotas[fmt.Sprint("team-", i)] = Resources{1 << 30, 1 << 40, 0, 0}
	}
	f := newFleet(1, testClasses, quotas)
	tasksPerWorker := (benchTasks/workers+1)*11/10 + 4
	for range workers {
		f.addVM(0, Resources{tasksPerWorker * 850, int64(tasksPerWorker) * 750, 0, tasksPerWorker})
	}
	for i := range benchTasks {
		f.submit(b, 0, benchJob(i), fakeJob{runTime: 100 * time.Hour, used: Usage{400, 400}})
	}
	for range 4 {
		f.step()
	}
	return f
}

var benchSizes = []int{50, 200, 1200}

// BenchmarkTick measures a tick without any decisions to make.
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

// BenchmarkPlacement measures placing the starts of one tick.
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

// BenchmarkTaskMemory measures the heap memory that the owner uses per task.
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

// BenchmarkJournalBytes measures the size of the journal records of a start, and of
// a job from submission to its end.
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
