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

// MaxCancelled bounds the jobs of one CancelMessage.
const MaxCancelIDs = 1000

// cancelsAtOnce bounds the cancellations that wait together for a write. The
// owner of a cell makes all that wait durable in one write.
const cancelsAtOnce = 128

// CancelMessage asks that jobs be cancelled.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// Cancelled is what became of one cancellation; without an error it is durable.
type CancelResult struct {
	ID string `json:"id"`
	*wire.ErrorBody
}

func (s *Server) postCancellations(c echo.Context) error {
	var m CancelRequest
	if err := httpjson.Decode(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	if n := len(m.IDs); n < 1 || n > MaxCancelIDs {
		return httpjson.WriteError(c, status.At(status.ErrOutOfRange, "ids", strconv.Itoa(n)))
	}
	return c.JSON(http.StatusOK, s.cancelAll(c.Request().Context(), m.IDs))
}

// cancelAll cancels jobs and returns what became of each, in the same order.
func (s *Server) cancelAll(ctx context.Context, ids []string) []CancelResult {
	out := make([]CancelResult, len(ids))
	room := make(chan struct{}, cancelsAtOnce)
	var wg sync.WaitGroup
	for i, id := range ids {
		room <- struct{}{}
		wg.Go(func() {
			out[i] = s.cancelOne(ctx, id)
			<-room
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
