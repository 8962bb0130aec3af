package endpoint

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"rosemarygap/core/status"
)

// countingConn counts the bytes that were written to the network. After seal it
// writes no more, so that the count is final.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, which ends a write in progress, and returns the
// final number of bytes written.
func (c *countingConn) seal() int64 {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func countingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
}

// connUse is the use of one connection by a dispatch. writtenBefore is the
// connection's byte count when the dispatch got it.
type connUse struct {
	conn          *countingConn
	writtenBefore int64
}

// connTracker tracks the connections that one dispatch uses.
type connTracker struct {
	mu     sync.Mutex
	uses   []connUse
	reused bool
}

// withTrace returns ctx with an httptrace hook that records connections in t.
func (t *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called before the first byte of the request is written.
func (t *connTracker) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := i.Conn.(*countingConn)
	// The bytes of a connection that is not counted are unknown, so that one
	// byte counts as written.
	if !ok {
		c = &countingConn{Conn: i.Conn, written: 1}
	}
	u := connUse{conn: c, writtenBefore: c.writtenBytes()}
	if !ok {
		u.writtenBefore = 0
	}
	t.uses = append(t.uses, u)
	t.reused = i.Reused
}

// sealConns seals the dispatch's connections and reports whether no byte of the
// request was written.
func (t *connTracker) sealConns() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := true
	for _, u := range t.uses {
		if u.conn.seal() != u.writtenBefore {
			unsent = false
		}
	}
	return unsent
}

// isReused reports whether the latest connection carried an earlier request.
func (t *connTracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// checkResponseID returns nil if a response with the given id header belongs to
// the request with the id want. Only the first response on a connection may omit
// the id, because it cannot belong to an earlier request.
func (t *connTracker) checkResponseID(id, want string) error {
	if id == want || id == "" && !t.isReused() {
		return nil
	}
	return status.ErrForeignAnswer
}
