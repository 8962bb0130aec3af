package operator

import (
	"rosemarygap/core/entry"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// workersBody is the template data of the workers page.
type workersBody struct {
	Workers []entry.Worker
	Zones   []zoneRow
	// ChangeID is the change id of the next drain or evacuation. It makes the form
	// idempotent: a form that is sent twice changes the configuration once.
	ChangeID string
}

func (s *Server) showWorkers(c echo.Context) error { return s.renderWorkers(c, nil, "") }

func (s *Server) renderWorkers(c echo.Context, r *ErrorResponse, done string) error {
	rows, err := s.workers(c.Request().Context())
	if err != nil && r == nil {
		r = errorResponse(err)
	}
	return s.render(c, page{Name: "workers", Refusal: r, Done: done,
		Body: workersBody{rows, zonesOf(rows), uuid.NewString()}})
}
