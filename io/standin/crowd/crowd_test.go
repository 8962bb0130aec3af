// Package crowd tests the processes of rosemarygap against many clients that do not
// behave: they hold connections, send requests without an end or do not read the responses.
//
// Invariant: the tests check only what does not depend on the speed of the machine. They
// must run one at a time, apart from other load.
package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Flags of runs by hand.
var (
	programPath = flag.String("crowd-program", "", "path of the program to test, instead of building it")
	scale       = flag.Int("crowd-scale", 1, "factor of the number of clients")
	memoryMiB   = flag.Int("crowd-memory", 0, "memory limit in MiB instead of that of the tests")
	descriptors = flag.Int("crowd-descriptors", 0, "descriptor limit instead of that of the tests")
	returning   = flag.Bool("crowd-returning", false, "let clients whose connection was closed connect again until the crowd leaves")
)

// Time limits. They only keep a hung process from blocking the test.
const (
	sendTimeout   = 4 * time.Second
	callTimeout   = 5 * time.Second
	clientTimeout = 45 * time.Second
	settleTimeout = 10 * time.Second
	settleTime    = 200 * time.Millisecond
	startTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// attempts is how often a client connects whose connection was closed.
const attempts = 2

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if program = *programPath; program == "" {
		path, remove, err := buildProgram()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer remove()
		program = path
	}
	return m.Run()
}

// listener is a listener of the process under test.
type listener struct {
	address netip.AddrPort
	host    string
	// method and path select the request with the largest body; n is unique in a test. The
	// method is GET and the body empty if the listener takes no bodies.
	method string
	path   func(n int) string
	body   []byte
	// query is the path of a request without a body.
	query string
	// ordinary sends an ordinary request and returns its error.
	ordinary func(n int) error
	// stored reports whether a submission is known; nil if there are none.
	stored func(n int) (bool, error)

	mu sync.Mutex
	// encodings are the chunked encodings of body by the size of their chunks.
	encodings map[int][]byte
}

// encoded returns the body in chunks of the given size, without the last chunk.
func (l *listener) encoded(size int) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.encodings[size] == nil {
		l.encodings = map[int][]byte{size: chunked(l.body, size)}
	}
	return l.encodings[size]
}

// head returns the head of the request with number n and the given header lines, without
// the empty line at its end.
func (l *listener) head(n int, lines string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s", l.method, l.path(n), l.host, lines)
}

// response is a response that a client of the crowd received.
type response struct {
	number, code int
	header       http.Header
	body         []byte
	// submission is true if it answers a submission.
	submission bool
}

// crowd is a number of clients that do the same.
type crowd struct {
	t *testing.T
	l *listener
	// ready is done when each client has sent all but the end of its request, sent when each
	// has sent what it sends.
	ready, sent, left sync.WaitGroup
	leave             chan struct{}
	allReady          chan struct{}

	mu        sync.Mutex
	responses []response
	failed    int
}

// client is one client of a crowd.
type client struct {
	*crowd
	number int
	conn   net.Conn
	once   sync.Once
	// closed is closed when the process has closed the connection that the client reads.
	closed chan struct{}
	// answered is closed when a response has arrived or the connection is closed.
	answered     chan struct{}
	answeredOnce sync.Once
	// submits is true if the client sends the request with its number.
	submits atomic.Bool
}

// errGone means that the process closed the connection or read nothing for sendTimeout.
var errGone = errors.New("connection gone")

// startCrowd starts n clients that connect to l and act. It waits until the process has read
// all but the ends of their requests before it lets them finish. Each client keeps its
// connection until disperse.
func startCrowd(t *testing.T, l *listener, n int, act func(*client) error) *crowd {
	c := &crowd{t: t, l: l, leave: make(chan struct{}), allReady: make(chan struct{})}
	c.ready.Add(n)
	c.sent.Add(n)
	for i := range n {
		c.left.Go(func() { (&client{crowd: c, number: i, answered: make(chan struct{})}).run(act) })
	}
	c.ready.Wait()
	c.settle()
	close(c.allReady)
	c.sent.Wait()
	return c
}

func (c *client) run(act func(*client) error) {
	var err error
	for range attempts {
		if err = c.attempt(act); err == nil {
			break
		}
	}
	c.isReady()
	c.sent.Done()
	if err != nil {
		c.mu.Lock()
		c.failed++
		c.mu.Unlock()
	}
	for *returning && c.awaitClose() {
		_ = c.attempt(act)
	}
	<-c.leave
	if c.conn != nil {
		c.conn.Close()
	}
}

// awaitClose waits until the process has closed the connection, or until the crowd leaves,
// and reports whether the client should connect again.
func (c *client) awaitClose() bool {
	select {
	case <-c.closed:
		time.Sleep(pollInterval)
		return true
	case <-c.leave:
		return false
	}
}

func (c *client) attempt(act func(*client) error) error {
	if c.conn != nil {
		c.conn.Close()
	}
	conn, err := net.DialTimeout("tcp", c.l.address.String(), sendTimeout)
	if err != nil {
		return errors.WithMessage(errGone, err.Error())
	}
	c.conn = conn
	return act(c)
}

// head returns the head of the request with the number of the client.
func (c *client) head(lines string) []byte {
	c.submits.Store(true)
	return c.l.head(c.number, lines)
}

// largest returns the largest legal request with the number of the client.
func (c *client) largest() []byte {
	c.submits.Store(true)
	return c.l.largest(c.number)
}

// isReady tells the crowd that the client has sent all but the end of its request.
func (c *client) isReady() { c.once.Do(c.ready.Done) }

// awaitAll waits until all clients are ready.
func (c *client) awaitAll() {
	c.isReady()
	<-c.allReady
}

// send writes b.
func (c *client) send(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := c.conn.Write(b); err != nil {
		return errors.WithMessage(errGone, err.Error())
	}
	return nil
}

// completes reports whether the client completes a request that most clients do not.
func (c *client) completes() bool { return c.number%8 == 0 }

// read records the responses on the connection until it is closed.
func (c *client) read() {
	conn, closed := c.conn, make(chan struct{})
	c.closed = closed
	c.left.Go(func() {
		defer close(closed)
		defer c.isAnswered()
		r := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.responses = append(c.responses, response{c.number, resp.StatusCode, resp.Header, body, c.submits.Load()})
			c.mu.Unlock()
			c.isAnswered()
		}
	})
}

func (c *client) isAnswered() { c.answeredOnce.Do(func() { close(c.answered) }) }

// awaitAnswer waits for a response or the end of the connection.
func (c *client) awaitAnswer() {
	select {
	case <-c.answered:
	case <-time.After(settleTimeout):
	}
}

// settle waits until the process has read what the crowd has sent, or reads nothing more.
func (c *crowd) settle() {
	last, since := -1, time.Now()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		n := unreadBytes(c.l.address)
		if n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) > settleTime {
			return
		}
	}
}

// disperse closes the connections of the crowd.
func (c *crowd) disperse() {
	close(c.leave)
	c.left.Wait()
}

// isRefusal reports whether a response with this status promises that the request has not
// been carried out.
func isRefusal(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
}

// mayRepeat reports whether an ordinary client sends a request with this status again: it was
// refused, or its outcome is unknown.
func mayRepeat(code int) bool { return isRefusal(code) || code == http.StatusGatewayTimeout }

// checkRefusal fails the test if a refusal has no code or does not say when to retry.
func checkRefusal(t *testing.T, header http.Header, body []byte) {
	t.Helper()
	var e struct {
		Code string `json:"code"`
	}
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" {
		t.Errorf("a refusal has no code: %q", body)
	}
	if n, err := strconv.Atoi(header.Get("Retry-After")); err != nil || n < 1 {
		t.Errorf("a refusal with code %q has Retry-After %q", e.Code, header.Get("Retry-After"))
	}
}

// checkResponses checks what the responses to the crowd promise: a refused submission is
// not known, and an accepted one is.
func (c *crowd) checkResponses() {
	c.t.Helper()
	count := map[int]int{}
	accepted, refused := map[int]bool{}, map[int]bool{}
	for _, r := range c.responses {
		count[r.code]++
		switch {
		case c.l.stored == nil || !r.submission:
		case r.code == http.StatusGatewayTimeout:
			checkRefusal(c.t, r.header, r.body)
		case isRefusal(r.code):
			checkRefusal(c.t, r.header, r.body)
			refused[r.number] = true
		case r.code < http.StatusMultipleChoices:
			accepted[r.number] = true
		}
	}
	c.t.Logf("%d clients gave up; responses by status: %v", c.failed, count)
	for n := range refused {
		if known, err := c.l.stored(n); err != nil || known && !accepted[n] {
			c.t.Errorf("submission %d was refused: known %v, %v", n, known, err)
		}
	}
	for n := range accepted {
		if known, err := c.l.stored(n); err != nil || !known {
			c.t.Errorf("submission %d was accepted: known %v, %v", n, known, err)
		}
	}
}

// call sends an ordinary request as an ordinary client does: after a refusal or a closed
// connection it sends the request again, on a new connection.
func call(t *testing.T, to netip.AddrPort, host, method, path string, body []byte) (int, []byte, error) {
	t.Helper()
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var last error
	for end := time.Now().Add(clientTimeout); time.Now().Before(end); {
		code, header, b, err := callOnce(hc, to, host, method, path, body)
		switch {
		case err != nil:
			last = err
			time.Sleep(pollInterval)
			continue
		case mayRepeat(code):
			last = fmt.Errorf("status %d: %s", code, b)
			after, _ := strconv.Atoi(header.Get("Retry-After"))
			time.Sleep(max(pollInterval, min(time.Duration(after)*time.Second, callTimeout)))
			continue
		}
		return code, b, nil
	}
	return 0, nil, errors.WithMessagef(last, "%s %s is not answered", method, path)
}

func callOnce(hc *http.Client, to netip.AddrPort, host, method, path string, body []byte) (int, http.Header, []byte, error) {
	r, err := http.NewRequest(method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	resp, err := hc.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, b, err
}

// expect returns an error unless an ordinary request gets the given status.
func expect(t *testing.T, to netip.AddrPort, host, method, path string, body []byte, want int) error {
	t.Helper()
	code, b, err := call(t, to, host, method, path, body)
	if err == nil && code != want {
		err = fmt.Errorf("%s %s: status %d instead of %d: %s", method, path, code, want, b)
	}
	return err
}

// A request that is sent piece by piece is sent in pieces of pieceSize, or in maxPieces.
const (
	pieceSize = 4 << 10
	maxPieces = 256
)

// sendPieces sends the largest legal request with number n piece by piece and returns an
// error unless it is served.
func sendPieces(l *listener, n int) error {
	var last error
	for end := time.Now().Add(clientTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		code, err := sendPiecesOnce(l, n)
		if err == nil && !mayRepeat(code) {
			if code >= http.StatusMultipleChoices {
				return fmt.Errorf("the largest request got status %d", code)
			}
			return nil
		}
		last = errors.Wrapf(err, "status %d", code)
	}
	return errors.WithMessage(last, "the largest request is not served")
}

func sendPiecesOnce(l *listener, n int) (int, error) {
	conn, err := net.DialTimeout("tcp", l.address.String(), callTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	b := l.largest(n)
	size := max(pieceSize, len(b)/maxPieces)
	for len(b) > 0 {
		piece := b[:min(size, len(b))]
		if _, err := conn.Write(piece); err != nil {
			return 0, err
		}
		b = b[len(piece):]
		time.Sleep(time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// largest returns the largest legal request with number n.
func (l *listener) largest(n int) []byte {
	if len(l.body) == 0 {
		return append(l.head(n, fillerLines(legalHeaderBytes)), "\r\n"...)
	}
	b := l.head(n, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(l.body)))
	return append(b, l.body...)
}

// checkCrowd lets n clients loose on l and checks that the process s stays within its
// limits and serves ordinary clients, during the crowd and after it.
func checkCrowd(t *testing.T, s *subject, l *listener, n int, act func(*client) error) {
	t.Helper()
	n *= *scale
	requireDescriptors(t, n)
	c := startCrowd(t, l, n, act)
	c.settle()
	if err := l.ordinary(2 * n); err != nil {
		t.Errorf("with the crowd: %v", err)
	}
	s.checkAlive()
	c.disperse()
	if err := sendPieces(l, 2*n+1); err != nil {
		t.Errorf("after the crowd: %v", err)
	}
	c.checkResponses()
	s.check()
	if t.Failed() {
		t.Log(s.logTail())
	}
}

// requireDescriptors fails the test if this process cannot open n connections.
func requireDescriptors(t *testing.T, n int) {
	t.Helper()
	const reserve = 100
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		t.Fatal(err)
	}
	if uint64(n+reserve) > r.Cur {
		t.Fatalf("%d clients need more than the %d descriptors of this process", n, r.Cur)
	}
}
