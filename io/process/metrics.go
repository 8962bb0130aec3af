package process

import (
	"net/http"
	"sync/atomic"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

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

// metricsBytes is the size of the largest response of ServeMetrics, whose buffer grows to
// bufferGrowth times its content.
var metricsBytes atomic.Int64

const bufferGrowth = 2

// ServeMetrics responds with the metrics of the process as text.
func ServeMetrics(x echo.Context) error {
	if err := httpjson.Reserve(x.Request().Context(), metricsBytes.Load()*bufferGrowth); err != nil {
		return err
	}
	metrics.WritePrometheus(x.Response(), true)
	metricsBytes.Store(max(metricsBytes.Load(), x.Response().Size))
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
