package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// BenchmarkSuspects measures the handling of one report while the given number of jobs of ten
// tasks wait for an isolated worker and all workers are full, after each has crashed.
func BenchmarkSuspects(b *testing.B) {
	const workers, tasks = 240, 10
	for _, jobs := range []int{0, 20, 200} {
		b.Run(fmt.Sprint("jobs-", jobs), func(b *testing.B) {
			o := newOverload(workers, 2000)
			is := is.New(b)
			for n := range jobs {
				p := Progress{Crashes: map[string][]Crash{}}
				for t := range tasks {
					p.Crashes[fmt.Sprintf("0.0.%d", t)] = []Crash{{Run: 1, Agent: "a", At: o.now.Add(-4 * time.Second), Starting: true},
						{Run: 2, Agent: "b", At: o.now, Starting: true}}
				}
				is.NoErr(o.Load(testJob(100000+n, step(tasks, 16000)), p, o.now))
			}
			for i := 0; b.Loop(); i++ {
				o.report(i % workers)
			}
		})
	}
}
