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
			return httpjson.WriteError(c, s.unauthorized(c.Request()))
		}
		return next(c)
	}
}

// unauthorized logs and returns the refusal of a change without the token.
func (s *Server) unauthorized(q *http.Request) error {
	s.noteRefused(q, status.ErrUnauthorized)
	return status.ErrUnauthorized
}

func (s *Server) noteRefused(q *http.Request, err error) {
	from, _ := netip.ParseAddrPort(q.RemoteAddr)
	event.AccessRefused.Emit(s.log, event.Reason(status.CodeOf(err)), event.Address(from))
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
func (s *Server) sameOrigin(next http.Handler) http.Handler {
	p := http.NewCrossOriginProtection()
	deny := http.HandlerFunc(s.denyOrigin)
	p.SetDenyHandler(deny)
	guarded := p.Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.token == "" && !byNumber(q.Host) {
			deny(w, q)
			return
		}
		guarded.ServeHTTP(w, q)
	})
}

// byNumber reports whether a request names this host by its IP number, or as
// localhost. Without a token any other name is refused: a site may let its
// own name point here, and a browser then takes its pages for the console's.
func byNumber(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

func (s *Server) denyOrigin(w http.ResponseWriter, q *http.Request) {
	s.noteRefused(q, status.ErrCrossOrigin)
	w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.WriteHeader(status.ErrCrossOrigin.HTTPStatus())
	_ = json.NewEncoder(w).Encode(wire.ErrorBodyOf(status.ErrCrossOrigin))
}
