package job

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkPlacement measures the handling of one report, with the placement decision
// after it, while 2,000 tasks wait: half of the workers are cold, workers have two sizes,
// all steps name racks, and the wide ones reserve room. It reports the median.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{11, 77, 240, 295, 1200} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			o := newPlacementLoad(workers)
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				o.prepare(i % workers)
				begin := time.Now()
				o.Receive(&o.reports[i%workers], o.now)
				o.Tick(o.now)
				times = append(times, time.Since(begin))
				o.carryOutOrders(i % workers)
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2]), "median-ns")
			if n := o.waiting(); n < 1000 {
				b.Fatalf("%d tasks wait, want at least 1000", n)
			}
			if s := o.Stats(o.now); s.ReservedWorkers == 0 && s.RackWaits == 0 {
				b.Fatal("no step reserves room and no task waits for its rack")
			}
		})
	}
}

// placementLoad is a cell whose workers are full.
type placementLoad struct {
	overload
	jobs, ends int
}

func newPlacementLoad(workers int) *placementLoad {
	now := time.Unix(1000, 0)
	o := &placementLoad{overload: overload{Cell: New(1, now, WithRemoteDataFactor(1.8)), now: now, reports: make([]Report, workers)}}
	o.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Hour}}})
	for i := range o.reports {
		o.reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
			Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Zone: fmt.Sprint("z", i%4), Labels: []string{"a", fmt.Sprint("r", i/8)},
				Capacity: Resources{Processors: 64000 + 32000*(i%2), Memory: 1 << 20}}}
	}
	for n := range 10 * workers {
		o.prepare(n % workers)
		o.Receive(&o.reports[n%workers], o.now)
		o.Tick(o.now)
		o.carryOutOrders(n % workers)
	}
	return o
}

// prepare ends a task of worker i that has run for long enough, and adds jobs until 2,000
// tasks wait.
func (o *placementLoad) prepare(i int) {
	workers := len(o.reports)
	o.now = o.now.Add(500 * time.Millisecond / time.Duration(workers))
	r := &o.reports[i]
	r.Clock += 500 * time.Millisecond
	if i%2 == 0 {
		r.Worker.ColdLeft = 30 * time.Second
	}
	r.Ended = nil
	for n := range r.Running {
		r.Running[n].Percent = min(99, r.Running[n].Percent+25)
	}
	for len(r.Running) > 0 && r.Running[0].Percent >= 99 && len(r.Ended) < 3 {
		o.ends++
		r.Ended = append(r.Ended, End{Number: int64(o.ends), Task: r.Running[0].Task, Run: r.Running[0].Run, Outcome: EndDone})
		r.Running = r.Running[1:]
	}
	for waiting := o.waiting(); waiting < 2000; {
		s := Step{Tasks: 10, Need: Resources{Processors: 1400, Memory: 10}, Estimate: 2 * time.Second, Rack: fmt.Sprint("r", o.jobs%(workers/8+1))}
		if o.jobs%4 == 0 {
			s.Tasks, s.Need.Processors = 80, 7000
		}
		o.jobs++
		o.Add(testJob(o.jobs, s), o.now)
		waiting += s.Tasks
	}
}

func (o *placementLoad) carryOutOrders(i int) {
	o.commit()
	r := &o.reports[i]
	w := o.workers.Get(r.Agent)
	for _, order := range w.pending {
		if order.Kind == OrderStart {
			r.Running = append(r.Running, Run{Task: order.Task, Run: order.Run})
		}
	}
	w.pending = nil
	o.Events()
}

// commit makes all changes durable, so that ended jobs are dropped.
func (o *placementLoad) commit() {
	w := o.PendingWrites(o.now, 100)
	o.Committed(&w)
}
