// Package endpoint is a fake of an endpoint of a service. It responds to requests
// after a random time and counts the runs of each request.
//
// Invariant: a run of a request is counted if and only if the endpoint ran the
// request. Refused requests do not count as runs.
package endpoint

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// announcePeriod is the interval between announcements.
const announcePeriod = 300 * time.Millisecond

// Headers of the HTTP interface of endpoints.
const (
	HeaderRequestID = "Rosemarygap-Request-Id"
	// HeaderNotRun is set in a response if the endpoint did not run the request.
	// Its value is the reason.
	HeaderNotRun = "Rosemarygap-Not-Run"
)

// Faults are the faults that a Server injects.
type Faults struct {
	// Slow is a factor of the time that a request takes; 0 means 1.
	Slow float64 `json:"slow"`
	// Fail makes every request fail at once with status 500.
	Fail bool `json:"fail"`
	// TruncateResponses closes the connection in the middle of every response.
	TruncateResponses bool `json:"cut-answers"`
	// Leaving makes the endpoint announce the leaving state, while it continues
	// to serve requests.
	Leaving bool `json:"leaving"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}

// Peak contains the maximum numbers of concurrent requests and connections, and
// other observations, since the previous query of the peak.
type Peak struct {
	Requests    int `json:"requests"`
	Connections int `json:"connections"`
	// Refused is the number of requests that arrived when all slots were in use.
	Refused int `json:"refused"`
	// LastID is the id of the newest request since the previous query, or empty.
	// LastAge is the time since the arrival of the newest request, which may
	// precede the previous query.
	LastID  string        `json:"last-id"`
	LastAge wire.Duration `json:"last-age"`
}

// Server is a fake of one endpoint.
type Server struct {
	meanServiceTime time.Duration
	slots           chan struct{}
	startTime       time.Time

	mu           sync.Mutex
	announcement endpoint.Announcement
	faults       Faults
	runCounts    map[string]int
	rng          *rand.Rand
	peak         Peak
	lastRequest  time.Time
	// requests is the number of requests in progress, and connections the number
	// of open connections.
	requests    int
	connections int
}

// NewServer returns a fake of the endpoint that a describes. The time that a
// request takes is random, with an exponential distribution and the given mean;
// seed is the seed of the random numbers.
func NewServer(a endpoint.Announcement, meanServiceTime time.Duration, seed uint64) *Server {
	a.Incarnation = time.Now().UnixNano()
	a.State = endpoint.Ready
	return &Server{
		meanServiceTime: meanServiceTime,
		startTime:       time.Now(),
		slots:           make(chan struct{}, a.Slots),
		announcement:    a,
		runCounts:       make(map[string]int),
		rng:             rand.New(rand.NewPCG(seed, seed)),
	}
}

// Handler returns the handler of all requests: those of the service and those that
// control the fake.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.GET("/control/ran", s.listRuns)
	e.GET("/control/peak", s.showPeak)
	e.GET("/control/announcement", s.showAnnouncement)
	e.POST("/control/faults", s.setFaults)
	e.Any("/*", s.serve)
	return e
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := httpjson.Decode(c, &f); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) listRuns(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.runCounts)
}

func (s *Server) recordRun(id string) (Faults, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[id]++
	d := time.Duration(s.rng.ExpFloat64() * float64(s.meanServiceTime))
	if s.faults.Slow > 0 {
		d = time.Duration(float64(d) * s.faults.Slow)
	}
	return s.faults, d
}

func (s *Server) serve(c echo.Context) error {
	r, w := c.Request(), c.Response()
	id := r.Header.Get(HeaderRequestID)
	defer s.beginRequest(id)()
	w.Header().Set(HeaderRequestID, id)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.countRefusal()
		w.Header().Set(HeaderNotRun, "slots-full")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set(HeaderNotRun, "body-cut")
		return c.NoContent(http.StatusBadRequest)
	}
	f, d := s.recordRun(id)
	if f.Fail {
		return c.NoContent(http.StatusInternalServerError)
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return nil
	}
	return s.respond(c, f, id, len(body))
}

func (s *Server) respond(c echo.Context, f Faults, id string, received int) error {
	size, _ := strconv.Atoi(c.QueryParam("size"))
	if size < 0 || size > 16<<20 {
		return c.NoContent(http.StatusBadRequest)
	}
	text := "request " + id + " body " + strconv.Itoa(received) + "\n" + strings.Repeat("x", size)
	if f.TruncateResponses {
		c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(text)))
		_, _ = c.Response().Write([]byte(text[:len(text)/2]))
		panic(http.ErrAbortHandler)
	}
	return c.String(http.StatusOK, text)
}

// Announce sends an announcement of this endpoint to one entry after another, until
// ctx is done.
func (s *Server) Announce(ctx context.Context, entries []netip.AddrPort) error {
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for i := 0; ; i++ {
		s.announceOnce(ctx, c, entries[i%len(entries)])
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) announceOnce(ctx context.Context, c *httpjson.Client, to netip.AddrPort) {
	s.mu.Lock()
	s.announcement.Seq++
	if s.faults.Leaving {
		s.announcement.State = endpoint.Leaving
	}
	s.announcement.Uptime = wire.Duration(time.Since(s.startTime))
	a, silent := s.announcement, s.faults.Silent
	s.mu.Unlock()
	if !silent {
		_ = c.Call(ctx, http.MethodPost, to, "/announcements/endpoints", a, nil)
	}
}

// Leave announces the leaving state to every entry, and returns after leaveDelay
// or when ctx is done.
func (s *Server) Leave(ctx context.Context, entries []netip.AddrPort) {
	s.mu.Lock()
	s.announcement.State = endpoint.Leaving
	s.mu.Unlock()
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	for _, to := range entries {
		s.announceOnce(ctx, c, to)
	}
	delay := time.NewTimer(leaveDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
}

// leaveDelay covers the time in which entries may still send requests to a leaving
// endpoint.
const leaveDelay = 3 * time.Second
