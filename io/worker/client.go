// Package worker is the client that the owner of a cell uses to send lease
// messages to worker VMs. It keeps no state except its connections.
package worker

import (
	"context"
	"net/http"
	"time"

	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
)

// callTimeout is the timeout of one call to a worker.
const callTimeout = time.Second

// Client calls the HTTP interface of workers on behalf of a cell's owner.
type Client struct {
	http *httpjson.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: httpjson.NewClient(callTimeout, httpjson.WithMeter(httpjson.NewMeter("worker")))}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Send sends the lease of cmd to its worker and returns the worker's report.
func (c *Client) Send(ctx context.Context, cmd worker.Command) (*worker.Report, error) {
	var r worker.Report
	if err := c.http.Call(ctx, http.MethodPost, cmd.Address, "/lease", cmd.Lease, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
