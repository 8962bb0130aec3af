package platform

import (
	"context"
	"time"

	"rosemarygap/core/worker"
)

// OpenCell loads a cell from its journal, makes all later writes of earlier
// owners fail, starts the ownership with the given epoch, and returns the cell's
// driver. The function newDriver returns an empty driver; it is called once per
// attempt.
func OpenCell(ctx context.Context, j *Journal[worker.Record, worker.Snapshot], epoch int64, newDriver func() *worker.Driver, now func() time.Time) (*worker.Driver, error) {
	var d *worker.Driver
	_, _, err := j.Open(ctx, func(c JournalContents[worker.Record, worker.Snapshot]) worker.Batch {
		d = newDriver()
		loadCell(d.Cell, c)
		return d.OpeningBatch(epoch, now())
	})
	if err != nil {
		return nil, err
	}
	d.Cell.Open(epoch, now())
	return d, nil
}

// loadCell restores the state of c from the contents of its journal.
func loadCell(c *worker.Cell, contents JournalContents[worker.Record, worker.Snapshot]) {
	for _, s := range contents.SnapshotParts {
		c.Load(s)
	}
	for _, b := range contents.Batches {
		for _, r := range b.Records {
			c.Apply(r)
		}
	}
}
