package operator

import (
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
)

// endpointRow is an endpoint as operators see it.
type endpointRow struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	State    string         `json:"state"`
	Slots    int            `json:"slots"`
	InFlight int64          `json:"in-flight"`
	// Left is how long the announcement counts unless it is refreshed.
	Left wire.Duration `json:"announcement-left"`
}

func (s *Server) listEndpoints(c echo.Context) error {
	return c.JSON(http.StatusOK, s.endpoints(time.Now()))
}

// endpoints returns the endpoints that may receive requests of this entry.
func (s *Server) endpoints(now time.Time) []endpointRow {
	out := []endpointRow{}
	v := s.control.Snapshot().Endpoints
	for _, name := range v.Services() {
		for _, e := range v.Candidates(name) {
			out = append(out, endpointRow{ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address,
				State: string(e.State), Slots: e.Slots, InFlight: e.Load.InFlight(),
				Left: wire.Duration(max(0, e.Load.Expires().Sub(now)))})
		}
	}
	return out
}
