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

// maxHeartbeatBytes is the maximum size of a heartbeat.
const maxHeartbeatBytes = 64 << 10

// Handler returns the handler for the heartbeats and the departure of the
// worker.
func (a *Agent) Handler() http.Handler {
	e := httpjson.NewServer()
	e.PUT(platform.HeartbeatPath, a.handleHeartbeat)
	e.DELETE(platform.HeartbeatPath, a.handleDeparture)
	return e
}

func (a *Agent) handleHeartbeat(x echo.Context) error {
	b, err := wire.ReadBody(x.Request().Body, maxHeartbeatBytes)
	if err != nil {
		return err
	}
	w, ignored, err := platform.DecodeHeartbeat(x.Param("id"), b)
	if err == nil && w.Address != a.cfg.WorkerAddress {
		err = status.At(status.ErrUnknownRef, "address", w.Address.String())
	}
	if err != nil {
		event.MessageRefused.Emit(a.log, event.Dependency("worker"), event.Reason(status.Code(err.Error())))
		return status.At(status.ErrMalformedJSON, "heartbeat", x.Param("id"))
	}
	if ignored != "" {
		event.MessageRefused.Emit(a.log, event.Dependency("worker"), event.Reason(status.Code("ignored field "+ignored)))
	}
	newIncarnation, changed := a.state.applyHeartbeat(w)
	if newIncarnation || changed {
		state := "ready"
		if w.Draining {
			state = "draining"
		}
		event.WorkerSeen.Emit(a.log, event.Worker(w.ID), event.State(state), event.Incarnation(w.Incarnation))
		process.Wake(a.wakeRenewal)
		process.Wake(a.wakeReport)
	}
	return x.JSON(http.StatusOK, struct{}{})
}

func (a *Agent) handleDeparture(x echo.Context) error {
	id := x.Param("id")
	if a.state.recordDeparture(id) {
		event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("left"), event.Incarnation(0))
		process.Wake(a.wakeReport)
		process.Wake(a.workerLeft)
	}
	return x.JSON(http.StatusOK, struct{}{})
}
