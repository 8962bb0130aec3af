package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/entry"
)

// workersRequest requests the workers that have announced themselves.
type workersRequest struct{ reply chan<- []entry.Worker }

func (m workersRequest) handle(c *control, now time.Time) {
	out := make([]entry.Worker, 0, c.announcedWorkers.Len())
	for _, w := range c.announcedWorkers.All {
		row := entry.Worker{ID: w.announcement.ID, Zone: w.announcement.Zone, Rack: w.announcement.Rack,
			Address: w.announcement.Address, Heard: now.Sub(w.announcedAt) <= defaultAnnouncementTTL}
		row.Draining = c.config != nil && slices.Contains(c.config.Document.Draining, row.ID)
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b entry.Worker) int { return strings.Compare(a.ID, b.ID) })
	m.reply <- out
}

// Workers returns the workers that have announced themselves, sorted by id.
func (c *control) Workers(ctx context.Context) ([]entry.Worker, error) {
	reply := make(chan []entry.Worker, 1)
	return call(ctx, c, reply, workersRequest{reply})
}
