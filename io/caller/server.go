// Package caller serves callers: it takes their requests in, and gives each
// exactly one final answer.
//
// Invariant: every answer carries its request's id, outcome and code. The
// handlers share the immutable snapshot and, for each service, one gate with a
// lock of its own.
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/peer"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/httpjson"

	"github.com/hashicorp/go-hclog"
)

// Control is what the handlers need of the control goroutine.
type Control interface {
	// Snapshot returns the current picture.
	Snapshot() *entry.Snapshot
	// AnnounceEndpoint takes in an endpoint's announcement.
	AnnounceEndpoint(ctx context.Context, a coreendpoint.Announcement) error
	// AnnounceWorker takes in a worker's announcement.
	AnnounceWorker(ctx context.Context, n peer.WorkerAnnouncement) error
}

// Server handles requests and announcements.
type Server struct {
	control Control
	client  *endpoint.Client
	policy  coreendpoint.Policy
	log     hclog.Logger

	observer Observer
	claims   Claimer
	// gates holds one *gate for each service that is configured.
	gates sync.Map
}

// Claims decides whether a request with a caller's id may be dispatched.
type Claimer interface {
	// Claim returns nil if no request with this id was dispatched before
	// and none will be on another claim. It returns
	// status.ErrRepeatedRequest if one may have been. The function gives
	// the claim of a request up that was not run.
	Claim(ctx context.Context, service, id string) (release func(), err error)
}

// Option changes how a Server behaves.
type Option func(*Server)

// WithPolicy sets the choice among endpoints.
func WithPolicy(p coreendpoint.Policy) Option {
	return func(s *Server) { s.policy = p }
}

// WithObserver reports each dispatch to o.
func WithObserver(o Observer) Option {
	return func(s *Server) { s.observer = o }
}

// WithClaims sets who decides on repeated ids; without it, only this entry's
// own attempts are kept from running twice.
func WithClaimer(c Claimer) Option {
	return func(s *Server) { s.claims = c }
}

// NewServer returns a server that dispatches through c.
func NewServer(ctl Control, c *endpoint.Client, l hclog.Logger, opts ...Option) *Server {
	s := &Server{control: ctl, client: c, policy: coreendpoint.TwoChoices{}, log: l}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.Any("/services/:service", s.serve)
	e.Any("/services/:service/*", s.serve)
	e.POST("/announcements/endpoints", s.announceEndpoint)
	e.POST("/announcements/workers", s.announceWorker)
	return e
}

// gate returns the gate of a service.
func (s *Server) gate(service string) *gate {
	if g, ok := s.gates.Load(service); ok {
		return g.(*gate)
	}
	g, _ := s.gates.LoadOrStore(service, &gate{
		policy: s.policy,
		candidates: func() []coreendpoint.Candidate {
			return s.control.Snapshot().Endpoints.Candidates(service)
		},
	})
	return g.(*gate)
}

// Headers of the callers' interface.
const (
	HeaderRequestID  = endpoint.HeaderRequestID
	HeaderIdempotent = endpoint.HeaderIdempotent
	HeaderDeadline   = endpoint.HeaderDeadline
	HeaderOutcome    = "Rosemarygap-Outcome"
	HeaderCode       = "Rosemarygap-Code"
	HeaderEndpoint   = "Rosemarygap-Endpoint"
	HeaderAttempts   = "Rosemarygap-Attempts"
)

// retryDelay is the delay told to callers when nothing better is known.
const retryDelay = time.Second

// maxAttempts bounds the dispatches of one request.
const maxAttempts = 3
