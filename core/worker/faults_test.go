package worker

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/clock/clocktest"
	"rosemarygap/core/wire"

	"github.com/matryer/is"
)

// An owner that was suspended for longer than it may go without a verification of its
// ownership must send no lease before the next one, although its monotonic clock stood
// still meanwhile.
func TestSuspendedOwnerSendsNoLeases(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewCell(0, Timings{Grant: 6 * time.Second, Hold: 10 * time.Second})
	w := c.ensureWorker("worker-1")
	w.address, w.lastAnnounced = netip.MustParseAddrPort("127.0.0.1:1"), now
	c.VerifyEnd(now)
	woken := clocktest.AfterSuspension(now, 11*time.Second)
	is.Equal(len(c.Commands(woken, nil)), 0)
	c.VerifyEnd(woken)
	is.Equal(len(c.Commands(woken, nil)), 1)
}

// A report with a remaining lease that no worker can have must not make the leases of
// the worker count as ended while its tasks run: they would start elsewhere, too.
func TestReportWithImpossibleLeaseIsIgnored(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, math.MinInt64, math.MaxInt64} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		c := NewCell(0, Timings{Grant: 6 * time.Second, Hold: 10 * time.Second})
		c.ensureWorker("worker-1").leaseBound = now.Add(time.Minute)
		r := &Report{Worker: "worker-1", Stamp: Stamp{Incarnation: 1, Time: 1}, LeaseLeft: wire.Duration(left)}
		c.Receive(Command{Worker: "worker-1"}, r, now)
		is.True(!c.leasesExpired(c.workers.Get("worker-1"), now.Add(time.Second)))
	}
}

// The owner has received that an attempt is done while a journal write is in progress, as in an
// outage of the store. The next incarnation of the worker reports before the next plan. The job
// must not run again.
func TestDoneAttemptCountsAlthoughWorkerRestarts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewCell(1, Timings{Grant: 4 * time.Second, Hold: 4 * time.Second})
	c.Open(1, now)
	c.Apply(Record{Kind: KindSubmitted, At: now, Job: &Job{ID: "j"}})
	c.Apply(Record{Kind: KindStarted, At: now, ID: "j", Attempt: 1, Worker: "w", Incarnation: 1})
	cmd := Command{Worker: "w", Lease: Lease{Epoch: 1}}
	done := &Report{Worker: "w", Epoch: 1, Stamp: Stamp{Incarnation: 1, Time: 1}, Tasks: []TaskReport{{Job: "j", Attempt: 1, State: TaskDone}}}
	is.True(c.Receive(cmd, done, now))
	c.Receive(cmd, &Report{Worker: "w", Epoch: 1, Stamp: Stamp{Incarnation: 2, Time: 1}}, now) // no plan between the two
	var kinds []Kind
	for _, r := range c.Plan(now) {
		if r.ID == "j" {
			kinds = append(kinds, r.Kind)
		}
	}
	is.Equal(kinds, []Kind{KindFinished})
}
