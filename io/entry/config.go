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

func (c *control) applyConfigEntry(e platform.Entry) {
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

// configAccepted is a configuration that an operator's edit just became.
type configAccepted struct {
	a    *operator.AcceptedConfig
	done chan<- struct{}
}

func (m configAccepted) handle(c *control, now time.Time) {
	c.adoptConfig(m.a)
	c.publishIfDirty(now)
	close(m.done)
}

// Adopt puts a configuration in force here, if its revision is higher. The
// watch brings it as well; this way is not delayed by a slow store.
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

// adoptConfig puts a configuration in force if its revision is higher.
func (c *control) adoptConfig(a *operator.AcceptedConfig) {
	if operator.Newest(c.config, a) == c.config || a.Revision == c.unusable {
		return
	}
	if err := operator.CheckAccepted(a); err != nil {
		event.ConfigUnusable.Emit(c.log, event.Revision(a.Revision), event.Reason(status.CodeOf(err)))
		c.unusable = a.Revision
		return
	}
	c.config = a
	c.dirty = true
	c.claims.SetOutageHold(a.Document.Timings.OutageHold.Std())
	metrics.GetOrCreateGauge("rosemarygap_config_revision", nil).Set(float64(a.Revision))
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
	cell.SetRules(classRules(d))
	cell.SetQuotas(d.Cells, teamQuotas(d))
}

// classRules joins the placement rules of each batch class. Zones of several
// rules for one class add up.
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

// timings returns the configured periods of leases.
func (c *control) timings() worker.Timings {
	t := &c.config.Document.Timings
	return worker.Timings{Grant: t.LeaseGrant.Std(), Hold: t.OutageHold.Std()}
}
