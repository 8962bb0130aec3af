package fleet

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/platform"

	"github.com/matryer/is"
)

// A stalled worker lists no progress of its tasks, however long ago it last advanced
// them. Progress that a list shows between two advances resets the stall limit of the
// scheduler, which then takes the worker for a slow one.
func TestStalledWorkerListsNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		l.RecordSubmission(sampleJob())
		w := NewWorker("w", "svc", netip.AddrPort{}, netip.AddrPort{}, l)
		w.SetStalled(true)
		time.Sleep(time.Second)
		_, err := w.Start(platform.StartRequest{Worker: "w", Task: "00000000000000aa.0.0.0", Run: 1, Payload: "ms=300", LeaseUntil: 10 * time.Second})
		is.NoErr(err)
		for range 3 {
			time.Sleep(200 * time.Millisecond)
			list, err := w.Renew(platform.RenewRequest{Worker: "w"})
			is.NoErr(err)
			is.Equal(len(list.Running), 1)
			is.Equal(list.Running[0].Percent, 0)
		}
		w.SetStalled(false)
		time.Sleep(150 * time.Millisecond)
		list, err := w.Renew(platform.RenewRequest{Worker: "w"})
		is.NoErr(err)
		is.Equal(list.Running[0].Percent, 50)
	})
}

// A task that was done may run again once the lease of its worker has ended, unless the
// end was acknowledged before.
func TestEndIsLostWithLease(t *testing.T) {
	for name, acknowledged := range map[string]int64{"lost": 0, "acknowledged": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := NewLedger()
				j := sampleJob()
				j.Payload = "ms=100"
				l.RecordSubmission(j)
				w := NewWorker("w", "svc", netip.AddrPort{}, netip.AddrPort{}, l)
				_, err := w.Start(startRequest(w, "00000000000000aa.0.0.0", time.Second))
				is.NoErr(err)
				time.Sleep(200 * time.Millisecond)
				w.advance()
				_, err = w.Renew(platform.RenewRequest{Worker: "w", Token: 1, Acknowledged: acknowledged})
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				w.advance()
				l.RecordStart("v", startRequest(w, "00000000000000aa.0.0.0", time.Second), time.Now())
				is.Equal(len(l.Violations()) > 0, acknowledged == 1)
			})
		})
	}
}
