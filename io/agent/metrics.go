package agent

import (
	"fmt"
	"time"

	"rosemarygap/core/job"

	"github.com/VictoriaMetrics/metrics"
)

var (
	orderSeconds   = metrics.NewHistogram("rosemarygap_order_seconds")
	renewFailures  = metrics.NewCounter("rosemarygap_lease_renewal_failures_total")
	throttleOrders = metrics.NewCounter("rosemarygap_throttle_orders_total")
)

// countOrder counts an executed order by its outcome and records its duration.
func countOrder(kind job.OrderKind, outcome string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_orders_total{order=%q,outcome=%q}`, kind, outcome)).Inc()
	orderSeconds.Update(elapsed.Seconds())
}
