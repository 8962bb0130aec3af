package operator

import (
	"net/http"

	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// listEndpoints returns the endpoints that this entry knows.
func (s *Server) listEndpoints(c echo.Context) error {
	rows, err := s.control.Endpoints(c.Request().Context())
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, rows)
}
