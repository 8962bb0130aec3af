package operator

import (
	"rosemarygap/core/status"

	"github.com/labstack/echo/v4"
)

// fieldID is the form field with the ids of the jobs to cancel, or with the id of
// the worker to drain.
const fieldID = "id"

// postCancel cancels the selected jobs.
func (s *Server) postCancel(c echo.Context) error {
	form := c.Request().PostForm
	if !s.isAuthorized(c) {
		return s.renderJobs(c, form, errorResponse(s.rejectUnauthorized(c.Request())), "")
	}
	ids := form[fieldID]
	if len(ids) < 1 || len(ids) > MaxCancelIDs {
		return s.renderJobs(c, form, errorResponse(status.At(status.ErrOutOfRange, "ids", "")), "")
	}
	for _, result := range s.cancelAll(c.Request().Context(), ids) {
		if result.ErrorBody != nil {
			err := status.At(result.Err(), fieldID, result.ID)
			return s.renderJobs(c, form, errorResponse(err), "")
		}
	}
	return s.renderJobs(c, form, nil, "job-cancelled")
}
