package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

// sessionCookie proves that a browser sent the token. Its value is derived
// from the token, so that each entry accepts it and none keeps a session.
const (
	sessionCookie = "rosemarygap-session"
	sessionLabel  = "rosemarygap console session"
)

// session returns the cookie's value for a token.
func session(token string) string {
	m := hmac.New(sha256.New, []byte(token))
	m.Write([]byte(sessionLabel))
	return hex.EncodeToString(m.Sum(nil))
}

// same compares two secrets in constant time, whatever their lengths.
func same(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// mayChange reports whether a request carries the token or its cookie.
func (s *Server) mayChange(c echo.Context) bool {
	if s.token == "" {
		return true
	}
	given, bearer := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if bearer {
		return same(given, s.token)
	}
	cookie, err := c.Cookie(sessionCookie)
	return err == nil && same(cookie.Value, session(s.token))
}

// authorized admits a change only with the token.
func (s *Server) authorized(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.mayChange(c) {
			return httpjson.Fail(c, status.ErrUnauthorized)
		}
		return next(c)
	}
}

// contentPolicy admits nothing that the console does not serve itself.
const contentPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

// secureHeaders bounds what a browser does with an answer.
func secureHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		h.Set(echo.HeaderContentSecurityPolicy, contentPolicy)
		h.Set(echo.HeaderXContentTypeOptions, "nosniff")
		h.Set(echo.HeaderReferrerPolicy, "same-origin")
		h.Set(echo.HeaderCacheControl, "no-store")
		return next(c)
	}
}

// sameOrigin refuses changes that another site asks a browser for.
func sameOrigin(next http.Handler) http.Handler {
	p := http.NewCrossOriginProtection()
	p.SetDenyHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		w.WriteHeader(status.ErrCrossOrigin.HTTPStatus())
		_ = json.NewEncoder(w).Encode(wire.BodyOf(status.ErrCrossOrigin))
	}))
	return p.Handler(next)
}
