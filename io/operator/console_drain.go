package operator

import (
	"github.com/labstack/echo/v4"
)

// postDrain drains a worker, or admits batch work there again.
func (s *Server) postDrain(c echo.Context) error {
	if !s.mayChange(c) {
		return s.renderWorkers(c, refused(s.unauthorized(c.Request())), "")
	}
	m := DrainRequest{Draining: c.FormValue("draining") == "true", ChangeID: c.FormValue(fieldChangeID)}
	if _, refusal := s.drain(c.Request().Context(), c.FormValue(fieldID), m); refusal != nil {
		return s.renderWorkers(c, refusal, "")
	}
	return s.renderWorkers(c, nil, "config-accepted")
}
