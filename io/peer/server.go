package peer

import (
	"context"
	"net/http"
	"strconv"

	"rosemarygap/core/entry"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// Control is the part of the control goroutine that the handlers use.
type Control interface {
	// Exchange handles another entry's exchange request.
	Exchange(ctx context.Context, x peer.ExchangeRequest) (peer.ExchangeResponse, error)
	// Status returns the status of this entry.
	Status() entry.Status
	// SubmitHere proposes a job to a cell that this entry owns and returns
	// when it is durable.
	SubmitHere(ctx context.Context, j worker.Job) error
	// CancelHere proposes the cancellation of a job in a cell that this entry
	// owns and returns when it is durable.
	CancelHere(ctx context.Context, id string) error
	// JobsHere lists the jobs of a cell that this entry owns.
	JobsHere(ctx context.Context, cell int) ([]worker.JobRow, error)
}

type server struct {
	control Control
	claims  *ClaimManager
}

// NewHandler returns the handler of the interface between entries.
func NewHandler(control Control, claims *ClaimManager) http.Handler {
	s := &server{control: control, claims: claims}
	e := httpjson.NewServer()
	e.POST("/peer/exchange", s.exchange)
	e.GET("/peer/status", s.status)
	e.POST("/peer/jobs", s.submit)
	e.GET("/peer/jobs", s.jobs)
	e.DELETE("/peer/jobs/:id", s.cancel)
	s.addClaimRoutes(e)
	return e
}

func (s *server) exchange(c echo.Context) error {
	var x peer.ExchangeRequest
	if err := httpjson.Decode(c, &x); err != nil {
		return httpjson.WriteError(c, err)
	}
	out, err := s.control.Exchange(c.Request().Context(), x)
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, out)
}

func (s *server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.control.Status())
}

func (s *server) submit(c echo.Context) error {
	var j worker.Job
	if err := httpjson.Decode(c, &j); err != nil {
		return httpjson.WriteError(c, err)
	}
	if err := j.Check(); err != nil {
		return httpjson.WriteError(c, err)
	}
	if err := s.control.SubmitHere(c.Request().Context(), j); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *server) cancel(c echo.Context) error {
	if err := s.control.CancelHere(c.Request().Context(), c.Param("id")); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *server) jobs(c echo.Context) error {
	cell, err := strconv.Atoi(c.QueryParam("cell"))
	if err != nil {
		return httpjson.WriteError(c, status.At(status.ErrOutOfRange, "cell", c.QueryParam("cell")))
	}
	rows, err := s.control.JobsHere(c.Request().Context(), cell)
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, rows)
}
