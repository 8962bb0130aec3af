package httpjson

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"rosemarygap/core/connection"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// freeBytes is what each request may hold of the room that its connection holds from
	// its start, for its header and for its body.
	freeBytes = 4 << 10
	// headerCopies is the number of copies of a header: as received, decoded and merged by
	// name.
	headerCopies = 3
	// bodyCopies is the number of copies of a body, as wire.ReadAll reads it: in pieces and
	// whole.
	bodyCopies = 2
	// maxReserveStep is the most that is reserved of a body in advance.
	maxReserveStep = 64 << 10
	// maxWriteBytes is the most that is written at once. A response that is read slowly makes
	// progress with each write.
	maxWriteBytes = 16 << 10
	// responseCopies is the number of copies of a response, in a buffer that has grown.
	responseCopies = 2
	// maxLingerBytes is the most that is read of the rest of a refused request.
	maxLingerBytes = 1 << 20
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection.
	receiveBufferBytes = 32 << 10
)

// conn is a connection of a client that a Limiter bounds.
type conn struct {
	net.Conn
	limiter  *Limiter
	listener int
	id       connection.ID
	// stage is the stage that the limiter knows, and evictedIn that in which the
	// connection was evicted. The limiter's lock guards them and the two numbers.
	stage, evictedIn connection.Stage
	// headerBytes is what was received of the header of this request.
	headerBytes int

	// mu orders deadlines: none may follow that of an eviction.
	mu          sync.Mutex
	interrupted bool
	closeOnce   sync.Once
	// answerHeld ends the wait of a held request; nil if there is none. mu guards it.
	answerHeld context.CancelFunc
}

// setStage records a stage. It reports false if the connection is being closed.
func (c *conn) setStage(s connection.Stage) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.setStageLocked(s)
}

func (c *conn) setStageLocked(s connection.Stage) bool {
	if !c.limiter.table.SetStage(c.id, s, time.Now()) {
		return false
	}
	c.stage = s
	if s == connection.Idle {
		c.limiter.wakeWaiters()
	}
	return true
}

// reserve adds n bytes to what the connection holds.
func (c *conn) reserve(n int64) error {
	return c.limiter.take(c.listener, roomWait, func(now time.Time) (connection.Verdict, []connection.Victim) {
		return c.limiter.table.Reserve(c.id, n, now)
	})
}

// release ends the reservation of n bytes.
func (c *conn) release(n int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.table.Release(c.id, n)
	c.limiter.wakeWaiters()
}

// interrupt ends what an evicted connection waits for. A request whose body is arriving gets
// a refusal from its handler, all others get no response.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.evictedIn {
	case connection.Held:
		// The server still needs deadlines for the response.
		c.answerHeld()
		return
	case connection.Body:
		c.endDeadlines()
	default:
		_ = c.Conn.Close()
	}
	c.interrupted = true
}

// abandon ends the reading of a request that was refused.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.endDeadlines()
}

// endDeadlines ends the reading at once, and the writing of a refusal after refusalTimeout.
// The caller holds c.mu.
func (c *conn) endDeadlines() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if limitErr := c.received(n); limitErr != nil {
			// The server responds to errors of other types itself.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: limitErr}
		}
	}
	return n, err
}

func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// received records that n bytes were received.
func (c *conn) received(n int) error {
	c.limiter.mu.Lock()
	switch c.stage {
	case connection.Idle:
		c.setStageLocked(connection.Header)
		c.headerBytes = n
	case connection.Header:
		c.headerBytes += n
		c.limiter.table.Progress(c.id, time.Now())
	case connection.Body:
		c.limiter.table.Progress(c.id, time.Now())
	}
	size := 0
	if c.stage == connection.Header {
		size = c.headerBytes
	}
	c.limiter.mu.Unlock()
	switch {
	case size <= freeBytes:
		return nil
	case size > serverMaxHeaderBytes:
		c.abandon()
		_, _ = c.Conn.Write(headerTooLarge)
		return status.ErrHeaderTooLarge
	}
	return c.reserve(int64(n) * headerCopies)
}

// headerTooLarge is the response to a header above serverMaxHeaderBytes. That of the
// http.Server has no code, and its connection stays for a while.
var headerTooLarge = func() []byte {
	body, err := json.Marshal(wire.ErrorBodyOf(status.ErrHeaderTooLarge))
	if err != nil {
		panic(errors.Wrap(err, "encode error body"))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge),
		echo.MIMEApplicationJSON, len(body), body)
}()

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if len(b) > freeBytes {
		c.reserveResponse(len(b))
	}
	c.limiter.mu.Lock()
	handled := c.stage == connection.Handled
	if handled {
		c.setStageLocked(connection.Response)
	}
	c.limiter.mu.Unlock()
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(b) {
			if handled {
				c.setStage(connection.Handled)
			}
			return written, err
		}
		c.limiter.mu.Lock()
		c.limiter.table.Progress(c.id, time.Now())
		c.limiter.mu.Unlock()
	}
}

// reserveResponse reserves room for a part of a response with n bytes, which has been
// written to a buffer already: other responses that nobody reads make room for it. If there is
// none, it is sent all the same, since its request has been handled.
func (c *conn) reserveResponse(n int) {
	c.limiter.mu.Lock()
	missing := int64(n)*responseCopies - c.limiter.table.Reserved(c.id)
	c.limiter.mu.Unlock()
	if missing > 0 {
		_ = c.reserve(missing)
	}
}

// CloseWrite closes the sending side, so that the client can read a response before the
// connection ends.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(c net.Conn) error {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		if c.leave() {
			c.linger()
		}
	})
	return c.Conn.Close()
}

// leave releases what the connection holds. It reports whether the rest of a refused request
// is to be read.
func (c *conn) leave() (linger bool) {
	l := c.limiter
	interrupted := c.isInterrupted()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c.id)
	l.table.Close(c.id)
	l.wakeWaiters()
	if !interrupted || l.lingering == maxLingering {
		return false
	}
	l.lingering++
	return true
}

// linger reads the rest of a refused request, after the end of the response.
func (c *conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.lingering--
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadline(t, c.Conn.SetDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(t, c.Conn.SetReadDeadline)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(t, c.Conn.SetWriteDeadline)
}

func (c *conn) setDeadline(t time.Time, set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return set(t)
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// withConn adds c to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// recordIdle records that a connection waits for its next request.
func recordIdle(c net.Conn, s http.ConnState) {
	if limited, ok := c.(*conn); ok && s == http.StateIdle {
		limited.setStage(connection.Idle)
	}
}

// Reserve reserves n bytes for a request until it ends. It fails with status.ErrOverloaded
// if there is no room for them, and with status.ErrBodyTooLarge if there never is. A handler
// calls it before the request has an effect. Without a Limiter it does nothing.
func Reserve(ctx context.Context, n int64) error {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || n <= freeBytes {
		return nil
	}
	return c.reserve(n)
}

// keptShare is the part, one in keptShare, of the memory for decoding that the decoded
// message keeps: lists no longer grow then, and most elements are smaller than the largest.
const keptShare = 4

// ReserveDecoding is Reserve for n bytes that decoding takes. The function done, which is
// called after it, ends the reservation of what the decoded message doesn't keep.
func ReserveDecoding(ctx context.Context, n int64) (done func(), err error) {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || n <= freeBytes {
		return func() {}, nil
	}
	if err := c.reserve(n); err != nil {
		return nil, err
	}
	return func() { c.release(n - n/keptShare) }, nil
}

// Hold returns a context for the wait of a handler that holds an answer until there is
// something to tell. It ends when the connection is needed for others. The handler then
// answers at once, and the connection is closed. It calls done when it no longer waits.
func Hold(c echo.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(c.Request().Context())
	limited, _ := ctx.Value(connKey{}).(*conn)
	if limited == nil {
		return ctx, cancel
	}
	limited.mu.Lock()
	limited.answerHeld = cancel
	limited.mu.Unlock()
	limited.setStage(connection.Held)
	return ctx, func() {
		cancel()
		if !limited.setStage(connection.Handled) {
			c.Response().Header().Set("Connection", "close")
		}
	}
}

// limitedHandler tracks the stages of requests. A request is handled only as long as its
// connection is not being closed.
type limitedHandler struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	stage := connection.Handled
	if r.Body != nil && r.Body != http.NoBody {
		stage = connection.Body
		// The server treats a rest of a body by the type of its own request's Body.
		limited := *r
		limited.Body = &body{ReadCloser: r.Body, conn: c}
		r = &limited
	}
	if !c.setStage(stage) {
		panic(http.ErrAbortHandler)
	}
	defer c.release(math.MaxInt64)
	h.Handler.ServeHTTP(w, r)
}

// body is the body of a request. It reserves room for what its reader keeps before it passes
// it on. Its errors are those of package status.
type body struct {
	io.ReadCloser
	conn *conn
	// read and reserved are in bytes of the body.
	read, reserved int
	err            error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += n
	switch {
	case errors.Is(err, io.EOF) && !b.conn.setStage(connection.Handled):
		err = errOverloaded
	case err != nil && !errors.Is(err, io.EOF) && b.conn.isInterrupted():
		err = errOverloaded
	}
	if limitErr := b.reserve(); limitErr != nil {
		err = limitErr
		b.conn.abandon()
	}
	b.err = err
	if errors.Is(err, status.ErrOverloaded) {
		return 0, err
	}
	return n, err
}

// reserve reserves room for what was read.
func (b *body) reserve() error {
	if b.read <= freeBytes+b.reserved {
		return nil
	}
	step := max(b.read-freeBytes-b.reserved, min(maxReserveStep, b.read))
	if err := b.conn.reserve(int64(step) * bodyCopies); err != nil {
		return err
	}
	b.reserved += step
	return nil
}
