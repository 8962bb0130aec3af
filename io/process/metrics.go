package process

import (
	"fmt"
	"net/http"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
)

// MetricsPort is the port on which a process on the users' platform serves its
// metrics. It must match deploy/system.toml.
const MetricsPort = 9464

// MetricsHandler returns a handler that serves the metrics of the process as
// text under /metrics.
func MetricsHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET("/metrics", ServeMetrics)
	return e
}

// ServeMetrics responds with the metrics of the process as text.
func ServeMetrics(x echo.Context) error {
	metrics.WritePrometheus(x.Response(), true)
	return nil
}

// StopReason returns the status code of the error that ended the process, or ""
// if there is none.
func StopReason(err error) status.Code {
	if err == nil {
		return ""
	}
	return status.CodeOf(err)
}

// CountStoreCall counts a call to the platform's store and records its
// duration.
func CountStoreCall(c platform.StoreCall) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_platform_store_calls_total{call=%q,outcome=%q}`, c.Kind, c.Outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemarygap_platform_store_call_seconds{call=%q}`, c.Kind)).Update(c.Elapsed.Seconds())
}
