package endpoint

import (
	"net"
	"net/http"
	"time"

	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
)

// enter counts a request in progress; the result ends it.
func (s *Server) enter(id string) (leave func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.last = time.Now()
	s.peak.LastID = id
	s.peak.Requests = max(s.peak.Requests, s.requests)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.requests--
	}
}

func (s *Server) refused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak.Refused++
}

// Connected counts connections; it serves as the server's ConnState.
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

// showPeak answers with the peak since the last time that it was asked for.
func (s *Server) showPeak(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peak
	p.LastAge = wire.Duration(time.Since(s.last))
	s.peak = Peak{Requests: s.requests, Connections: s.connections}
	return c.JSON(http.StatusOK, p)
}

// showAnnouncement answers with the newest announcement.
func (s *Server) showAnnouncement(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.announce)
}
