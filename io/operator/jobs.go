package operator

import (
	"net/http"

	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

func (s *Server) listJobs(c echo.Context) error {
	rows, err := s.control.Jobs(c.Request().Context())
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, rows)
}

func (s *Server) submitJob(c echo.Context) error {
	var j worker.Job
	if err := httpjson.Decode(c, &j); err != nil {
		return httpjson.WriteError(c, err)
	}
	if err := s.control.Submit(c.Request().Context(), j); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, j)
}

func (s *Server) cancelJob(c echo.Context) error {
	if err := s.control.Cancel(c.Request().Context(), c.Param("id")); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}
