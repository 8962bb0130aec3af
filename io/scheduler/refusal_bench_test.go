package scheduler

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRefusal measures a refusal through the HTTP handler, with the inquiry at the
// owner over loopback. Its processor time, with that of the owner and of the benchmark,
// may be 2 ms at the 99th percentile.
func BenchmarkRefusal(b *testing.B) {
	x := newAdmissionTest(b)
	times := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			b.StopTimer()
			x.publish(b, time.Now())
			x.entry.receiveForecast(x.owner.admission.forecast(time.Now()), time.Now())
			b.StartTimer()
		}
		begin := processorTime(b)
		w := x.submit(wideBody)
		if err := times.RecordValue(int64(processorTime(b) - begin)); err != nil {
			b.Fatal(err)
		}
		if w.Code != http.StatusTooManyRequests {
			b.Fatal(w.Code, w.Body)
		}
	}
	for name, percentile := range map[string]float64{"cpu-p50-us": 50, "cpu-p99-us": 99} {
		b.ReportMetric(float64(times.ValueAtPercentile(percentile))/float64(time.Microsecond), name)
	}
}
