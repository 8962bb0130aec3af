package operator

import (
	"context"
	"net/http"

	"rosemarygap/core/entry"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

func (s *Server) listWorkers(c echo.Context) error {
	rows, err := s.workers(c.Request().Context())
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, rows)
}

// workers returns all workers with the number of jobs running on each.
func (s *Server) workers(ctx context.Context) ([]entry.Worker, error) {
	rows, err := s.control.Workers(ctx)
	if err != nil {
		return nil, err
	}
	jobs, err := s.control.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	running := make(map[string]int)
	for i := range jobs {
		if jobs[i].State == worker.Running {
			running[jobs[i].Worker]++
		}
	}
	for i := range rows {
		rows[i].Jobs = running[rows[i].ID]
	}
	return rows, nil
}
