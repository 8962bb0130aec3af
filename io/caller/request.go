package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/event"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/io/endpoint"

	"github.com/labstack/echo/v4"
)

// exchange is one request on its way through this entry.
type exchange struct {
	c     echo.Context
	began time.Time
	q     caller.Request
	// last and tried name the endpoints that got the request.
	last  string
	tried []string
	limit int
}

// serve handles one request of a caller.
func (s *Server) serve(c echo.Context) error {
	x := &exchange{c: c, began: time.Now()}
	x.q.ID = newID()
	x.q.Service = c.Param("service")
	m, err := s.admit(x)
	if err != nil {
		return s.refuse(x, err)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), x.q.Deadline)
	defer cancel()
	release, err := s.claim(ctx, x)
	if err != nil {
		return s.refuse(x, err)
	}
	a, err := s.attempts(ctx, x, s.gate(x.q.Service), m)
	if err != nil {
		return s.refuseReleased(x, err, release)
	}
	return s.answer(x, a)
}

// admit reads a request and checks it against the configuration.
func (s *Server) admit(x *exchange) (*endpoint.Request, error) {
	r := x.c.Request()
	if err := parseIdentity(r, &x.q); err != nil {
		return nil, err
	}
	snap := s.control.Snapshot()
	if snap.Config == nil {
		x.unsure()
		return nil, status.RetryIn(status.ErrNoConfiguration, caller.RetryAfter(retryDelay))
	}
	svc := snap.Config.Document.Service(x.q.Service)
	if svc == nil {
		return nil, status.At(status.ErrUnknownService, "service", x.q.Service)
	}
	if err := parseLimits(r, svc, x.began, &x.q); err != nil {
		return nil, err
	}
	x.limit = svc.QueueLimit
	body, err := s.readBody(x, svc)
	if err != nil {
		return nil, err
	}
	return &endpoint.Request{
		ID:         x.q.ID,
		Method:     r.Method,
		Path:       forwardPath(r, x.q.Service),
		Header:     endpoint.ForwardHeader(r.Header),
		Body:       body,
		Idempotent: x.q.Idempotent,
	}, nil
}

// readBody reads the request's body, for no longer than its deadline.
func (s *Server) readBody(x *exchange, svc *operator.Service) ([]byte, error) {
	r := x.c.Request()
	if r.ContentLength > svc.MaxBodyBytes {
		return nil, status.ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	limits := http.NewResponseController(x.c.Response())
	_ = limits.SetReadDeadline(x.q.Deadline)
	b, err := readBody(r, svc.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	_ = limits.SetReadDeadline(time.Time{})
	return b, nil
}

// unsure notes that an earlier request with the same id may have run, if one
// can exist.
func (x *exchange) unsure() {
	if x.q.NeedsClaim() {
		x.q.MarkRepeated()
	}
}

// claim makes sure that no earlier request with the same id may have run: only
// then may the caller be told not-run. The returned function gives the claim
// up.
func (s *Server) claim(ctx context.Context, x *exchange) (func(), error) {
	if s.claims == nil || !x.q.NeedsClaim() {
		return func() {}, nil
	}
	release, err := s.claims.Claim(ctx, x.q.Service, x.q.ID)
	if err == nil {
		return release, nil
	}
	x.unsure()
	event.ClaimDenied.Emit(s.log, event.Request(x.q.ID), event.Service(x.q.Service),
		event.Reason(status.CodeOf(err)))
	return nil, err
}

func forwardPath(r *http.Request, service string) string {
	p := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if p == "" {
		p = "/"
	}
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}
