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
