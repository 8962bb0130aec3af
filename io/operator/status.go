package operator

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"rosemarygap/core/entry"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"

	"github.com/labstack/echo/v4"
)

func (s *Server) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, s.entryStatuses(c.Request().Context()))
}

// entryStatuses returns the status of every registered entry and of this one,
// sorted by id.
func (s *Server) entryStatuses(ctx context.Context) []entry.Status {
	self := s.control.Status()
	members := s.control.Snapshot().Members
	if !slices.ContainsFunc(members, func(m peer.Member) bool { return m.ID == self.ID }) {
		// This entry is not registered yet, for example because the store is
		// unavailable.
		members = append(slices.Clone(members), peer.Member{ID: self.ID, Zone: self.Zone})
	}
	results := make(chan entry.Status, len(members))
	for _, m := range members {
		go func() { results <- s.entryStatus(ctx, m, self) }()
	}
	all := make([]entry.Status, 0, len(members))
	for range members {
		all = append(all, <-results)
	}
	slices.SortFunc(all, func(a, b entry.Status) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// entryStatus returns the status of the entry m. If m can't be reached, the
// status has only its identity and the code of the error.
func (s *Server) entryStatus(ctx context.Context, m peer.Member, self entry.Status) entry.Status {
	if m.ID == self.ID {
		return self
	}
	st, err := s.peers.Status(ctx, m.Address)
	if err != nil {
		return entry.Status{ID: m.ID, Zone: m.Zone, Code: string(status.CodeOf(err))}
	}
	return st
}
