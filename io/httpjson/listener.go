package httpjson

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections of a server.
const (
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 60 * time.Second
	serverMaxHeaderBytes = 64 << 10
)

// ListenOption configures a Listener.
type ListenOption func(*Listener)

// WithLimiter makes m bound what the connections hold. The name is that of one of its shares.
func WithLimiter(m *Limiter, name string) ListenOption {
	return func(l *Listener) { l.limiter, l.limiterNumber = m, m.listeners[name] }
}

// Listener is an HTTP server with a bound address. It accepts connections once
// Serve is called.
type Listener struct {
	listener net.Listener
	server   *http.Server
	// limiter is nil if connections are not bounded. limiterNumber is the number of this
	// listener there.
	limiter       *Limiter
	limiterNumber int
}

// Listen binds address a and returns a Listener that serves requests with h.
func Listen(a netip.AddrPort, h http.Handler, opts ...ListenOption) (*Listener, error) {
	out := &Listener{}
	for _, o := range opts {
		o(out)
	}
	var cfg net.ListenConfig
	if out.limiter != nil {
		cfg.Control = limitReceiveBuffer
	}
	l, err := cfg.Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
	}
	out.listener, out.server = l, s
	if out.limiter != nil {
		if err := limitBacklog(l, out.limiter.backlog); err != nil {
			return nil, err
		}
		out.listener = limitedListener{l, out.limiter, out.limiterNumber}
		s.Handler = limitedHandler{h}
		s.ConnContext = withConn
		s.ConnState = recordIdle
	}
	return out, nil
}

// limitReceiveBuffer sets the size of the receive buffers of accepted connections, those
// that wait to be accepted included. Without it they only have other sizes.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

// limitBacklog sets the number of connections that may wait to be accepted.
func limitBacklog(l net.Listener, n int) error {
	c, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.Wrap(err, "limit backlog")
	}
	// A platform that doesn't allow the change keeps its own limit.
	return errors.Wrap(c.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }), "limit backlog")
}

// SetMeter makes m count the bytes of the connections. It must be called before
// Serve.
func (l *Listener) SetMeter(m *Meter) {
	if limited, ok := l.listener.(limitedListener); ok {
		limited.Listener = meteredListener{limited.Listener, m}
		l.listener = limited
		return
	}
	l.listener = meteredListener{l.listener, m}
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// OnConnState makes the server call f when the state of a connection changes. It
// must be called before Serve.
func (l *Listener) OnConnState(f func(net.Conn, http.ConnState)) { l.server.ConnState = f }

// Serve accepts connections and serves requests until Stop is called.
func (l *Listener) Serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Stop shuts the server down gracefully: it waits for the requests in progress,
// at most until ctx is done.
func (l *Listener) Stop(ctx context.Context) error {
	return errors.Wrap(l.server.Shutdown(ctx), "stop")
}
