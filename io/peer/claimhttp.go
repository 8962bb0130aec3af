package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// claimCallTimeout is the timeout of one claim message to another entry. A slower
// entry counts as unreachable.
const claimCallTimeout = 300 * time.Millisecond

// ClaimResponse is the response of a coordinator to a claim.
type ClaimResponse struct {
	Verdict caller.Verdict `json:"verdict"`
	// Coordinator is the entry to ask instead, if the verdict is
	// caller.NotCoordinator.
	Coordinator caller.Member `json:"home"`
}

// PeerRequest asks a member to record a claim. Without a claim, it queries the
// member's state.
type PeerRequest struct {
	To    caller.Member `json:"to"`
	Claim *caller.Claim `json:"claim,omitempty"`
}

// claimClient sends claim messages to other entries. Each message is idempotent.
type claimClient struct{ http *httpjson.Client }

func (c *claimClient) requestClaim(ctx context.Context, to netip.AddrPort, claim caller.Claim) (ClaimResponse, error) {
	var out ClaimResponse
	err := c.http.Call(ctx, http.MethodPost, to, "/peer/claims", claim, &out)
	return out, err
}

func (c *claimClient) sendPeerRequest(ctx context.Context, to netip.AddrPort, req PeerRequest) (caller.PeerReply, error) {
	var out caller.PeerReply
	err := c.http.Call(ctx, http.MethodPost, to, "/peer/notes", req, &out)
	return out, err
}

func (c *claimClient) release(ctx context.Context, to netip.AddrPort, claim caller.Claim) error {
	return c.http.Call(ctx, http.MethodPost, to, "/peer/releases", claim, nil)
}

func (c *claimClient) handOver(ctx context.Context, to netip.AddrPort, part caller.Handover) error {
	return c.http.Call(ctx, http.MethodPost, to, "/peer/legacies", part, nil)
}

// addClaimRoutes registers the handlers of claim messages.
func (s *server) addClaimRoutes(e *echo.Echo) {
	e.POST("/peer/claims", s.claim)
	e.POST("/peer/notes", s.peerRequest)
	e.POST("/peer/releases", s.release)
	e.POST("/peer/legacies", s.acceptHandover)
}

func (s *server) claim(c echo.Context) error {
	var claim caller.Claim
	if err := httpjson.Decode(c, &claim); err != nil {
		return httpjson.WriteError(c, err)
	}
	if claim.ID == "" || claim.Token == "" {
		return httpjson.WriteError(c, status.At(status.ErrMissingField, "token", claim.Token))
	}
	return c.JSON(http.StatusOK, s.claims.decide(c.Request().Context(), claim))
}

func (s *server) peerRequest(c echo.Context) error {
	var req PeerRequest
	if err := httpjson.Decode(c, &req); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, s.claims.handlePeerRequest(req))
}

func (s *server) release(c echo.Context) error {
	var claim caller.Claim
	if err := httpjson.Decode(c, &claim); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.claims.removeClaim(claim)
	return c.NoContent(http.StatusNoContent)
}

func (s *server) acceptHandover(c echo.Context) error {
	var part caller.Handover
	if err := httpjson.Decode(c, &part); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.claims.acceptHandover(part)
	return c.NoContent(http.StatusNoContent)
}
