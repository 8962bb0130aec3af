package process

import (
	"net/http"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
)

// MetricsPort is where a process on the users' platform serves its metrics;
// deploy/system.toml names the same port.
const MetricsPort = 9464

// MetricsHandler serves the metrics of the process as text under /metrics.
func MetricsHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET("/metrics", func(x echo.Context) error {
		metrics.WritePrometheus(x.Response(), true)
		return nil
	})
	return e
}

// StopReason returns the code of the error that a process ends with, or "".
func StopReason(err error) status.Code {
	if err == nil {
		return ""
	}
	return status.CodeOf(err)
}
