// Package peer implements the HTTP interface between entries: the client, the
// handlers, and the protocol that detects repeated request ids.
//
// Invariant: a message between entries may be lost, duplicated or delayed;
// every message is idempotent for its receiver. The package keeps no state other
// than that of ClaimManager.
package peer

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/peer"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
)

// Timeouts of calls to another entry.
const (
	exchangeTimeout = time.Second
	// jobTimeout allows for a slow write to the store by the cell's owner.
	jobTimeout = 10 * time.Second
)

// Client sends requests to other entries.
type Client struct {
	exchanges *httpjson.Client
	jobs      *httpjson.Client
}

// NewClient returns a client whose traffic is counted as "peer".
func NewClient() *Client {
	meter := httpjson.WithMeter(httpjson.NewMeter("peer"))
	return &Client{
		exchanges: httpjson.NewClient(exchangeTimeout, meter),
		jobs:      httpjson.NewClient(jobTimeout, meter),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.exchanges.Close()
	c.jobs.Close()
}

// Exchange requests the state that another entry knows and this one does not.
func (c *Client) Exchange(ctx context.Context, to netip.AddrPort, x peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	var out peer.ExchangeResponse
	err := c.exchanges.Call(ctx, http.MethodPost, to, "/peer/exchange", x, &out)
	return out, err
}

// Status returns the status of another entry.
func (c *Client) Status(ctx context.Context, to netip.AddrPort) (entry.Status, error) {
	var out entry.Status
	err := c.exchanges.Call(ctx, http.MethodGet, to, "/peer/status", nil, &out)
	return out, err
}

// Submit sends a job to the owner of its cell.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, j worker.Job) error {
	return c.jobs.Call(ctx, http.MethodPost, to, "/peer/jobs", j, nil)
}

// Cancel asks the owner of a job's cell to cancel it.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, id string) error {
	return c.jobs.Call(ctx, http.MethodDelete, to, "/peer/jobs/"+url.PathEscape(id), nil, nil)
}

// Jobs returns the jobs of one cell from its owner.
func (c *Client) Jobs(ctx context.Context, to netip.AddrPort, cell int) ([]worker.JobRow, error) {
	var out []worker.JobRow
	err := c.jobs.Call(ctx, http.MethodGet, to, "/peer/jobs?cell="+strconv.Itoa(cell), nil, &out)
	return out, err
}
