package operator

import (
	"github.com/labstack/echo/v4"
)

// postDrain starts or ends the draining of a worker.
func (s *Server) postDrain(c echo.Context) error {
	if !s.isAuthorized(c) {
		return s.renderWorkers(c, errorResponse(s.rejectUnauthorized(c.Request())), "")
	}
	req := DrainRequest{Draining: c.FormValue("draining") == "true", ChangeID: c.FormValue(fieldChangeID)}
	if _, errResp := s.setDraining(c.Request().Context(), c.FormValue(fieldID), req); errResp != nil {
		return s.renderWorkers(c, errResp, "")
	}
	return s.renderWorkers(c, nil, "config-accepted")
}
