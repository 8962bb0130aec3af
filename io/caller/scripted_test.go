package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	"rosemarygap/core/wire"

	"github.com/pkg/errors"
)

// faultPoint is the point at which a scripted endpoint fails, and how. An endpoint
// that freezes sends and reads nothing more, but keeps the connection open.
type faultPoint int

const (
	healthy faultPoint = iota
	refuseDial
	hangDial
	closeOnAccept
	freezeOnAccept
	closeInRequest
	freezeInRequest
	runThenClose
	// closeBeforeRun closes the connection after the header of a request was
	// read, without running the request.
	closeBeforeRun
	runThenFreeze
	closeInResponse
	freezeInResponse
	closeAfterResponse
	duplicateResponse
	// foreignResponse and foreignRefusal run the request, and send a response or
	// a refusal with the id of another request.
	foreignResponse
	foreignRefusal
	// refuseRun responds that the endpoint did not run the request.
	refuseRun
	numFaultPoints
)

// step is the scripted behavior for one connection attempt or request.
type step struct {
	fault faultPoint
	// offset is the number of bytes after which the endpoint closes or freezes
	// the connection.
	offset int
	// delay is the time that the request runs before the response.
	delay time.Duration
	// framing is how the end of the response is marked.
	framing string
	omitID  bool
	padding int
}

// scriptedEndpoint is an endpoint that follows a script and counts the runs of
// each request id.
type scriptedEndpoint struct {
	mu    sync.Mutex
	steps []step
	// defaultStep returns each step after the end of the script, if it is set.
	defaultStep func() step
	runs        map[string]int
	conns       []net.Conn
	// inProgress is the number of requests in progress, and maxInProgress its
	// maximum so far.
	inProgress, maxInProgress int
}

func (e *scriptedEndpoint) nextStep() step {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) == 0 && e.defaultStep != nil {
		return e.defaultStep()
	}
	if len(e.steps) == 0 {
		return step{framing: "length"}
	}
	s := e.steps[0]
	e.steps = e.steps[1:]
	return s
}

func (e *scriptedEndpoint) recordRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
}

func (e *scriptedEndpoint) addInProgress(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress += n
	e.maxInProgress = max(e.maxInProgress, e.inProgress)
}

// dial connects to the endpoint according to the script.
func (e *scriptedEndpoint) dial(_ context.Context, _, _ string) (net.Conn, error) {
	s := e.nextStep()
	switch s.fault {
	case refuseDial:
		return nil, errors.New("connection refused")
	case hangDial:
		time.Sleep(time.Second)
		return nil, errors.New("connection timed out")
	}
	clientConn, serverConn := net.Pipe()
	e.mu.Lock()
	e.conns = append(e.conns, clientConn, serverConn)
	e.mu.Unlock()
	go e.serve(serverConn, s)
	return clientConn, nil
}

func (e *scriptedEndpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

// serve handles the requests of one connection.
func (e *scriptedEndpoint) serve(c net.Conn, s step) {
	for r := bufio.NewReader(c); ; s = e.nextStep() {
		switch s.fault {
		case closeOnAccept:
			c.Close()
			return
		case freezeOnAccept:
			return
		case closeInRequest:
			_, _ = io.CopyN(io.Discard, r, int64(s.offset))
			c.Close()
			return
		case freezeInRequest:
			_, _ = io.CopyN(io.Discard, r, int64(s.offset))
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			c.Close()
			return
		}
		if !e.handle(c, req, s) {
			return
		}
	}
}

// handle runs one request and responds to it. It reports whether the connection
// stays open.
func (e *scriptedEndpoint) handle(c net.Conn, req *http.Request, s step) bool {
	id := req.Header.Get(HeaderRequestID)
	if s.fault == closeBeforeRun {
		c.Close()
		return false
	}
	if s.fault != refuseRun {
		// An endpoint may act on a request before it has read the body.
		e.recordRun(id)
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		c.Close()
		return false
	}
	e.addInProgress(1)
	time.Sleep(s.delay)
	e.addInProgress(-1)
	response := encodeResponse(id, req.Method, s)
	switch s.fault {
	case runThenClose:
		c.Close()
		return false
	case runThenFreeze:
		return false
	case closeInResponse, freezeInResponse:
		_, _ = io.WriteString(c, response[:min(s.offset, len(response)-1)])
		if s.fault == closeInResponse {
			c.Close()
		}
		return false
	case duplicateResponse:
		response += response
	case foreignResponse, foreignRefusal:
		response = encodeResponse("someone-else", req.Method, s)
	}
	if _, err := io.WriteString(c, response); err != nil || s.fault == closeAfterResponse || s.framing == "close" || req.Close {
		c.Close()
		return false
	}
	return true
}

// responseBody returns the body of the complete response to a request.
func responseBody(id string, padding int) string {
	return "answer to " + id + strings.Repeat(".", padding)
}

// encodeResponse returns the complete response as it is sent over the network.
func encodeResponse(id, method string, s step) string {
	idHeader := ""
	if !s.omitID || id == "someone-else" {
		idHeader = HeaderRequestID + ": " + id + "\r\n"
	}
	if s.fault == refuseRun || s.fault == foreignRefusal {
		return "HTTP/1.1 503 Busy\r\n" + idHeader + "Rosemarygap-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
	}
	body := responseBody(id, s.padding)
	head := "HTTP/1.1 200 OK\r\n" + idHeader
	switch {
	case method == http.MethodHead:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	case s.framing == "none":
		return "HTTP/1.1 204 No Content\r\n" + idHeader + "\r\n"
	case s.framing == "chunked":
		half := len(body) / 2
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, half, body[:half], len(body)-half, body[half:])
	case s.framing == "close":
		return head + "Connection: close\r\n\r\n" + body
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// fakeControl is a Control with a constant snapshot.
type fakeControl struct {
	snap *entry.Snapshot
}

func (c *fakeControl) Snapshot() *entry.Snapshot                                         { return c.snap }
func (c *fakeControl) AnnounceEndpoint(context.Context, coreendpoint.Announcement) error { return nil }
func (c *fakeControl) AnnounceWorker(context.Context, peer.WorkerAnnouncement) error     { return nil }

// newFakeControl returns a Control with one service and n endpoints, each of
// which has the given number of slots.
func newFakeControl(n, slots, queueLimit int, now time.Time) *fakeControl {
	m := coreendpoint.NewMembership(time.Hour)
	for i := range n {
		m.Apply(coreendpoint.Announcement{ID: fmt.Sprint("endpoint-", i), Service: "catalogue",
			Address: address(i), Incarnation: 1, Seq: 1,
			State: coreendpoint.Ready, Slots: slots, Connections: 64}, 0, now)
	}
	doc := operator.Document{Services: []operator.Service{{Name: "catalogue",
		Deadline: wire.Duration(2 * time.Second), QueueLimit: queueLimit, MaxBodyBytes: 1 << 16}}}
	return &fakeControl{&entry.Snapshot{Config: &operator.AcceptedConfig{Revision: 1, Document: doc},
		Endpoints: m.View(now)}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
}
