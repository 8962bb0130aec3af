package caller

import (
	"net/http"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

func (s *Server) announceEndpoint(c echo.Context) error {
	var a coreendpoint.Announcement
	if err := httpjson.Decode(c, &a); err != nil {
		return httpjson.WriteError(c, err)
	}
	if err := a.Check(); err != nil {
		return httpjson.WriteError(c, err)
	}
	if err := s.control.AnnounceEndpoint(c.Request().Context(), a); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) announceWorker(c echo.Context) error {
	var a peer.WorkerAnnouncement
	if err := httpjson.Decode(c, &a); err != nil {
		return httpjson.WriteError(c, err)
	}
	if a.ID == "" || !a.Address.IsValid() {
		return httpjson.WriteError(c, status.At(status.ErrMissingField, "id", a.ID))
	}
	if err := s.control.AnnounceWorker(c.Request().Context(), a); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}
