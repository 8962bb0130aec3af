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

// claimTimeout bounds one message about a claim: an entry that is slower
// counts as out of reach.
const claimTimeout = 300 * time.Millisecond

// ClaimAnswer is a home's answer to a claim.
type ClaimResponse struct {
	Verdict caller.Verdict `json:"verdict"`
	// Home decides instead, if the verdict is caller.Elsewhere.
	Coordinator caller.Member `json:"home"`
}

// Note tells a member of a claim, or greets it if there is none.
type PeerRequest struct {
	To    caller.Member `json:"to"`
	Claim *caller.Claim `json:"claim,omitempty"`
}

// claimClient sends the messages about claims; each is idempotent.
type claimClient struct{ http *httpjson.Client }

func (c *claimClient) ask(ctx context.Context, to netip.AddrPort, x caller.Claim) (ClaimResponse, error) {
	var out ClaimResponse
	err := c.http.Call(ctx, http.MethodPost, to, "/peer/claims", x, &out)
	return out, err
}

func (c *claimClient) note(ctx context.Context, to netip.AddrPort, n PeerRequest) (caller.PeerReply, error) {
	var out caller.PeerReply
	err := c.http.Call(ctx, http.MethodPost, to, "/peer/notes", n, &out)
	return out, err
}

func (c *claimClient) release(ctx context.Context, to netip.AddrPort, x caller.Claim) error {
	return c.http.Call(ctx, http.MethodPost, to, "/peer/releases", x, nil)
}

func (c *claimClient) legacy(ctx context.Context, to netip.AddrPort, l caller.Handover) error {
	return c.http.Call(ctx, http.MethodPost, to, "/peer/legacies", l, nil)
}

// addClaims serves the messages about claims.
func (s *server) addClaims(e *echo.Echo) {
	e.POST("/peer/claims", s.claim)
	e.POST("/peer/notes", s.note)
	e.POST("/peer/releases", s.release)
	e.POST("/peer/legacies", s.inherit)
}

func (s *server) claim(c echo.Context) error {
	var x caller.Claim
	if err := httpjson.Decode(c, &x); err != nil {
		return httpjson.WriteError(c, err)
	}
	if x.ID == "" || x.Token == "" {
		return httpjson.WriteError(c, status.At(status.ErrMissingField, "token", x.Token))
	}
	return c.JSON(http.StatusOK, s.claims.decide(c.Request().Context(), x))
}

func (s *server) note(c echo.Context) error {
	var n PeerRequest
	if err := httpjson.Decode(c, &n); err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, s.claims.noted(n))
}

func (s *server) release(c echo.Context) error {
	var x caller.Claim
	if err := httpjson.Decode(c, &x); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.claims.forget(x)
	return c.NoContent(http.StatusNoContent)
}

func (s *server) inherit(c echo.Context) error {
	var l caller.Handover
	if err := httpjson.Decode(c, &l); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.claims.inherit(l)
	return c.NoContent(http.StatusNoContent)
}
