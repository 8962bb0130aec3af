package operator

import (
	"github.com/labstack/echo/v4"
)

// postJob submits the form's job. The rendered form keeps the operator's input.
func (s *Server) postJob(c echo.Context) error {
	form := c.Request().PostForm
	if !s.isAuthorized(c) {
		return s.renderJobs(c, form, errorResponse(s.rejectUnauthorized(c.Request())), "")
	}
	j, err := jobFromForm(form)
	if err == nil {
		err = s.control.Submit(c.Request().Context(), j)
	}
	if err != nil {
		return s.renderJobs(c, form, errorResponse(err), "")
	}
	return s.renderJobs(c, form, nil, "job-submitted")
}
