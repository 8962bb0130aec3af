package entry

import (
	"encoding/json"

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
	c.claims.SetHold(a.Document.Timings.OutageHold.Std())
	c.endpoints.SetTTL(a.Document.Timings.AnnouncementTTL.Std())
	for _, run := range c.cells.All {
		c.configureCell(run.cell)
	}
	event.ConfigInForce.Emit(c.log, event.Revision(a.Revision))
}

func (c *control) configureCell(cell *worker.Cell) {
	d := &c.config.Document
	cell.SetTimings(worker.Timings{
		Grant: d.Timings.LeaseGrant.Std(),
		Hold:  d.Timings.OutageHold.Std(),
	})
	urgent := make(map[string]bool)
	for _, b := range d.Classes {
		urgent[b.Name] = b.Urgent
	}
	cell.SetClasses(urgent)
	cell.SetDraining(d.Draining)
}
