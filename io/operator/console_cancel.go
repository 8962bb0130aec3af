package operator

import (
	"github.com/labstack/echo/v4"
)

// postCancel cancels a job.
func (s *Server) postCancel(c echo.Context) error {
	form := c.Request().PostForm
	if !s.mayChange(c) {
		return s.renderJobs(c, form, refused(s.unauthorized(c.Request())), "")
	}
	if err := s.control.Cancel(c.Request().Context(), c.Param("id")); err != nil {
		return s.renderJobs(c, form, refused(err), "")
	}
	return s.renderJobs(c, form, nil, "job-cancelled")
}
