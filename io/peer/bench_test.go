package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
)

// feedControl is the Control of another entry that shares a feed of endpoints.
type feedControl struct {
	Control
	feed *peer.Feed[endpoint.Announcement]
}

func (c feedControl) Exchange(_ context.Context, x peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	return peer.ExchangeResponse{From: peer.Member{ID: "b"},
		Endpoints: c.feed.DeltaSince(x.Endpoints, time.Second, time.Now())}, nil
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchangeOverHTTP measures one exchange between two entries over
// loopback: the bytes sent, headers included, and the CPU time of both sides.
func BenchmarkExchangeOverHTTP(b *testing.B) {
	for _, n := range []int{0, 100, 800, 3200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			feed := peer.NewFeed(1, func(a, b endpoint.Announcement) bool { return a.EqualExceptRefresh(b) })
			for i := range n {
				a := endpoint.Announcement{ID: fmt.Sprintf("endpoint-%04d", i), Incarnation: 1, Slots: 8}
				feed.Put(a.ID, a, time.Now())
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			var bytes atomic.Int64
			s := &http.Server{Handler: NewHandler(feedControl{feed: feed}, nil)}
			serveErr := make(chan error, 1)
			go func() { serveErr <- s.Serve(countingListener{l, &bytes}) }()
			c := NewClient()
			to := l.Addr().(*net.TCPAddr).AddrPort()
			cursor := feed.DeltaSince(peer.Cursor{}, 0, time.Now()).Cursor
			x := peer.ExchangeRequest{From: peer.Member{ID: "a", Zone: "kelowna", Address: to,
				Operator: to, Incarnation: time.Now().UnixNano()}, Version: "1z141z4", Endpoints: cursor}
			cpuBefore := cpuTime()
			for b.Loop() {
				if _, err := c.Exchange(context.Background(), to, x); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/exchange")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/exchange")
			c.Close()
			_ = s.Close()
			<-serveErr
		})
	}
}
