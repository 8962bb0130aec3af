package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is a proxy on loopback whose connections can be delayed, silenced, cut
// one way or reset.
type Link struct {
	listener net.Listener
	to       netip.AddrPort

	mu     sync.Mutex
	conns  map[net.Conn]bool
	faults LinkFaults
	// generation rises with each silencing: only older connections go silent.
	generation, silent int
}

// LinkFaults are the switches of a link.
type LinkFaults struct {
	// Refuse resets new connections.
	Refuse bool
	// Delay holds each piece of data back.
	Delay time.Duration
	// CutAnswers drops what comes back; CutCalls what goes out.
	DropResponses, DropRequests bool
}

// Listen returns a link from a to the address to.
func NewLink(a, to netip.AddrPort) (*Link, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, err
	}
	return &Link{listener: l, to: to, conns: map[net.Conn]bool{}}, nil
}

// Run carries connections until ctx ends.
func (l *Link) Run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		l.listener.Close()
		l.ResetConnections()
	}()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

// SetFaults replaces the switches.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Reset ends all connections.
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

// Silence makes open connections silent for good, while new ones work.
func (l *Link) BlackholeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	l.silent = l.generation
}

func (l *Link) carry(in net.Conn) {
	l.mu.Lock()
	f, generation := l.faults, l.generation
	l.mu.Unlock()
	if f.Refuse {
		if t, ok := in.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", l.to.String(), time.Second)
	if err != nil {
		in.Close()
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.copy(out, in, generation, true, done)
	go l.copy(in, out, generation, false, done)
	<-done
	in.Close()
	out.Close()
	<-done
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

// copy passes data on, as far as the switches let it.
func (l *Link) copy(to io.Writer, from io.Reader, generation int, calls bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.mu.Lock()
		f, silent := l.faults, l.silent > generation
		l.mu.Unlock()
		time.Sleep(f.Delay)
		if n > 0 && !silent && !(calls && f.DropRequests) && !(!calls && f.DropResponses) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
