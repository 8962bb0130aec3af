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

// point is where a scripted endpoint does what the script says.
type point int

const (
	healthy point = iota
	refuseDial
	hangDial
	cutOnAccept
	freezeOnAccept
	cutInRequest
	freezeInRequest
	runThenCut
	skipThenCut
	runThenFreeze
	cutInAnswer
	freezeInAnswer
	cutAfterAnswer
	doubleAnswer
	foreignAnswer
	foreignRefusal
	refuseRun
	numPoints
)

// step is the script of one connection attempt or request.
type step struct {
	at point
	// offset is the byte at which a cut or freeze happens.
	offset int
	// delay comes before the answer.
	delay time.Duration
	// frame is how the answer's end is marked.
	frame  string
	noEcho bool
	size   int
}

// scripted is an endpoint that follows a script and keeps a journal.
type scripted struct {
	mu    sync.Mutex
	steps []step
	// usual draws the step that follows the script, if it is set.
	usual func() step
	ran   map[string]int
	conns []net.Conn
	// busy and most count the requests in progress, now and at the worst.
	busy, most int
}

func (e *scripted) next() step {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) == 0 && e.usual != nil {
		return e.usual()
	}
	if len(e.steps) == 0 {
		return step{frame: "length"}
	}
	s := e.steps[0]
	e.steps = e.steps[1:]
	return s
}

func (e *scripted) run(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
}

func (e *scripted) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy += n
	e.most = max(e.most, e.busy)
}

// dial connects to the endpoint as the script says.
func (e *scripted) dial(_ context.Context, _, _ string) (net.Conn, error) {
	s := e.next()
	switch s.at {
	case refuseDial:
		return nil, errors.New("connection refused")
	case hangDial:
		time.Sleep(time.Second)
		return nil, errors.New("connection timed out")
	}
	near, far := net.Pipe()
	e.mu.Lock()
	e.conns = append(e.conns, near, far)
	e.mu.Unlock()
	go e.serve(far, s)
	return near, nil
}

func (e *scripted) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

// serve answers the requests of one connection.
func (e *scripted) serve(c net.Conn, s step) {
	for r := bufio.NewReader(c); ; s = e.next() {
		switch s.at {
		case cutOnAccept:
			c.Close()
			return
		case freezeOnAccept:
			return
		case cutInRequest:
			_, _ = io.CopyN(io.Discard, r, int64(s.offset))
			c.Close()
			return
		case freezeInRequest:
			_, _ = io.CopyN(io.Discard, r, int64(s.offset))
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			c.Close()
			return
		}
		if !e.handle(c, q, s) {
			return
		}
	}
}

// handle runs and answers one request; it reports whether the connection goes
// on.
func (e *scripted) handle(c net.Conn, q *http.Request, s step) bool {
	id := q.Header.Get(HeaderRequestID)
	if s.at == skipThenCut {
		c.Close()
		return false
	}
	if s.at != refuseRun {
		// An endpoint may act as soon as it knows what is asked.
		e.run(id)
	}
	if _, err := io.ReadAll(q.Body); err != nil {
		c.Close()
		return false
	}
	e.count(1)
	time.Sleep(s.delay)
	e.count(-1)
	text := answerText(id, q.Method, s)
	switch s.at {
	case runThenCut:
		c.Close()
		return false
	case runThenFreeze:
		return false
	case cutInAnswer, freezeInAnswer:
		_, _ = io.WriteString(c, text[:min(s.offset, len(text)-1)])
		if s.at == cutInAnswer {
			c.Close()
		}
		return false
	case doubleAnswer:
		text += text
	case foreignAnswer, foreignRefusal:
		text = answerText("someone-else", q.Method, s)
	}
	if _, err := io.WriteString(c, text); err != nil || s.at == cutAfterAnswer || s.frame == "close" || q.Close {
		c.Close()
		return false
	}
	return true
}

// content is the body of the whole answer to a request.
func content(id string, size int) string {
	return "answer to " + id + strings.Repeat(".", size)
}

// answerText is the whole answer as it goes over the wire.
func answerText(id, method string, s step) string {
	h := ""
	if !s.noEcho || id == "someone-else" {
		h = HeaderRequestID + ": " + id + "\r\n"
	}
	if s.at == refuseRun || s.at == foreignRefusal {
		return "HTTP/1.1 503 Busy\r\n" + h + "Rosemarygap-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
	}
	body := content(id, s.size)
	ok := "HTTP/1.1 200 OK\r\n" + h
	switch {
	case method == http.MethodHead:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", ok, len(body))
	case s.frame == "none":
		return "HTTP/1.1 204 No Content\r\n" + h + "\r\n"
	case s.frame == "chunked":
		half := len(body) / 2
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			ok, half, body[:half], len(body)-half, body[half:])
	case s.frame == "close":
		return ok + "Connection: close\r\n\r\n" + body
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
}

// fixed is a Control that never changes.
type fixed struct {
	snap *entry.Snapshot
}

func (f *fixed) Snapshot() *entry.Snapshot                                         { return f.snap }
func (f *fixed) AnnounceEndpoint(context.Context, coreendpoint.Announcement) error { return nil }
func (f *fixed) AnnounceWorker(context.Context, peer.WorkerAnnouncement) error     { return nil }

// newFixed returns a Control with one service and n endpoints, each of which
// has the given number of slots.
func newFixed(n, slots, queue int, now time.Time) *fixed {
	m := coreendpoint.NewMembership(time.Hour)
	for i := range n {
		m.Apply(coreendpoint.Announcement{ID: fmt.Sprint("endpoint-", i), Service: "catalogue",
			Address: address(i), Incarnation: 1, Seq: 1,
			State: coreendpoint.Ready, Slots: slots, Connections: 64}, 0, now)
	}
	doc := operator.Document{Services: []operator.Service{{Name: "catalogue",
		Deadline: wire.Duration(2 * time.Second), QueueLimit: queue, MaxBodyBytes: 1 << 16}}}
	return &fixed{&entry.Snapshot{Config: &operator.AcceptedConfig{Revision: 1, Document: doc},
		Endpoints: m.View(now)}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
}
