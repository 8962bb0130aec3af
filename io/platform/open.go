package platform

import (
	"context"
	"time"

	"rosemarygap/core/worker"
)

// OpenCell reads the journal of a cell into d, shuts out all earlier owners
// and starts the ownership with the given epoch. Build returns an empty
// driver; it is called once for each try.
func OpenCell(ctx context.Context, j *Journal[worker.Record, worker.Snapshot], epoch int64, build func() *worker.Driver, now func() time.Time) (*worker.Driver, error) {
	var d *worker.Driver
	_, _, err := j.Open(ctx, func(c JournalContents[worker.Record, worker.Snapshot]) worker.Batch {
		d = build()
		load(d.Cell, c)
		return d.OpeningBatch(epoch, now())
	})
	if err != nil {
		return nil, err
	}
	d.Cell.Open(epoch, now())
	return d, nil
}

func load(c *worker.Cell, contents JournalContents[worker.Record, worker.Snapshot]) {
	for _, s := range contents.SnapshotParts {
		c.Load(s)
	}
	for _, b := range contents.Batches {
		for _, r := range b.Records {
			c.Apply(r)
		}
	}
}
