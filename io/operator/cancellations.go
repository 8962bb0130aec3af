package operator

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// MaxCancelIDs is the maximum number of jobs in one CancelRequest.
const MaxCancelIDs = 1000

// maxConcurrentCancels is the maximum number of concurrent cancellations of one
// request. The owner of a cell makes all waiting cancellations durable in one
// write, so concurrent cancellations need fewer writes than consecutive ones.
const maxConcurrentCancels = 128

// CancelRequest is a request to cancel jobs.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// CancelResult is the result of one cancellation. Without an error the
// cancellation is durable.
type CancelResult struct {
	ID string `json:"id"`
	*wire.ErrorBody
}

func (s *Server) postCancellations(c echo.Context) error {
	var req CancelRequest
	if err := httpjson.Decode(c, &req); err != nil {
		return httpjson.WriteError(c, err)
	}
	if n := len(req.IDs); n < 1 || n > MaxCancelIDs {
		return httpjson.WriteError(c, status.At(status.ErrOutOfRange, "ids", strconv.Itoa(n)))
	}
	return c.JSON(http.StatusOK, s.cancelAll(c.Request().Context(), req.IDs))
}

// cancelAll cancels jobs and returns the result of each, in the order of ids.
func (s *Server) cancelAll(ctx context.Context, ids []string) []CancelResult {
	out := make([]CancelResult, len(ids))
	sem := make(chan struct{}, maxConcurrentCancels)
	var wg sync.WaitGroup
	for i, id := range ids {
		sem <- struct{}{}
		wg.Go(func() {
			out[i] = s.cancelOne(ctx, id)
			<-sem
		})
	}
	wg.Wait()
	return out
}

func (s *Server) cancelOne(ctx context.Context, id string) CancelResult {
	out := CancelResult{ID: id}
	if err := s.control.Cancel(ctx, id); err != nil {
		body := wire.ErrorBodyOf(err)
		out.ErrorBody = &body
	}
	return out
}
