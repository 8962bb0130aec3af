// Package endpoint is a stand-in for an endpoint of a service: it answers
// requests after a random time and keeps a journal of what it ran.
//
// Invariant: a request is in the journal if and only if the endpoint ran it.
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

// announceEvery is the period of announcements.
const announceEvery = 300 * time.Millisecond

// Headers of the endpoints' interface.
const (
	HeaderRequestID = "Rosemarygap-Request-Id"
	HeaderNotRun    = "Rosemarygap-Not-Run"
)

// Faults are the switches of the stand-in.
type Faults struct {
	// Slow multiplies the time that a request takes; 0 means 1.
	Slow float64 `json:"slow"`
	// Fail answers every request at once with status 500.
	Fail bool `json:"fail"`
	// CutAnswers breaks the connection within every answer.
	TruncateResponses bool `json:"cut-answers"`
	// Leaving announces that the endpoint leaves while it goes on serving.
	Leaving bool `json:"leaving"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}

// Peak is the most that the stand-in met at one time.
type Peak struct {
	Requests    int `json:"requests"`
	Connections int `json:"connections"`
	// Refused counts requests that came when all slots were taken.
	Refused int `json:"refused"`
	// LastID is the newest request, and LastAge the time since it came.
	LastID  string        `json:"last-id"`
	LastAge wire.Duration `json:"last-age"`
}

// Server pretends to be one endpoint.
type Server struct {
	mean  time.Duration
	slots chan struct{}
	began time.Time

	mu       sync.Mutex
	announce endpoint.Announcement
	faults   Faults
	ran      map[string]int
	rng      *rand.Rand
	peak     Peak
	last     time.Time
	requests int
	// connections counts those that are open.
	connections int
}

// NewServer returns the endpoint that a announces; a request takes mean on
// average, exponentially distributed with the given seed.
func NewServer(a endpoint.Announcement, mean time.Duration, seed uint64) *Server {
	a.Incarnation = time.Now().UnixNano()
	a.State = endpoint.Ready
	return &Server{
		mean:     mean,
		began:    time.Now(),
		slots:    make(chan struct{}, a.Slots),
		announce: a,
		ran:      make(map[string]int),
		rng:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// Handler returns the endpoint's side of requests.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.GET("/control/ran", s.listRan)
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

func (s *Server) listRan(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.ran)
}

func (s *Server) begin(id string) (Faults, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
	d := time.Duration(s.rng.ExpFloat64() * float64(s.mean))
	if s.faults.Slow > 0 {
		d = time.Duration(float64(d) * s.faults.Slow)
	}
	return s.faults, d
}

func (s *Server) serve(c echo.Context) error {
	r, w := c.Request(), c.Response()
	id := r.Header.Get(HeaderRequestID)
	defer s.enter(id)()
	w.Header().Set(HeaderRequestID, id)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refused()
		w.Header().Set(HeaderNotRun, "slots-full")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set(HeaderNotRun, "body-cut")
		return c.NoContent(http.StatusBadRequest)
	}
	f, d := s.begin(id)
	if f.Fail {
		return c.NoContent(http.StatusInternalServerError)
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return nil
	}
	return s.answer(c, f, id, len(body))
}

func (s *Server) answer(c echo.Context, f Faults, id string, received int) error {
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

// Announce tells one entry after another of this endpoint until ctx ends.
func (s *Server) Announce(ctx context.Context, entries []netip.AddrPort) error {
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	t := time.NewTicker(announceEvery)
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
	s.announce.Seq++
	if s.faults.Leaving {
		s.announce.State = endpoint.Leaving
	}
	s.announce.Uptime = wire.Duration(time.Since(s.began))
	a, silent := s.announce, s.faults.Silent
	s.mu.Unlock()
	if !silent {
		_ = c.Call(ctx, http.MethodPost, to, "/announcements/endpoints", a, nil)
	}
}

// Leave announces to every entry that the endpoint leaves, and returns when
// the requests in progress have ended or ctx ends.
func (s *Server) Leave(ctx context.Context, entries []netip.AddrPort) {
	s.mu.Lock()
	s.announce.State = endpoint.Leaving
	s.mu.Unlock()
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	for _, to := range entries {
		s.announceOnce(ctx, c, to)
	}
	quiet := time.NewTimer(leaveWait)
	defer quiet.Stop()
	select {
	case <-quiet.C:
	case <-ctx.Done():
	}
}

// leaveWait covers the time in which entries may still send requests.
const leaveWait = 3 * time.Second
