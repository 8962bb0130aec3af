package entry

import (
	"context"
	"time"

	"rosemarygap/core/endpoint"
)

// endpointsRequest requests the rows of all known endpoints.
type endpointsRequest struct{ reply chan<- []endpoint.Row }

func (m endpointsRequest) handle(c *control, now time.Time) { m.reply <- c.endpoints.Rows(now) }

// Endpoints returns the endpoints that this entry knows, with their state.
func (c *control) Endpoints(ctx context.Context) ([]endpoint.Row, error) {
	reply := make(chan []endpoint.Row, 1)
	return call(ctx, c, reply, endpointsRequest{reply})
}
