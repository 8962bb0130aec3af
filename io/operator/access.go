package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
)

const (
	// sessionCookie is the name of the cookie that proves that a browser sent the
	// token. The value of the cookie is derived from the token, so that every entry
	// accepts it without storing sessions.
	sessionCookie = "rosemarygap-session"
	// sessionLabel is the message whose HMAC under the token is the value of the
	// cookie.
	sessionLabel = "rosemarygap console session"
)

// sessionValue returns the value of the session cookie for a token.
func sessionValue(token string) string {
	m := hmac.New(sha256.New, []byte(token))
	m.Write([]byte(sessionLabel))
	return hex.EncodeToString(m.Sum(nil))
}

// secretsEqual compares two secrets in constant time. The secrets are hashed
// first, so that the time doesn't depend on their lengths either.
func secretsEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// isAuthorized reports whether a request may make changes: it carries the token
// or the session cookie, or the server requires no token.
func (s *Server) isAuthorized(c echo.Context) bool {
	if s.token == "" {
		return true
	}
	token, isBearer := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if isBearer {
		return secretsEqual(token, s.token)
	}
	cookie, err := c.Cookie(sessionCookie)
	return err == nil && secretsEqual(cookie.Value, sessionValue(s.token))
}

// requireToken rejects requests that aren't authorized.
func (s *Server) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.isAuthorized(c) {
			return httpjson.WriteError(c, s.rejectUnauthorized(c.Request()))
		}
		return next(c)
	}
}

// rejectUnauthorized logs an unauthorized request and returns its error.
func (s *Server) rejectUnauthorized(r *http.Request) error {
	s.logAccessRefused(r, status.ErrUnauthorized)
	return status.ErrUnauthorized
}

func (s *Server) logAccessRefused(r *http.Request, err error) {
	remote, _ := netip.ParseAddrPort(r.RemoteAddr)
	event.AccessRefused.Emit(s.log, event.Reason(status.CodeOf(err)), event.Address(remote))
}

// contentSecurityPolicy allows the console's pages to load stylesheets from the
// console and to submit forms to it. It forbids the pages to load anything else, and
// all sites to embed the pages.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

// setSecurityHeaders sets the headers that restrict what a browser does with a
// response.
func setSecurityHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		h.Set(echo.HeaderContentSecurityPolicy, contentSecurityPolicy)
		h.Set(echo.HeaderXContentTypeOptions, "nosniff")
		h.Set(echo.HeaderReferrerPolicy, "same-origin")
		h.Set(echo.HeaderCacheControl, "no-store")
		return next(c)
	}
}

// requireSameOrigin rejects changes that a browser sends on behalf of another
// site. If the server requires no token, it also rejects every request whose Host
// header is a name other than localhost.
func (s *Server) requireSameOrigin(next http.Handler) http.Handler {
	protection := http.NewCrossOriginProtection()
	deny := http.HandlerFunc(s.denyCrossOrigin)
	protection.SetDenyHandler(deny)
	protected := protection.Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.token == "" && !isIPOrLocalhost(r.Host) {
			deny(w, r)
			return
		}
		protected.ServeHTTP(w, r)
	})
}

// isIPOrLocalhost reports whether the Host header of a request is an IP address
// or localhost. Without a token, the server rejects all other names, since they
// allow DNS rebinding: a site can point its own name at this host, and a browser
// then treats the site's pages as being of the same origin as the console.
func isIPOrLocalhost(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

func (s *Server) denyCrossOrigin(w http.ResponseWriter, r *http.Request) {
	s.logAccessRefused(r, status.ErrCrossOrigin)
	w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.WriteHeader(status.ErrCrossOrigin.HTTPStatus())
	_ = json.NewEncoder(w).Encode(wire.ErrorBodyOf(status.ErrCrossOrigin))
}
