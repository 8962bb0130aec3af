package agent

import (
	"net/http"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
)

// maxHeartbeat is the largest accepted heartbeat, in bytes.
const maxHeartbeat = 64 << 10

// Handler serves heartbeats and departures of the worker.
func (a *Agent) Handler() http.Handler {
	e := httpjson.NewServer()
	e.PUT(platform.HeartbeatPath, a.takeHeartbeat)
	e.DELETE(platform.HeartbeatPath, a.takeDeparture)
	return e
}

func (a *Agent) takeHeartbeat(x echo.Context) error {
	b, err := wire.ReadBody(x.Request().Body, maxHeartbeat)
	if err != nil {
		return err
	}
	w, err := platform.DecodeHeartbeat(x.Param("id"), b)
	if err == nil && w.Address != a.cfg.WorkerAddress {
		err = status.At(status.ErrUnknownRef, "address", w.Address.String())
	}
	if err != nil {
		event.MessageRefused.Emit(a.log, event.Dependency("worker"), event.Reason(status.Code(err.Error())))
		return status.At(status.ErrMalformedJSON, "heartbeat", x.Param("id"))
	}
	renewed, changed := a.state.heartbeat(w)
	if renewed || changed {
		state := "ready"
		if w.Draining {
			state = "draining"
		}
		event.WorkerSeen.Emit(a.log, event.Worker(w.ID), event.State(state), event.Incarnation(w.Incarnation))
		process.Wake(a.kick)
		process.Wake(a.changed)
	}
	return x.JSON(http.StatusOK, struct{}{})
}

func (a *Agent) takeDeparture(x echo.Context) error {
	id := x.Param("id")
	if a.state.leave(id) {
		event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("left"), event.Incarnation(0))
		process.Wake(a.changed)
		process.Wake(a.departed)
	}
	return x.JSON(http.StatusOK, struct{}{})
}
