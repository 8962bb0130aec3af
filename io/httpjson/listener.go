package httpjson

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a server's connections.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 256 << 10
)

// Listener is a bound server that has not begun to serve.
type Listener struct {
	net    net.Listener
	server *http.Server
}

// Listen binds address a for handler h.
func Listen(a netip.AddrPort, h http.Handler) (*Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return &Listener{net: l, server: s}, nil
}

// SetMeter counts the bytes of the connections that are accepted later.
func (l *Listener) SetMeter(m *Meter) { l.net = meteredListener{l.net, m} }

// Address returns the bound address.
func (l *Listener) Address() netip.AddrPort {
	return l.net.Addr().(*net.TCPAddr).AddrPort()
}

// OnState calls f when the state of a connection changes. It must be called
// before Serve.
func (l *Listener) OnConnState(f func(net.Conn, http.ConnState)) { l.server.ConnState = f }

// Serve serves until Stop.
func (l *Listener) Serve() error {
	err := l.server.Serve(l.net)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Stop ends the server after the requests in progress, or when ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	return errors.Wrap(l.server.Shutdown(ctx), "stop")
}
