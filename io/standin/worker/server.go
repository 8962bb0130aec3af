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

// announceEvery is the period of announcements.
const announceEvery = 500 * time.Millisecond

// Server serves an Engine over HTTP.
type Server struct {
	notice peer.WorkerAnnouncement

	mu     sync.Mutex
	clock  *Clock
	engine *Engine
	cut    bool
}

// Faults are the switches of the stand-in.
type Faults struct {
	// FailStarts makes every start fail.
	FailStarts bool `json:"fail-starts"`
	// Cut refuses every message and announces nothing.
	Unreachable bool `json:"cut"`
}

// NewServer returns a server for the worker that n announces.
func NewServer(n peer.WorkerAnnouncement, capacity worker.Resources) *Server {
	began := time.Now()
	n.Incarnation = began.UnixNano()
	return &Server{notice: n, clock: NewClock(began), engine: NewEngine(n.ID, n.Incarnation, capacity)}
}

// Handler returns the worker's side of the leases.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.POST("/lease", s.lease)
	e.GET("/ran", s.ran)
	e.POST("/faults", s.faults)
	return e
}

func (s *Server) lease(c echo.Context) error {
	var l worker.Lease
	if err := httpjson.Decode(c, &l); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		panic(http.ErrAbortHandler)
	}
	r, err := s.engine.HandleLease(l, s.clock.Elapsed(time.Now()))
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

func (s *Server) ran(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Advance(s.clock.Elapsed(time.Now()))
	return c.JSON(http.StatusOK, s.engine.EndedRuns())
}

func (s *Server) faults(c echo.Context) error {
	var f Faults
	if err := httpjson.Decode(c, &f); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.SetFailStarts(f.FailStarts)
	s.cut = f.Unreachable
	return c.NoContent(http.StatusNoContent)
}

// Announce tells one entry after another of this worker until ctx ends.
func (s *Server) Announce(ctx context.Context, entries []netip.AddrPort) error {
	c := httpjson.NewClient(time.Second)
	defer c.Close()
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		if !s.isCut() {
			_ = c.Call(ctx, http.MethodPost, entries[i%len(entries)], "/announcements/workers", s.notice, nil)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}
