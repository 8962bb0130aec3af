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

// Sizes and times of the measurement.
const (
	capacityEntries  = 3
	tasksPerWorker   = 20
	endpointsPerPair = 8
	settleTime       = 3 * time.Second
	observeTime      = 15 * time.Second
	submitters       = 64
)

// BenchmarkCapacity measures what an entry spends on control while nothing
// changes, at several sizes of the fleet, and what a start costs in the
// store. docs/CAPACITY.md works its slopes out.
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
	services := max(1, endpoints/endpointsPerPair)
	d.Apply(fleetDocument(b, services), "capacity")
	if workers > 0 {
		d.startHerd(workers, endpoints, services)
	}
	time.Sleep(settleTime)
	jobs := workers * tasksPerWorker
	before := d.Sample()
	d.submitMany(jobs)
	d.Eventually("all jobs running", time.Minute, func() bool { return d.running() == jobs })
	started := d.Sample()
	time.Sleep(settleTime)
	first := d.Sample()
	time.Sleep(observeTime)
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

// fleetDocument returns a configuration with the given number of services.
func fleetDocument(b *testing.B, services int) operator.Document {
	doc := ReadConfig(b, "../../../examples/kettle-valley.json")
	doc.Cells = capacityEntries
	model := doc.Services[0]
	doc.Services = nil
	for i := range services {
		s := model
		s.Name = fmt.Sprintf("service-%d", i)
		doc.Services = append(doc.Services, s)
	}
	doc.Teams[0].Quota = operator.Quota{Processors: 1 << 30, Memory: 1 << 40}
	return doc
}

// startHerd starts the workers and endpoints in one process.
func (d *Deployment) startHerd(workers, endpoints, services int) {
	d.t.Helper()
	base := netip.MustParseAddrPort("127.0.0.1:26000")
	args := []string{"herd", "--base", base.String(), "--workers", fmt.Sprint(workers),
		"--endpoints", fmt.Sprint(endpoints), "--services", fmt.Sprint(services)}
	d.start("herd", "rosemarygap-standin", append(args, d.callerAddresses()...)...)
	d.waitListening(base)
}

// submitMany submits n long jobs by several operators at a time.
func (d *Deployment) submitMany(n int) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range submitters {
		wg.Go(func() {
			for i := range next {
				d.submitOne(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

func (d *Deployment) submitOne(i int) {
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
	d.t.Errorf("job %s was never accepted", j.ID)
}

func (d *Deployment) running() int {
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
