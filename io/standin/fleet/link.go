package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is a TCP proxy on loopback that can delay and reset connections, and drop
// their data in one or both directions.
type Link struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	conns  map[net.Conn]bool
	faults LinkFaults
	// closed is true once Run ends; no connection is forwarded from then on.
	closed bool
	// generation is incremented by each call of BlackholeOpenConnections. All data
	// of connections of a generation before blackholedBefore is dropped.
	generation, blackholedBefore int
}

// LinkFaults are the faults that a Link injects.
type LinkFaults struct {
	// Refuse resets each new connection.
	Refuse bool
	// Delay is added before each block of data is forwarded.
	Delay time.Duration
	// DropResponses drops the data from the target to clients, and DropRequests
	// the data from clients to the target.
	DropResponses, DropRequests bool
}

// NewLink returns a link that listens on one address and forwards to target.
func NewLink(listen, target netip.AddrPort) (*Link, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	return &Link{listener: l, target: target, conns: map[net.Conn]bool{}}, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run accepts and forwards connections until ctx is done. When it returns, the listener
// and all connections are closed.
func (l *Link) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		l.listener.Close()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.ResetConnections()
	})
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { l.forward(c) })
	}
}

// SetFaults replaces the injected faults.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// ResetConnections resets all open connections.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// BlackholeOpenConnections drops all further data of the open connections without closing
// them. New connections work.
func (l *Link) BlackholeOpenConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	l.blackholedBefore = l.generation
}

func (l *Link) forward(client net.Conn) {
	l.mu.Lock()
	f, generation := l.faults, l.generation
	l.mu.Unlock()
	if f.Refuse {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", l.target.String(), time.Second)
	if err != nil {
		client.Close()
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		client.Close()
		server.Close()
		return
	}
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.pipe(server, client, generation, true, done)
	go l.pipe(client, server, generation, false, done)
	<-done
	client.Close()
	server.Close()
	<-done
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// pipe copies data in one direction of a connection and applies the injected
// faults. It sends on done when it returns.
func (l *Link) pipe(to io.Writer, from io.Reader, generation int, isRequest bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.mu.Lock()
		f, blackholed := l.faults, l.blackholedBefore > generation
		l.mu.Unlock()
		time.Sleep(f.Delay)
		if n > 0 && !blackholed && !(isRequest && f.DropRequests) && !(!isRequest && f.DropResponses) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
