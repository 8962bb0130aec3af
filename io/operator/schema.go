package operator

import (
	"net/http"

	core "rosemarygap/core/operator"

	"github.com/labstack/echo/v4"
)

// schemaType is the media type of a JSON Schema.
const schemaType = "application/schema+json"

func (s *Server) getSchema(c echo.Context) error {
	return c.Blob(http.StatusOK, schemaType, core.Schema())
}
