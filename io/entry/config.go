package entry

import (
	"context"
	"encoding/json"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	"rosemarygap/io/platform"

	"github.com/VictoriaMetrics/metrics"
)

func (c *control) applyConfigEntry(e platform.KeyValue) {
	if e.Deleted {
		return
	}
	var a operator.AcceptedConfig
	if err := json.Unmarshal(e.Value, &a); err != nil {
		event.ConfigUnusable.Emit(c.log, event.Revision(0), event.Reason(status.ErrMalformedJSON.Code()))
		return
	}
	c.adoptConfig(&a)
}

// configAccepted carries a configuration that was accepted from an operator.
// The done channel is closed after the configuration was processed.
type configAccepted struct {
	config *operator.AcceptedConfig
	done   chan<- struct{}
}

func (m configAccepted) handle(c *control, now time.Time) {
	c.adoptConfig(m.config)
	c.publishIfDirty(now)
	close(m.done)
}

// Adopt puts a configuration in force at this entry if its revision is higher
// than the current one, and waits until it is in force. The watch delivers the
// configuration too, but a slow store delays the watch.
func (c *control) Adopt(ctx context.Context, a *operator.AcceptedConfig) {
	done := make(chan struct{})
	if c.send(ctx, configAccepted{a, done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// adoptConfig puts a configuration in force if its revision is higher than the
// current one and the configuration is valid.
func (c *control) adoptConfig(a *operator.AcceptedConfig) {
	if operator.Newest(c.config, a) == c.config || a.Revision == c.rejectedRevision {
		return
	}
	if err := operator.CheckAccepted(a); err != nil {
		event.ConfigUnusable.Emit(c.log, event.Revision(a.Revision), event.Reason(status.CodeOf(err)))
		c.rejectedRevision = a.Revision
		return
	}
	c.config = a
	c.dirty = true
	c.claims.SetOutageHold(a.Document.Timings.OutageHold.Std())
	metrics.GetOrCreateGauge("rosemarygap_config_revision", nil).Set(float64(a.Revision))
	c.endpoints.SetTTL(a.Document.Timings.AnnouncementTTL.Std())
	for _, local := range c.cells.All {
		if local.owned {
			c.configureCell(local.driver.Cell, time.Now())
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
	cell.SetRules(classRules(d))
	cell.SetQuotas(d.Cells, teamQuotas(d))
}

// classRules merges the placement rules of each batch class. If a class has
// several rules, its zones are the union of their zones.
func classRules(d *operator.Document) map[string]worker.ClassRule {
	rules := make(map[string]worker.ClassRule)
	for _, r := range d.Rules {
		c := rules[r.Class]
		if r.AvoidService != "" {
			c.Avoid = append(c.Avoid, r.AvoidService)
		}
		c.Zones = append(c.Zones, r.Zones...)
		rules[r.Class] = c
	}
	return rules
}

func teamQuotas(d *operator.Document) map[string]worker.Resources {
	quotas := make(map[string]worker.Resources, len(d.Teams))
	for _, t := range d.Teams {
		quotas[t.Name] = worker.Resources{Processors: t.Quota.Processors,
			Memory: t.Quota.Memory, Accelerators: t.Quota.Accelerators}
	}
	return quotas
}

// timings returns the lease timings of the configuration in force.
func (c *control) timings() worker.Timings {
	t := &c.config.Document.Timings
	return worker.Timings{Grant: t.LeaseGrant.Std(), Hold: t.OutageHold.Std()}
}
