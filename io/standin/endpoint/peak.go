package endpoint

import (
	"net"
	"net/http"
	"time"

	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
)

// beginRequest counts a request in progress. The caller must call end when the
// request has ended.
func (s *Server) beginRequest(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.lastRequest = time.Now()
	s.peak.LastID = id
	s.peak.Requests = max(s.peak.Requests, s.requests)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.requests--
	}
}

func (s *Server) countRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak.Refused++
}

// TrackConnection counts the open connections. It is called when the state of a
// connection changes.
func (s *Server) TrackConnection(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
		s.peak.Connections = max(s.peak.Connections, s.connections)
	case http.StateClosed, http.StateHijacked:
		s.connections--
	}
}

// showPeak responds with the peak since the previous call, and resets it.
func (s *Server) showPeak(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peak
	p.LastAge = wire.Duration(time.Since(s.lastRequest))
	s.peak = Peak{Requests: s.requests, Connections: s.connections}
	return c.JSON(http.StatusOK, p)
}

// showAnnouncement responds with the newest announcement.
func (s *Server) showAnnouncement(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.announcement)
}
