package operator

import (
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"

	"github.com/labstack/echo/v4"
)

// overviewBody is the template data of the overview page.
type overviewBody struct {
	Entries   []entry.Status
	Endpoints []endpoint.Row
	Latency   []plot
	Batch     []plot
}

func (s *Server) showOverview(c echo.Context) error {
	ctx, now := c.Request().Context(), time.Now()
	body := overviewBody{Entries: s.entryStatuses(ctx)}
	if a := s.control.Snapshot().Config; a != nil {
		body.Latency = latencyPlots(body.Entries, &a.Document)
	}
	rows, err := s.control.Endpoints(ctx)
	body.Endpoints = rows
	jobs, jobsErr := s.control.Jobs(ctx)
	if jobsErr != nil {
		err = jobsErr
	} else {
		body.Batch = batchPlots(jobs, now)
	}
	return s.render(c, page{Name: "overview", Refusal: errorResponse(err), Body: body})
}
