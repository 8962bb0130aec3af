package endpoint

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"rosemarygap/core/status"
)

// countedConn counts the bytes that were handed to the network. Once sealed
// it writes no more, so that its count is final.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, which ends a write in progress, and returns
// the final count.
func (c *countedConn) seal() int64 {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Dial opens a connection to an endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func counted(d DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// use is one connection that the transport gave to a dispatch.
type use struct {
	conn   *countedConn
	before int64
}

// exchange watches which connections one dispatch uses.
type exchange struct {
	mu     sync.Mutex
	uses   []use
	reused bool
}

// traced returns ctx with the hooks that fill x in.
func (x *exchange) traced(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
}

// gotConn runs before the first byte of the request is written.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := i.Conn.(*countedConn)
	if !ok {
		c = &countedConn{Conn: i.Conn, written: 1}
	}
	u := use{conn: c, before: c.count()}
	if !ok {
		u.before = 0
	}
	x.uses = append(x.uses, u)
	x.reused = i.Reused
}

// nothingSent ends the dispatch's connections for good and reports whether
// no byte of it was ever written.
func (x *exchange) nothingSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	nothing := true
	for _, u := range x.uses {
		if u.conn.seal() != u.before {
			nothing = false
		}
	}
	return nothing
}

// onReused reports whether the connection had carried an earlier request.
func (x *exchange) onReused() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reused
}

// checkID returns nil if an answer with the header id belongs to request
// want. Only the first answer on a connection may leave the id out: no other
// request's answer can precede it.
func (x *exchange) checkID(id, want string) error {
	if id == want || id == "" && !x.onReused() {
		return nil
	}
	return status.ErrForeignAnswer
}
