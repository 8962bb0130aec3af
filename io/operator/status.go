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

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.statuses(c.Request().Context()))
}

// statuses describes every registered entry.
func (s *Server) statuses(ctx context.Context) []entry.Status {
	self := s.control.Status()
	members := s.control.Snapshot().Members
	if !slices.ContainsFunc(members, func(m peer.Member) bool { return m.ID == self.ID }) {
		// Not registered yet, for example since the store is down.
		members = append(slices.Clone(members), peer.Member{ID: self.ID, Zone: self.Zone})
	}
	answers := make(chan entry.Status, len(members))
	for _, m := range members {
		go func() { answers <- s.statusOf(ctx, m, self) }()
	}
	all := make([]entry.Status, 0, len(members))
	for range members {
		all = append(all, <-answers)
	}
	slices.SortFunc(all, func(a, b entry.Status) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (s *Server) statusOf(ctx context.Context, m peer.Member, self entry.Status) entry.Status {
	if m.ID == self.ID {
		return self
	}
	st, err := s.peers.Status(ctx, m.Address)
	if err != nil {
		return entry.Status{ID: m.ID, Zone: m.Zone, Code: string(status.CodeOf(err))}
	}
	return st
}
