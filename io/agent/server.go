package agent

import (
	"net/http"

	"rosemarygap/core/event"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
)

// Handler returns the handler for the heartbeats and the departure of the
// worker.
func (a *Agent) Handler() http.Handler {
	e := httpjson.NewServer()
	e.PUT(platform.HeartbeatPath, a.handleHeartbeat)
	e.DELETE(platform.HeartbeatPath, a.handleDeparture)
	return e
}

func (a *Agent) handleDeparture(x echo.Context) error {
	id := x.Param("id")
	if a.state.recordDeparture(id) {
		event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("left"), event.Incarnation(0))
		a.logUndelivered()
		process.Wake(a.wakeReport)
		process.Wake(a.workerLeft)
	}
	return x.JSON(http.StatusOK, struct{}{})
}
