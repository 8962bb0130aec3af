package agent

import (
	"fmt"
	"time"

	"rosemarygap/core/job"

	"github.com/VictoriaMetrics/metrics"
)

var (
	orderSeconds     = metrics.NewHistogram("rosemarygap_order_seconds")
	orderWaitSeconds = metrics.NewHistogram("rosemarygap_order_wait_seconds")
	waitingOrders    = metrics.NewGauge("rosemarygap_waiting_orders", nil)
	renewFailures    = metrics.NewCounter("rosemarygap_lease_renewal_failures_total")
	throttleOrders   = metrics.NewCounter("rosemarygap_throttle_orders_total")
)

// countOrder counts an executed order by its outcome, and records how long it waited
// for its first call and how long it took from there.
func countOrder(kind job.OrderKind, outcome string, waited, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_orders_total{order=%q,outcome=%q}`, kind, outcome)).Inc()
	orderWaitSeconds.Update(waited.Seconds())
	orderSeconds.Update(elapsed.Seconds())
}
