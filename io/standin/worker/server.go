package worker

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"rosemarygap/core/peer"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// announcePeriod is the interval between announcements.
const announcePeriod = 500 * time.Millisecond

// Server serves an Engine over HTTP.
type Server struct {
	announcement peer.WorkerAnnouncement

	mu          sync.Mutex
	clock       *Clock
	engine      *Engine
	unreachable bool
}

// Faults are the faults that a Server injects.
type Faults struct {
	// FailStarts makes every start of a task fail.
	FailStarts bool `json:"fail-starts"`
	// Unreachable makes the server close the connection on every Lease message
	// and send no announcements.
	Unreachable bool `json:"cut"`
}

// NewServer returns a server for the worker that a describes.
func NewServer(a peer.WorkerAnnouncement, capacity worker.Resources) *Server {
	start := time.Now()
	a.Incarnation = start.UnixNano()
	return &Server{announcement: a, clock: NewClock(start), engine: NewEngine(a.ID, a.Incarnation, capacity)}
}

// Handler returns the handler of the Lease messages and of the requests that
// control the fake.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.POST("/lease", s.handleLease)
	e.GET("/ran", s.listRuns)
	e.POST("/faults", s.setFaults)
	return e
}

func (s *Server) handleLease(c echo.Context) error {
	var l worker.Lease
	if err := httpjson.Decode(c, &l); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		panic(http.ErrAbortHandler)
	}
	r, err := s.engine.HandleLease(l, s.clock.Elapsed(time.Now()))
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

func (s *Server) listRuns(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Advance(s.clock.Elapsed(time.Now()))
	return c.JSON(http.StatusOK, s.engine.EndedRuns())
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := httpjson.Decode(c, &f); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.SetFailStarts(f.FailStarts)
	s.unreachable = f.Unreachable
	return c.NoContent(http.StatusNoContent)
}

// Announce sends an announcement of this worker to one entry after another, until
// ctx is done.
func (s *Server) Announce(ctx context.Context, entries []netip.AddrPort) error {
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for i := 0; ; i++ {
		if !s.isUnreachable() {
			_ = c.Call(ctx, http.MethodPost, entries[i%len(entries)], "/announcements/workers", s.announcement, nil)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable
}
