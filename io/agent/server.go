package agent

import (
	"io"
	"net/http"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
)

// maxHeartbeat is the largest accepted heartbeat, in bytes.
const maxHeartbeat = 64 << 10

// newServer serves heartbeats and departures of the worker.
func (a *Agent) newServer() http.Handler {
	e := httpjson.NewServer()
	e.PUT(platform.HeartbeatPath, a.takeHeartbeat)
	e.DELETE(platform.HeartbeatPath, a.takeDeparture)
	return e
}

func (a *Agent) takeHeartbeat(x echo.Context) error {
	b, err := io.ReadAll(io.LimitReader(x.Request().Body, maxHeartbeat+1))
	if err != nil {
		return status.ErrMalformedJSON
	}
	if len(b) > maxHeartbeat {
		return status.ErrBodyTooLarge
	}
	w, err := platform.DecodeHeartbeat(x.Param("id"), b)
	if err == nil && w.Address != a.cfg.Worker {
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
		signal(a.kick)
		signal(a.changed)
	}
	return x.JSON(http.StatusOK, struct{}{})
}

func (a *Agent) takeDeparture(x echo.Context) error {
	id := x.Param("id")
	if a.state.leave(id) {
		event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("left"), event.Incarnation(0))
		signal(a.changed)
		signal(a.departed)
	}
	return x.JSON(http.StatusOK, struct{}{})
}
