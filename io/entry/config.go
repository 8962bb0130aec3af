package entry

import (
	"encoding/json"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/operator"
	"rosemarygap/core/worker"
	"rosemarygap/io/platform"
)

func (c *control) applyConfigEntry(e platform.Entry) {
	var a operator.Accepted
	if e.Deleted || json.Unmarshal(e.Value, &a) != nil {
		return
	}
	c.adoptConfig(&a)
}

// adoptConfig puts a configuration in force if its revision is higher.
func (c *control) adoptConfig(a *operator.Accepted) {
	if c.config != nil && a.Revision <= c.config.Revision {
		return
	}
	c.config = a
	c.dirty = true
	c.endpoints.SetTTL(a.Document.Timings.AnnouncementTTL.Std())
	for _, run := range c.cells.All {
		if run.owned {
			c.configureCell(run.driver.Cell, time.Now())
		}
	}
	event.ConfigInForce.Emit(c.log, event.Revision(a.Revision))
}

func (c *control) configureCell(cell *worker.Cell, now time.Time) {
	d := &c.config.Document
	cell.SetTimings(c.timings(), now)
	urgent := make(map[string]bool)
	for _, b := range d.Classes {
		urgent[b.Name] = b.Urgent
	}
	cell.SetClasses(urgent)
	cell.SetDraining(d.Draining)
}

// timings returns the configured periods of leases.
func (c *control) timings() worker.Timings {
	t := &c.config.Document.Timings
	return worker.Timings{Grant: t.LeaseGrant.Std(), Hold: t.OutageHold.Std()}
}
