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
	c.applyTransfer(Transfer{From: 0, To: 1, Team: "press", Sum: Resources{Processors: 500}})
	for i := range 20 {
		c.Apply(Record{Kind: KindSubmitted, Job: &Job{ID: fmt.Sprintf("build-%d", i), Team: "press"}})
	}
	parts := c.Save().Split(1000)
	is.True(len(parts) > 2)
	back := NewCell(0, Timings{})
	for _, p := range parts {
		back.Load(p)
	}
	is.Equal(jsonSize(back.Save()), jsonSize(c.Save()))
	is.Equal(back.Save().Transfers, c.Save().Transfers)
}
