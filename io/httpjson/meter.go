package httpjson

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Meter counts the bytes read and written on the connections of one interface,
// in the metric rosemarygap_interface_bytes_total.
type Meter struct {
	in, out *metrics.Counter
}

// NewMeter returns a meter for the interface with the given name. Meters with
// the same name share their counters.
func NewMeter(name string) *Meter {
	counter := func(direction string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(
			`rosemarygap_interface_bytes_total{interface=%q,direction=%q}`, name, direction))
	}
	return &Meter{in: counter("in"), out: counter("out")}
}

// meteredConn is a net.Conn that counts the bytes read and written.
type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(n)
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(n)
	return n, err
}

// CloseWrite closes the sending side.
func (c meteredConn) CloseWrite() error { return closeWrite(c.Conn) }

// meteredListener is a net.Listener that counts the bytes of every connection
// that it accepts.
type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.meter}, nil
}

// dial opens a connection whose bytes m counts.
func (m *Meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{c, m}, nil
}
