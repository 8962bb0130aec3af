package deployment

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

const (
	capacityEntries     = 3
	tasksPerWorker      = 20
	endpointsPerService = 8
	settleTime          = 3 * time.Second
	measureTime         = 15 * time.Second
	submitters          = 64
)

// BenchmarkCapacity measures the steady-state overhead of an entry at several
// sizes of the fleet, and the store load per task start. docs/CAPACITY.md derives
// the cost of each worker and endpoint from the results.
func BenchmarkCapacity(b *testing.B) {
	for _, workers := range []int{0, 30, 60, 120, 240} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				measureCapacity(b, workers, workers*3)
			}
		})
	}
}

func measureCapacity(b *testing.B, workers, endpoints int) {
	d := New(b, capacityEntries)
	services := max(1, endpoints/endpointsPerService)
	d.Apply(fleetConfig(b, services), "capacity")
	if workers > 0 {
		d.startFleet(workers, endpoints, services)
	}
	time.Sleep(settleTime)
	jobs := workers * tasksPerWorker
	before := d.Sample()
	d.submitJobs(jobs)
	d.Eventually("all jobs running", time.Minute, func() bool { return d.countRunning() == jobs })
	started := d.Sample()
	time.Sleep(settleTime)
	first := d.Sample()
	time.Sleep(measureTime)
	last := d.Sample()
	seconds := last.At.Sub(first.At).Seconds()
	entries := float64(len(d.Entries))
	perEntry := func(v float64) float64 { return v / entries / seconds }
	b.ReportMetric(100*perEntry((last.CPU-first.CPU).Seconds()), "cpu-%/entry")
	b.ReportMetric(last.ResidentBytes/entries/(1<<20), "MiB/entry")
	for _, name := range []string{"caller", "peer", "worker", "platform"} {
		b.ReportMetric(perEntry(last.InterfaceBytes[name]-first.InterfaceBytes[name])/1000, name+"-kB/s/entry")
	}
	b.ReportMetric(float64(last.Store.Writes-first.Store.Writes)/seconds, "store-writes/s")
	b.ReportMetric(float64(last.Store.Reads-first.Store.Reads)/seconds, "store-reads/s")
	b.ReportMetric(0, "ns/op")
	if workers == 0 {
		return
	}
	b.ReportMetric((last.InterfaceBytes["worker"]-first.InterfaceBytes["worker"])/seconds/float64(workers)/1000, "kB/s/worker")
	b.ReportMetric(float64(started.Store.BytesWritten-before.Store.BytesWritten)/float64(jobs), "store-B/start")
	b.ReportMetric(float64(started.Store.Writes-before.Store.Writes)/float64(jobs), "store-writes/start")
	b.ReportMetric(float64(jobs)/started.At.Sub(before.At).Seconds(), "starts/s")
}

// fleetConfig returns a configuration with the given number of services.
func fleetConfig(b *testing.B, services int) operator.Document {
	doc := ReadConfig(b, "../../../examples/kettle-valley.json")
	doc.Cells = capacityEntries
	template := doc.Services[0]
	doc.Services = nil
	for i := range services {
		s := template
		s.Name = fmt.Sprintf("service-%d", i)
		doc.Services = append(doc.Services, s)
	}
	doc.Teams[0].Quota = operator.Quota{Processors: 1 << 30, Memory: 1 << 40}
	return doc
}

// startFleet starts fakes of the workers and endpoints in one process.
func (d *Deployment) startFleet(workers, endpoints, services int) {
	d.t.Helper()
	base := netip.MustParseAddrPort("127.0.0.1:26000")
	args := []string{"herd", "--base", base.String(), "--workers", fmt.Sprint(workers),
		"--endpoints", fmt.Sprint(endpoints), "--services", fmt.Sprint(services)}
	d.startProcess("herd", "rosemarygap-standin", append(args, d.callerFlags()...)...)
	d.waitListening(base)
}

// submitJobs submits n long jobs, up to submitters of them concurrently.
func (d *Deployment) submitJobs(n int) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range submitters {
		wg.Go(func() {
			for i := range next {
				d.submitJob(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

func (d *Deployment) submitJob(i int) {
	j := worker.Job{ID: fmt.Sprintf("build-%06d", i), Team: "press", Class: "catalogue-build",
		Need:    worker.Resources{Processors: 500, Memory: 1024, Slots: 1},
		RunTime: wire.Duration(time.Hour), Payload: `{"run-time":"1h"}`}
	to := d.Entries[i%len(d.Entries)].Operator
	for range 50 {
		if d.Call(http.MethodPost, to, "/api/jobs", j, nil) == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.t.Errorf("job %s was not accepted in 50 attempts", j.ID)
}

func (d *Deployment) countRunning() int {
	var rows []worker.JobRow
	if d.Call(http.MethodGet, d.Entries[0].Operator, "/api/jobs", nil, &rows) != nil {
		return 0
	}
	n := 0
	for _, r := range rows {
		if r.State == worker.Running {
			n++
		}
	}
	return n
}
