package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/pkg/errors"
)

// Timeouts of calls to the store.
const (
	callTimeout  = 2 * time.Second
	watchTimeout = 15 * time.Second
)

// Messages of the HTTP mapping of Store, which docs/INTERFACES.md describes.
type (
	// KeyMessage is a request for a key or a prefix.
	KeyMessage struct {
		Key    string `json:"key"`
		Expect int64  `json:"expect,omitempty"`
	}
	// LeaseMessage identifies a lease, or requests a lease with the given TTL.
	LeaseMessage struct {
		Lease string        `json:"lease,omitempty"`
		TTL   wire.Duration `json:"ttl,omitempty"`
	}
	// WatchMessage is a request for the changes after a revision.
	WatchMessage struct {
		Prefix string `json:"prefix"`
		After  int64  `json:"after"`
	}
	// RevisionMessage is the response to a write.
	RevisionMessage struct {
		Revision int64 `json:"revision"`
	}
)

// Client implements Store over HTTP.
type Client struct {
	address netip.AddrPort
	calls   *httpjson.Client
	watches *httpjson.Client
}

// NewClient returns a client of the key-value service at address a.
func NewClient(a netip.AddrPort) *Client {
	m := httpjson.WithMeter(httpjson.NewMeter("platform"))
	return &Client{
		address: a,
		calls:   httpjson.NewClient(callTimeout, m),
		watches: httpjson.NewClient(watchTimeout, m),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.calls.Close()
	c.watches.Close()
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	return mapStoreError(c.calls.Call(ctx, http.MethodPost, c.address, path, in, out))
}

// mapStoreError returns err if it is a refusal by the store, and
// status.ErrStoreUnavailable for every other error.
func mapStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, status.ErrNotFound), errors.Is(err, status.ErrStoreConflict),
		errors.Is(err, status.ErrLeaseExpired), errors.Is(err, status.ErrBodyTooLarge):
		return err
	default:
		return errors.WithMessage(status.ErrStoreUnavailable, err.Error())
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	var e KeyValue
	err := c.call(ctx, "/kv/get", KeyMessage{Key: key}, &e)
	return e, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Changes, error) {
	var changes Changes
	err := c.call(ctx, "/kv/list", KeyMessage{Key: prefix}, &changes)
	return changes, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, w Write) (int64, error) {
	var m RevisionMessage
	err := c.call(ctx, "/kv/put", w, &m)
	return m.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	return c.call(ctx, "/kv/delete", KeyMessage{Key: key, Expect: expect}, nil)
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var m LeaseMessage
	err := c.call(ctx, "/leases/grant", LeaseMessage{TTL: wire.Duration(ttl)}, &m)
	return m.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease string) error {
	return c.call(ctx, "/leases/keep-alive", LeaseMessage{Lease: lease}, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.call(ctx, "/leases/revoke", LeaseMessage{Lease: lease}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (Changes, error) {
	var changes Changes
	m := WatchMessage{Prefix: prefix, After: after}
	err := c.watches.Call(ctx, http.MethodPost, c.address, "/kv/watch", m, &changes)
	return changes, mapStoreError(err)
}
