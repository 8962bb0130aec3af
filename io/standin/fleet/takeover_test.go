package fleet

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// BenchmarkTakeover measures for how long no task starts after the owner was killed, while
// jobs arrive, by the way in which an owner is replaced.
func BenchmarkTakeover(b *testing.B) {
	for i, failover := range []string{"lease", "connection"} {
		b.Run(failover, func(b *testing.B) {
			r := newTestRun(b, uint64(60011+i), 3, 6, withEnvironment("ROSEMARYGAP_FAILOVER="+failover))
			c := &http.Client{}
			defer c.CloseIdleConnections()
			r.awaitReady(c)
			r.awaitFirstJob(c)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() { r.sendJobs(60011, stop) })
			time.Sleep(2 * time.Second)
			total := time.Duration(0)
			for b.Loop() {
				total += r.takeover()
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms-without-start")
			close(stop)
			wg.Wait()
			r.healAndWait()
			r.checkResults()
		})
	}
}

// takeover kills the owner and returns how long no task started after that. Then it starts
// the killed process again.
func (r *testRun) takeover() time.Duration {
	const startsUnderWay = 50 * time.Millisecond
	killed := r.ownerProcess()
	killed.signal(syscall.SIGKILL)
	begin := time.Now()
	time.Sleep(startsUnderWay)
	before := r.ledger.StartCount()
	for r.ledger.StartCount() == before && time.Since(begin) < settleTimeout {
		time.Sleep(time.Millisecond)
	}
	gap := time.Since(begin)
	time.Sleep(time.Second)
	r.start(killed)
	time.Sleep(2 * time.Second)
	return gap
}
