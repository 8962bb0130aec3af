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
	"github.com/pkg/errors"
)

// exchange is the state of one request while this entry handles it.
type exchange struct {
	c         echo.Context
	startedAt time.Time
	req       caller.Request
	// triedEndpoints holds the ids of the endpoints to which the request was
	// dispatched, and lastEndpoint the latest of them.
	lastEndpoint   string
	triedEndpoints []string
	queueLimit     int
}

// serve handles one request from a caller.
func (s *Server) serve(c echo.Context) error {
	x := &exchange{c: c, startedAt: time.Now()}
	x.req.ID = newRequestID()
	x.req.Service = c.Param("service")
	fwd, err := s.prepareRequest(x)
	if err != nil {
		return s.respondError(x, err)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), x.req.Deadline)
	defer cancel()
	release, err := s.claimID(ctx, x)
	if err != nil {
		return s.respondError(x, err)
	}
	resp, err := s.dispatchWithRetries(ctx, x, s.admissionOf(x.req.Service), fwd)
	if err != nil {
		return s.releaseAndRespondError(x, err, release)
	}
	return s.forwardResponse(x, resp)
}

// prepareRequest reads a request, checks it against the configuration, and
// returns the request to forward.
func (s *Server) prepareRequest(x *exchange) (*endpoint.Request, error) {
	r := x.c.Request()
	if err := parseIdentity(r, &x.req); err != nil {
		return nil, err
	}
	snap := s.control.Snapshot()
	if snap.Config == nil {
		x.markMaybeRepeated()
		return nil, status.RetryIn(status.ErrNoConfiguration, caller.RetryAfter(defaultRetryAfter))
	}
	svc := snap.Config.Document.Service(x.req.Service)
	if svc == nil {
		return nil, status.At(status.ErrUnknownService, "service", x.req.Service)
	}
	if err := parseMethodAndDeadline(r, svc, x.startedAt, &x.req); err != nil {
		return nil, err
	}
	x.queueLimit = svc.QueueLimit
	body, err := s.readBody(x, svc)
	if err != nil {
		return nil, err
	}
	return &endpoint.Request{
		ID:         x.req.ID,
		Method:     r.Method,
		Path:       forwardPath(r, x.req.Service),
		Header:     endpoint.ForwardHeader(r.Header),
		Body:       body,
		Idempotent: x.req.Idempotent,
	}, nil
}

// readBody reads the request's body until the request's deadline at most.
func (s *Server) readBody(x *exchange, svc *operator.Service) ([]byte, error) {
	r := x.c.Request()
	if r.ContentLength > svc.MaxBodyBytes {
		return nil, status.ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(x.c.Response())
	_ = rc.SetReadDeadline(x.req.Deadline)
	b, err := readBody(r, svc.MaxBodyBytes)
	if errors.Is(err, status.ErrOverloaded) {
		x.markMaybeRepeated()
	}
	if err != nil {
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, nil
}

// markMaybeRepeated records that an earlier request with the same id may have
// run, if the caller can have sent one.
func (x *exchange) markMaybeRepeated() {
	if x.req.NeedsClaim() {
		x.req.MarkRepeated()
	}
}

// claimID claims the request's id, which proves that no earlier request with the
// same id may have run. Without this proof the outcome must not be not-run. The
// returned function releases the claim.
func (s *Server) claimID(ctx context.Context, x *exchange) (func(), error) {
	if s.claimer == nil || !x.req.NeedsClaim() {
		return func() {}, nil
	}
	release, err := s.claimer.Claim(ctx, x.req.Service, x.req.ID)
	if err == nil {
		return release, nil
	}
	x.markMaybeRepeated()
	event.ClaimDenied.Emit(s.log, event.Request(x.req.ID), event.Service(x.req.Service),
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
