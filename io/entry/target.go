package entry

import (
	"fmt"
	"time"

	"rosemarygap/core/event"

	"github.com/VictoriaMetrics/metrics"
)

// tickTargets holds the latency that this entry's callers saw against the
// services' targets, once for each window.
func (c *control) tickTargets(now time.Time) {
	if c.config == nil || !c.judge.Due(now) {
		return
	}
	for _, v := range c.judge.Check(c.latency.Services(now), c.latencyTarget, now) {
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

// latencyTarget returns the target of a service; zero if it is unknown.
func (c *control) latencyTarget(service string) time.Duration {
	s := c.config.Document.Service(service)
	if s == nil {
		return 0
	}
	return s.LatencyTarget.Std()
}
