package job

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkDecisionWithForecasts measures a report and its decision with fair shares,
// evacuation and forecasts for admission, on 240 workers full of batch tasks with 2,000 more
// and urgent jobs that wait. The decisions with a forecast have a median of their own,
// without a limit.
func BenchmarkDecisionWithForecasts(b *testing.B) {
	const workers, waitingTasks = 240, 2000
	o := newFullCell(workers, waitingTasks)
	all, forecasts := []time.Duration{}, []time.Duration{}
	for i := 0; b.Loop(); i++ {
		if i%50 == 0 {
			o.addUrgent()
		}
		forecast := i%125 == 0 // 250 ms
		begin := time.Now()
		o.report(i % workers)
		if forecast {
			if _, ok := o.Forecast(o.now); !ok {
				b.Fatal("no forecast")
			}
		}
		took := time.Since(begin)
		o.carryOut(i % workers)
		all = append(all, took)
		if forecast {
			forecasts = append(forecasts, took)
		}
	}
	b.StopTimer()
	if n := o.waiting(); n < waitingTasks {
		b.Fatalf("%d tasks wait, want at least %d", n, waitingTasks)
	}
	median := medianOf(all)
	b.ReportMetric(float64(median.Nanoseconds()), "median-ns")
	b.ReportMetric(float64(medianOf(forecasts).Nanoseconds()), "forecast-median-ns")
	if median > maxMedianDecision {
		b.Errorf("the median decision takes %s, want at most %s", median, maxMedianDecision)
	}
}

// medianOf returns the median of times, or 0 if there are none.
func medianOf(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// longStep returns a step whose tasks take 30 s by the estimate.
func longStep(tasks, processors int) Step {
	s := step(tasks, processors)
	s.Estimate = 30 * time.Second
	return s
}

// urgentStep returns a step of an urgent job, which can wait for 0.65 s.
func urgentStep(tasks, processors int) Step {
	s := step(tasks, processors)
	s.Estimate = 800 * time.Millisecond
	return s
}

// fullCell is an overload whose workers are full of batch tasks.
type fullCell struct {
	overload
	urgent int
	ends   []int64
}

func newFullCell(workers, waitingTasks int) *fullCell {
	const tasksPerJob, tasksPerWorker = 10, 13 // of 7 processors
	now := time.Unix(1000, 0)
	o := &fullCell{overload: overload{now: now, reports: make([]Report, workers),
		Cell: New(1, now, WithFairShares(), WithEvacuation(5*time.Second))}, ends: make([]int64, workers)}
	o.ConfirmEvacuations(nil, now, now)
	o.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 4, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", MaxFailures: 4, Stretch: 1.5, Target: 300 * time.Millisecond}}})
	for i := range o.reports {
		o.reports[i] = Report{Agent: fmt.Sprint("agent-", i), Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
			Worker: &Worker{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 96000, Memory: 250000}}}
		o.Receive(&o.reports[i], now)
	}
	for i := range (workers*tasksPerWorker + waitingTasks) / tasksPerJob {
		j := testJob(1000+i, longStep(tasksPerJob, 7000))
		j.Zone, j.Accepted = fmt.Sprint("zone-", i%4), now
		o.Add(j, now)
	}
	o.now = now.Add(minForecastEpochAge)
	for range 3 {
		for i := range o.reports {
			o.report(i)
			o.carryOut(i)
		}
	}
	return o
}

// addUrgent adds an urgent job whose tasks find no room.
func (o *fullCell) addUrgent() {
	o.ConfirmOwnership(o.now)
	o.urgent++
	j := testJob(o.urgent, urgentStep(10, 8000))
	j.Queue, j.Accepted = "host/urgent/", o.now
	o.Add(j, o.now)
}

// report delivers a report of worker i and makes the decision.
func (o *fullCell) report(i int) {
	o.now = o.now.Add(2 * time.Millisecond)
	r := &o.reports[i]
	r.Clock += 480 * time.Millisecond
	for n := range r.Running {
		r.Running[n].Percent = min(99, r.Running[n].Percent+1)
	}
	o.Receive(r, o.now)
	o.Tick(o.now)
	o.Events()
}

// carryOut carries out the orders to worker i, and ends the runs that were stopped and
// those of urgent jobs that took 0.8 s.
func (o *fullCell) carryOut(i int) {
	r := &o.reports[i]
	w := o.workers.Get(r.Agent)
	stopped := map[string]bool{}
	for _, order := range w.pending {
		if order.Kind == OrderStart {
			r.Running = append(r.Running, Run{Task: order.Task, Run: order.Run})
		} else {
			stopped[order.Task] = true
		}
	}
	w.pending, r.Ended = nil, nil
	r.Running = slices.DeleteFunc(r.Running, func(run Run) bool {
		outcome := EndStopped
		if !stopped[run.Task] {
			task, _ := ParseTask(run.Task)
			if j := o.jobs.Get(task.Job); run.Percent < 2 || j == nil || j.Queue == testQueue {
				return false
			}
			outcome = EndDone
		}
		o.ends[i]++
		r.Ended = append(r.Ended, End{Number: o.ends[i], Task: run.Task, Run: run.Run, Outcome: outcome})
		return true
	})
}
