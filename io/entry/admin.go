package entry

import (
	"net/http"
	"net/netip"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"

	"github.com/labstack/echo/v4"
)

type listenerSpec struct {
	name    string
	address netip.AddrPort
	handler http.Handler
}

// bindAll binds the addresses of all listeners before any of them serves requests.
func bindAll(specs []listenerSpec, limiter *httpjson.Limiter) ([]*httpjson.Listener, error) {
	var bound []*httpjson.Listener
	for _, s := range specs {
		l, err := httpjson.Listen(s.address, s.handler, httpjson.WithLimiter(limiter, s.name))
		if err != nil {
			return nil, err
		}
		l.SetMeter(httpjson.NewMeter(s.name))
		bound = append(bound, l)
	}
	return bound, nil
}

// newAdminHandler returns the handler for metrics, liveness and readiness.
func newAdminHandler(c *control) http.Handler {
	e := httpjson.NewServer()
	e.GET("/metrics", process.ServeMetrics)
	e.GET("/live", func(x echo.Context) error { return x.JSON(http.StatusOK, c.identity()) })
	e.GET("/ready", func(x echo.Context) error {
		st := c.identity()
		if !st.Ready {
			return x.JSON(http.StatusServiceUnavailable, st)
		}
		return x.JSON(http.StatusOK, st)
	})
	return e
}

// errorCode returns the code of err, or "" if err is nil.
func errorCode(err error) status.Code {
	if err == nil {
		return ""
	}
	return status.CodeOf(err)
}
