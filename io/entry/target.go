package entry

import (
	"fmt"
	"time"

	"rosemarygap/core/event"

	"github.com/VictoriaMetrics/metrics"
)

// tickTargets compares the latency that the callers of this entry observed with the
// latency targets of the services, once per latency.WindowLength. It logs changes and
// updates the metrics.
func (c *control) tickTargets(now time.Time) {
	if c.config == nil || !c.targetChecker.Due(now) {
		return
	}
	for _, v := range c.targetChecker.Check(c.latency.Services(now), c.latencyTarget, now) {
		metrics.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_latency_p99_seconds{service=%q}`, v.Service), nil).
			Set(v.P99.Seconds())
		switch {
		case v.Changed && v.Missed:
			event.LatencyTargetMissed.Emit(c.log, event.Service(v.Service), event.Elapsed(v.P99))
		case v.Changed:
			event.LatencyTargetMet.Emit(c.log, event.Service(v.Service), event.Elapsed(v.P99))
		}
	}
}

// latencyTarget returns the latency target of a service, or 0 if the service isn't
// configured.
func (c *control) latencyTarget(service string) time.Duration {
	s := c.config.Document.Service(service)
	if s == nil {
		return 0
	}
	return s.LatencyTarget.Std()
}
