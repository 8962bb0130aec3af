package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Loading all parts of a split snapshot restores the same state as the whole
// snapshot.
func TestSnapshotPartsRestoreWholeState(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	c := f.cells[0]
	c.takeoverWait = time.Hour
	c.ensureWorker("worker-1").health = Health{Worker: "worker-1", Proven: true}
	c.applyTransfer(QuotaTransfer{From: 0, To: 1, Team: "press", Total: Resources{Processors: 500}})
	for i := range 20 {
		c.Apply(Record{Kind: KindSubmitted, Job: &Job{ID: fmt.Sprintf("build-%d", i), Team: "press"}})
	}
	parts := c.Snapshot().Split(1000)
	is.True(len(parts) > 2)
	restored := NewCell(0, Timings{})
	for _, p := range parts {
		restored.Load(p)
	}
	is.Equal(jsonSize(restored.Snapshot()), jsonSize(c.Snapshot()))
	is.Equal(restored.Snapshot().Transfers, c.Snapshot().Transfers)
}

// Guards against inheriting the ends of leases from an ownership that does not
// directly precede the current one in the journal: another owner in between may have
// granted leases that end later.
func TestInheritOnlyFromPrecedingOwnership(t *testing.T) {
	for _, tt := range []struct {
		name      string
		between   bool
		inherited bool
	}{{"no owner in between", false, true}, {"another owner in between", true, false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			timings := Timings{Grant: 10 * time.Second, Hold: time.Hour}
			old := NewDriver(NewCell(0, timings), "a", func() string { return "n" })
			journal := old.OpeningBatch(1, now).Records
			old.Cell.Open(1, now)
			old.Cell.ensureWorker("worker-1").leaseBound = now.Add(10 * time.Second)
			if tt.between {
				journal = append(journal, Record{Kind: KindOpened, Epoch: 2})
			}
			next := NewDriver(NewCell(0, timings), "a", func() string { return "n" })
			for _, r := range journal {
				next.Cell.Apply(r)
			}
			next.OpeningBatch(3, now)
			next.Cell.Open(3, now)
			next.Cell.InheritLeaseBounds(old.Cell)
			is.Equal(next.Cell.leasesExpired(next.Cell.ensureWorker("worker-1"), now.Add(time.Minute)), tt.inherited)
		})
	}
}
