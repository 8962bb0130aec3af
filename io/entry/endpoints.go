package entry

import (
	"context"
	"time"

	"rosemarygap/core/endpoint"
)

// endpointsAsked asks for all endpoints that are known.
type endpointsAsked struct{ reply chan<- []endpoint.Row }

func (m endpointsAsked) handle(c *control, now time.Time) { m.reply <- c.endpoints.Rows(now) }

// Endpoints lists the endpoints that this entry knows, with their state.
func (c *control) Endpoints(ctx context.Context) ([]endpoint.Row, error) {
	reply := make(chan []endpoint.Row, 1)
	return ask(ctx, c, reply, endpointsAsked{reply})
}
