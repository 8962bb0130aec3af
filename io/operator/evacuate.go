package operator

import (
	"context"

	"rosemarygap/core/entry"
	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// putZoneDraining evacuates an availability zone or ends its evacuation.
func (s *Server) putZoneDraining(c echo.Context) error {
	var req DrainRequest
	if err := httpjson.Decode(c, &req); err != nil {
		return httpjson.WriteError(c, err)
	}
	accepted, errResp := s.setZoneDraining(c.Request().Context(), c.Param("zone"), req)
	return respondToChange(c, accepted, errResp)
}

// setZoneDraining starts or ends the draining of all workers that have announced
// themselves in a zone, in one change. It returns status.ErrUnknownRef if there are
// none.
func (s *Server) setZoneDraining(ctx context.Context, zone string, req DrainRequest) (*core.AcceptedConfig, *ErrorResponse) {
	rows, err := s.control.Workers(ctx)
	if err != nil {
		return nil, s.rejectChange(err)
	}
	workers := workersIn(rows, zone)
	if len(workers) == 0 {
		return nil, s.rejectChange(status.At(status.ErrUnknownRef, "zone", zone))
	}
	// The prefix differs from that of a worker with the same name.
	return s.drainWorkers(ctx, workers, req.changeIDFor("zone/"+zone), req.Draining)
}

// workersIn returns the ids of the workers in a zone.
func workersIn(rows []entry.Worker, zone string) []string {
	var ids []string
	for _, w := range rows {
		if zone != "" && w.Zone == zone {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// zoneRow is the state of an availability zone on the workers page.
type zoneRow struct {
	Zone string
	// Workers is the number of workers in the zone, and Draining how many of them drain.
	Workers, Draining int
	// Jobs is the number of jobs that run on them.
	Jobs int
}

// Evacuated reports whether all workers of the zone drain.
func (z zoneRow) Evacuated() bool { return z.Draining == z.Workers }

// zonesOf returns the zones of workers, in the order of their first worker.
func zonesOf(workers []entry.Worker) []zoneRow {
	var out []zoneRow
	index := map[string]int{}
	for _, w := range workers {
		if w.Zone == "" {
			continue
		}
		i, ok := index[w.Zone]
		if !ok {
			i = len(out)
			index[w.Zone] = i
			out = append(out, zoneRow{Zone: w.Zone})
		}
		out[i].Workers++
		out[i].Jobs += w.Jobs
		if w.Draining {
			out[i].Draining++
		}
	}
	return out
}

// Form fields of the evacuation of a zone. The value of fieldEvacuate is true or false.
const (
	fieldZone     = "zone"
	fieldEvacuate = "evacuate"
)

// postEvacuate evacuates a zone or ends its evacuation.
func (s *Server) postEvacuate(c echo.Context) error {
	if !s.isAuthorized(c) {
		return s.renderWorkers(c, errorResponse(s.rejectUnauthorized(c.Request())), "")
	}
	req := DrainRequest{Draining: c.FormValue(fieldEvacuate) == "true", ChangeID: c.FormValue(fieldChangeID)}
	if _, errResp := s.setZoneDraining(c.Request().Context(), c.FormValue(fieldZone), req); errResp != nil {
		return s.renderWorkers(c, errResp, "")
	}
	return s.renderWorkers(c, nil, "config-accepted")
}
