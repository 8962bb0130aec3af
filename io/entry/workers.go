package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/entry"
)

// workersAsked asks for the workers that announced themselves.
type workersAsked struct{ reply chan<- []entry.Worker }

func (m workersAsked) handle(c *control, now time.Time) {
	out := make([]entry.Worker, 0, c.notices.Len())
	for _, w := range c.notices.All {
		row := entry.Worker{ID: w.notice.ID, Zone: w.notice.Zone, Rack: w.notice.Rack,
			Address: w.notice.Address, Heard: now.Sub(w.made) <= defaultTTL}
		row.Draining = c.config != nil && slices.Contains(c.config.Document.Draining, row.ID)
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b entry.Worker) int { return strings.Compare(a.ID, b.ID) })
	m.reply <- out
}

// Workers lists the workers that announced themselves, by id.
func (c *control) Workers(ctx context.Context) ([]entry.Worker, error) {
	reply := make(chan []entry.Worker, 1)
	return ask(ctx, c, reply, workersAsked{reply})
}
