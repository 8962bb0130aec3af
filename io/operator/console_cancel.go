package operator

import (
	"rosemarygap/core/status"

	"github.com/labstack/echo/v4"
)

// fieldID names the jobs or the worker that a button acts on.
const fieldID = "id"

// postCancel cancels the chosen jobs.
func (s *Server) postCancel(c echo.Context) error {
	form := c.Request().PostForm
	if !s.mayChange(c) {
		return s.renderJobs(c, form, refused(s.unauthorized(c.Request())), "")
	}
	ids := form[fieldID]
	if len(ids) < 1 || len(ids) > MaxCancelIDs {
		return s.renderJobs(c, form, refused(status.At(status.ErrOutOfRange, "ids", "")), "")
	}
	for _, o := range s.cancelAll(c.Request().Context(), ids) {
		if o.ErrorBody != nil {
			err := status.At(o.Err(), fieldID, o.ID)
			return s.renderJobs(c, form, refused(err), "")
		}
	}
	return s.renderJobs(c, form, nil, "job-cancelled")
}
