package operator

import (
	"net/http"
	"strconv"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// listEvents answers the recent events of this entry that the query selects.
func (s *Server) listEvents(c echo.Context) error {
	f, err := filterOf(c)
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, s.recent.Select(f))
}

func filterOf(c echo.Context) (EventFilter, error) {
	f := EventFilter{Job: c.QueryParam("job"), Worker: c.QueryParam("worker"), Service: c.QueryParam("service")}
	var err error
	if v := c.QueryParam("after"); v != "" {
		if f.After, err = strconv.ParseInt(v, 10, 64); err != nil {
			return f, status.At(status.ErrOutOfRange, "after", v)
		}
	}
	if v := c.QueryParam("event"); v != "" {
		if f.Number, err = strconv.Atoi(v); err != nil {
			return f, status.At(status.ErrOutOfRange, "event", v)
		}
	}
	return f, nil
}
