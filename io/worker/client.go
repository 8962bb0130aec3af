// Package worker sends lease messages to worker VMs. It owns no state but its
// connections.
package worker

import (
	"context"
	"net/http"
	"time"

	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
)

// callTimeout bounds one exchange with a worker.
const callTimeout = time.Second

// Client is the owner's side of the workers' interface.
type Client struct {
	http *httpjson.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: httpjson.NewClient(callTimeout, httpjson.WithMeter(httpjson.NewMeter("worker")))}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.Close() }

// Send sends one command and returns the worker's report.
func (c *Client) Send(ctx context.Context, cmd worker.Command) (*worker.Report, error) {
	var r worker.Report
	if err := c.http.Call(ctx, http.MethodPost, cmd.Address, "/lease", cmd.Lease, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
