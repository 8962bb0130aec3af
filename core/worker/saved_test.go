package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A snapshot in parts holds all that a whole one holds.
func TestPartsOfSnapshotAddUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, testClasses, nil)
	c := f.cells[0]
	c.wait = time.Hour
	c.worker("worker-1").health = Health{Worker: "worker-1", Proven: true}
	c.applyTransfer(QuotaTransfer{From: 0, To: 1, Team: "press", Total: Resources{Processors: 500}})
	for i := range 20 {
		c.Apply(Record{Kind: KindSubmitted, Job: &Job{ID: fmt.Sprintf("build-%d", i), Team: "press"}})
	}
	parts := c.Snapshot().Split(1000)
	is.True(len(parts) > 2)
	back := NewCell(0, Timings{})
	for _, p := range parts {
		back.Load(p)
	}
	is.Equal(jsonSize(back.Snapshot()), jsonSize(c.Snapshot()))
	is.Equal(back.Snapshot().Transfers, c.Snapshot().Transfers)
}

// A process inherits the ends of leases only from the ownership that directly
// precedes its own in the journal.
func TestInheritOnlyFromPrecedingOwnership(t *testing.T) {
	for _, tt := range []struct {
		name      string
		between   bool
		inherited bool
	}{{"same process again", false, true}, {"another owner came between", true, false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			timings := Timings{Grant: 10 * time.Second, Hold: time.Hour}
			old := NewDriver(NewCell(0, timings), "a", func() string { return "n" })
			journal := old.OpeningBatch(1, now).Records
			old.Cell.Open(1, now)
			old.Cell.worker("worker-1").bound = now.Add(10 * time.Second)
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
			is.Equal(next.Cell.certainlyEnded(next.Cell.worker("worker-1"), now.Add(time.Minute)), tt.inherited)
		})
	}
}
