package job

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/wire"
)

// benchReports returns a report with 30 runs, and the next one, in which two of them have
// changed.
func benchReports() (base, next *Report) {
	base = &Report{Agent: "agent-17", Process: 1764806400000000000, Epoch: 7, Applied: 412, Clock: 90 * time.Second, Listed: true,
		Worker: &Worker{ID: "i-17", Incarnation: 1764806400000, Service: "svc", Address: netip.MustParseAddrPort("10.0.0.17:21085"), Zone: "zone-1",
			VM: "vm-17", Labels: []string{"r1"}, Capacity: Resources{Processors: 16000, Memory: 64000}, Sequence: 180, Clock: 90 * time.Second}}
	for i := range 30 {
		base.Running = append(base.Running, Run{Task: fmt.Sprintf("00000000000000%02x.0.%d.0", i, i), Run: 1, Percent: i, Load: 900 + i})
	}
	copied, worker := *base, *base.Worker
	next = &copied
	next.Worker, next.Running = &worker, append([]Run(nil), base.Running...)
	next.Clock, worker.Sequence, worker.Clock = 91*time.Second, 181, 91*time.Second
	next.Running[3].Percent, next.Running[20].Percent = 60, 70
	return base, next
}

// BenchmarkReport measures what one report of 30 runs, of which two have changed, costs
// the owner before the cell gets it, whole and as a delta.
func BenchmarkReport(b *testing.B) {
	base, next := benchReports()
	d, ok := CompareReports(base, next)
	d.Number, d.Base = 2, 1
	if !ok {
		b.Fatal("not expressible")
	}
	bases := ReportBases{process: base.Process, newest: numberedReport{1, base}}
	b.Run("whole", func(b *testing.B) {
		body := []byte(encode(b, next))
		for b.Loop() {
			var r Report
			if err := wire.Decode(bytes.NewReader(body), wire.MaxControlBody, &r); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
	b.Run("delta", func(b *testing.B) {
		body := []byte(encode(b, &d))
		for b.Loop() {
			var d ReportChanges
			if err := wire.Decode(bytes.NewReader(body), wire.MaxControlBody, &d); err != nil {
				b.Fatal(err)
			}
			if _, err := bases.Expand(&d); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
}
