package agent

import (
	"net/http"

	"rosemarygap/io/httpjson"
	"rosemarygap/platform"
)

// Handler returns the handler for the heartbeats and the departure of the
// worker.
func (a *Agent) Handler() http.Handler {
	e := httpjson.NewServer()
	e.PUT(platform.HeartbeatPath, a.handleHeartbeat)
	e.DELETE(platform.HeartbeatPath, a.handleDeparture)
	return e
}
