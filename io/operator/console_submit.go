package operator

import (
	"github.com/labstack/echo/v4"
)

// postJob submits the form's job and keeps what was typed if it is refused.
func (s *Server) postJob(c echo.Context) error {
	form := c.Request().PostForm
	if !s.mayChange(c) {
		return s.renderJobs(c, form, refused(s.unauthorized(c.Request())), "")
	}
	j, err := jobOf(form)
	if err == nil {
		err = s.control.Submit(c.Request().Context(), j)
	}
	if err != nil {
		return s.renderJobs(c, form, refused(err), "")
	}
	return s.renderJobs(c, form, nil, "job-submitted")
}
