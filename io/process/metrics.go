package process

import (
	"net/http"

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
