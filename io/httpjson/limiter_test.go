package httpjson

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/connection"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// testTimeout only keeps a test that fails from hanging.
const testTimeout = 20 * time.Second

var testLimits = connection.Limits{Connections: 4, Bytes: 200 << 10, ConnectionBytes: 8 << 10,
	BodyTimeout: testTimeout, ResponseTimeout: testTimeout}

// testServer is a server with a Limiter. POST /body responds with the length of the body,
// GET /held once release is closed, and GET /large with largeBytes.
type testServer struct {
	t       testing.TB
	limiter *Limiter
	address netip.AddrPort
	held    chan struct{}
	release chan struct{}
}

const largeBytes = 32 << 20

func startTestServer(t testing.TB, limits connection.Limits) *testServer {
	t.Helper()
	s := &testServer{t: t, limiter: NewLimiter(limits, hclog.NewNullLogger(), Share{"test", 80}, Share{"other", 20}),
		held: make(chan struct{}, 1000), release: make(chan struct{})}
	e := NewServer()
	e.POST("/body", func(c echo.Context) error {
		b, err := wire.ReadBody(c.Request().Body, wire.MaxControlBody)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, len(b))
	})
	e.POST("/decode", func(c echo.Context) error {
		var v []struct{}
		if err := Decode(c, &v); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, len(v))
	})
	e.GET("/held", func(c echo.Context) error {
		s.held <- struct{}{}
		<-s.release
		return c.JSON(http.StatusOK, "held")
	})
	e.GET("/watch", func(c echo.Context) error {
		ctx, done := Hold(c)
		<-ctx.Done()
		done()
		return c.JSON(http.StatusOK, "watched")
	})
	e.GET("/large", func(c echo.Context) error {
		return c.Blob(http.StatusOK, "text/plain", make([]byte, largeBytes))
	})
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), e, WithLimiter(s.limiter, "test"))
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Address()
	done := make(chan error, 2)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- l.Serve() }()
	go func() { done <- s.limiter.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		stopCtx, cancelStop := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancelStop()
		_ = l.Stop(stopCtx)
		_ = l.server.Close()
		<-done
		<-done
	})
	return s
}

// testConn is a connection of a client.
type testConn struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (s *testServer) dial() *testConn {
	s.t.Helper()
	c, err := net.DialTimeout("tcp", s.address.String(), testTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{c, s.t, bufio.NewReader(c)}
}

// send writes text. The server may have closed the connection.
func (c *testConn) send(text string) *testConn {
	_, _ = io.WriteString(c.Conn, text)
	return c
}

// expect fails the test unless the response has the given HTTP status and, for an error, code.
func (c *testConn) expect(httpStatus int, code status.Code) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != httpStatus {
		c.t.Fatalf("status %d instead of %d: %s (%v)", resp.StatusCode, httpStatus, b, err)
	}
	if code == "" {
		return
	}
	var e wire.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Code != code {
		c.t.Fatalf("response %s instead of code %s", b, code)
	}
	if after, _ := strconv.Atoi(resp.Header.Get(echo.HeaderRetryAfter)); code == status.ErrOverloaded.Code() && after < 1 {
		c.t.Fatalf("Retry-After is %q", resp.Header.Get(echo.HeaderRetryAfter))
	}
}

// expectEnd fails the test unless the server closes the connection.
func (c *testConn) expectEnd() {
	c.t.Helper()
	_, err := c.r.ReadByte()
	if netErr, ok := err.(net.Error); err == nil || ok && netErr.Timeout() {
		c.t.Fatalf("the connection is open: %v", err)
	}
}

// awaitStage waits until n connections are in the stage.
func (s *testServer) awaitStage(stage connection.Stage, n int) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.limiter.mu.Lock()
		count := 0
		for _, c := range s.limiter.connections {
			if c.stage == stage {
				count++
			}
		}
		s.limiter.mu.Unlock()
		if count == n {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%d connections instead of %d are in stage %s", count, n, stage)
		}
	}
}

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
}

const (
	getHeld  = "GET /held HTTP/1.1\r\nHost: x\r\n\r\n"
	getLarge = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n"
)

// maxTestConnections is what the listener may use of testLimits.Connections; the other is
// guaranteed none of them.
const maxTestConnections = 4

// A new connection closes the idle one that was used the longest ago.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	var idle []*testConn
	for i := range maxTestConnections {
		c := s.dial().send(post("/body", 1))
		c.expect(http.StatusOK, "")
		s.awaitStage(connection.Idle, i+1)
		idle = append(idle, c)
	}
	s.dial().send(post("/body", 2)).expect(http.StatusOK, "")
	idle[0].expectEnd()
	idle[1].send(post("/body", 3)).expect(http.StatusOK, "")
}

// Requests whose headers never end must not keep ordinary callers out.
func TestUnfinishedHeadersMakeRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	var unfinished []*testConn
	for i := range maxTestConnections {
		unfinished = append(unfinished, s.dial().send("POST /body HTTP/1.1\r\nX: "))
		s.awaitStage(connection.Header, i+1)
	}
	s.dial().send(post("/body", 1)).expect(http.StatusOK, "")
	unfinished[0].expectEnd()
}

// Requests whose bodies never end must not keep ordinary callers out. They are refused.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	var unfinished []*testConn
	for i := range maxTestConnections {
		request := post("/body", 10_000)
		unfinished = append(unfinished, s.dial().send(request[:len(request)-1]))
		s.awaitStage(connection.Body, i+1)
	}
	s.dial().send(post("/body", 1)).expect(http.StatusOK, "")
	unfinished[0].expect(http.StatusServiceUnavailable, status.ErrOverloaded.Code())
	unfinished[0].expectEnd()
}

// Chunked bodies that never end must not hold more than there is room for.
func TestUnfinishedChunkedBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.Connections = 100
	s := startTestServer(t, limits)
	for range 20 {
		s.dial().send("POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 1000, strings.Repeat("x", 1000)), 30))
	}
	s.dial().send(post("/body", 50_000)).expect(http.StatusOK, "")
	_, bytes := s.limiter.use(0)
	is.True(bytes <= limits.Bytes)
}

// A request that is handled gets its answer however many connections come.
func TestHandledRequestIsAnswered(t *testing.T) {
	s := startTestServer(t, testLimits)
	var held []*testConn
	for range maxTestConnections {
		held = append(held, s.dial().send(getHeld))
		<-s.held
	}
	s.dial().expectEnd()
	close(s.release)
	for _, c := range held {
		c.expect(http.StatusOK, "")
	}
	s.dial().send(post("/body", 1)).expect(http.StatusOK, "")
}

// Answers that are held must not keep ordinary callers out. They are given early.
func TestHeldAnswersMakeRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	var held []*testConn
	for i := range maxTestConnections {
		held = append(held, s.dial().send("GET /watch HTTP/1.1\r\nHost: x\r\n\r\n"))
		s.awaitStage(connection.Held, i+1)
	}
	s.dial().send(post("/body", 1)).expect(http.StatusOK, "")
	held[0].expect(http.StatusOK, "")
	held[0].expectEnd()
}

// Responses that nobody reads must not keep ordinary callers out.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	for i := range maxTestConnections {
		s.dial().send(getLarge)
		s.awaitStage(connection.Response, i+1)
	}
	for end := time.Now().Add(testTimeout); ; {
		c := s.dial().send(post("/body", 1))
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil && resp.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("an ordinary caller is kept out")
		}
	}
}

// A slow reader of a response is served as long as it makes progress.
func TestSlowReaderIsServed(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, testLimits)
	c := s.dial().send(getLarge)
	resp, err := http.ReadResponse(c.r, nil)
	is.NoErr(err)
	n := int64(0)
	for range 20 {
		m, err := io.CopyN(io.Discard, resp.Body, 100<<10)
		is.NoErr(err)
		n += m
		time.Sleep(time.Millisecond)
	}
	m, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n+m, int64(largeBytes))
}

// A body without progress is refused, one with progress isn't.
func TestBodyWithoutProgressIsRefused(t *testing.T) {
	limits := testLimits
	limits.BodyTimeout = sweepInterval
	s := startTestServer(t, limits)
	request := post("/body", 10)
	s.dial().send(request[:len(request)-1]).expect(http.StatusServiceUnavailable, status.ErrOverloaded.Code())
	c := s.dial().send(request[:len(request)-10])
	for i := 10; i > 0; i-- {
		c.send("x")
		time.Sleep(limits.BodyTimeout / 4)
	}
	c.expect(http.StatusOK, "")
}

// Trailers without an end must not hold a connection.
func TestTrailersWithoutProgressAreRefused(t *testing.T) {
	limits := testLimits
	limits.BodyTimeout = sweepInterval
	s := startTestServer(t, limits)
	c := s.dial().send("POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: x")
	c.expect(http.StatusServiceUnavailable, status.ErrOverloaded.Code())
	c.expectEnd()
}

// A body of more than there ever is room for is refused as too large.
func TestBodyBeyondAllRoomIsTooLarge(t *testing.T) {
	s := startTestServer(t, testLimits)
	s.dial().send(post("/body", 500_000)).expect(http.StatusRequestEntityTooLarge, status.ErrBodyTooLarge.Code())
	s.dial().send(post("/body", 1)).expect(http.StatusOK, "")
}

// A short body of many elements must not take more than there is room for.
func TestDecodingIsBounded(t *testing.T) {
	s := startTestServer(t, testLimits)
	request := func(n int) string {
		b := "[" + strings.TrimSuffix(strings.Repeat("{},", n), ",") + "]"
		return fmt.Sprintf("POST /decode HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	s.dial().send(request(1000)).expect(http.StatusRequestEntityTooLarge, status.ErrBodyTooLarge.Code())
	s.dial().send(request(100)).expect(http.StatusOK, "")
}

// Pipelined requests are answered in order.
func TestPipelinedRequestsAreServed(t *testing.T) {
	s := startTestServer(t, testLimits)
	c := s.dial().send(post("/body", 1) + post("/body", 20_000) + post("/body", 2))
	for range 3 {
		c.expect(http.StatusOK, "")
	}
}

// A header beyond the limit gets a response with a code.
func TestLargeHeaderGetsCode(t *testing.T) {
	limits := testLimits
	limits.Bytes = 1 << 20
	s := startTestServer(t, limits)
	for _, size := range []int{maxRequestHeaderBytes, serverMaxHeaderBytes, 4 * serverMaxHeaderBytes} {
		c := s.dial().send("GET /held HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", size) + "\r\n\r\n")
		c.expect(http.StatusRequestHeaderFieldsTooLarge, status.ErrHeaderTooLarge.Code())
		c.Close()
		s.awaitEmpty()
	}
}

// All that ended connections held is released.
func TestEndedConnectionsReleaseRoom(t *testing.T) {
	s := startTestServer(t, testLimits)
	for i := range 20 {
		c := s.dial()
		if i%2 == 0 {
			c.send(post("/body", 30_000)).expect(http.StatusOK, "")
		}
		c.Close()
		s.awaitEmpty()
	}
}

// awaitEmpty waits until no connection holds anything.
func (s *testServer) awaitEmpty() {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n, bytes := s.limiter.use(0)
		if n == 0 && bytes == 0 {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%d connections and %d bytes are held", n, bytes)
		}
	}
}

// benchmarkSmallRequests measures small requests on one connection.
func benchmarkSmallRequests(b *testing.B, opts ...ListenOption) {
	e := NewServer()
	e.POST("/body", func(c echo.Context) error {
		var v struct{}
		if err := Decode(c, &v); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, v)
	})
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), e, opts...)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Serve() }()
	client := NewClient(testTimeout)
	defer func() {
		client.Close()
		_ = l.Stop(context.Background())
		<-done
	}()
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Call(context.Background(), http.MethodPost, l.Address(), "/body", struct{}{}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSmallRequest(b *testing.B) {
	b.Run("unlimited", func(b *testing.B) { benchmarkSmallRequests(b) })
	b.Run("limited", func(b *testing.B) {
		limits := connection.Limits{Connections: 1000, Bytes: 64 << 20, ConnectionBytes: 64 << 10, BodyTimeout: testTimeout, ResponseTimeout: testTimeout}
		benchmarkSmallRequests(b, WithLimiter(NewLimiter(limits, hclog.NewNullLogger(), Share{"test", 100}), "test"))
	})
}

// BenchmarkConnection reports what a connection takes by itself, of the heap and of stacks,
// on both sides.
func BenchmarkConnection(b *testing.B) {
	const connections = 1000
	for name, request := range map[string]string{
		"new": "", "header": "GET /", "body": post("/body", 3000)[:3000], "idle": post("/body", 3000), "handled": getHeld,
	} {
		b.Run(name, func(b *testing.B) {
			limits := connection.Limits{Connections: 2 * connections, Bytes: 1 << 30, ConnectionBytes: 64 << 10, BodyTimeout: testTimeout, ResponseTimeout: testTimeout}
			for b.Loop() {
				s := startTestServer(b, limits)
				before := memoryInUse()
				for range connections {
					s.dial().send(request)
				}
				time.Sleep(500 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
				close(s.release)
			}
		})
	}
}

// memoryInUse returns the memory of the heap and of stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
