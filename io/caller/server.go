// Package caller implements the HTTP interface for callers. It accepts their
// requests, forwards them to endpoints, and sends exactly one final response to
// each.
//
// Invariant: every response to a request carries the request's id and outcome,
// and an error response also the code of the error. The handlers share the
// immutable snapshot and, for each service, one admissionController with its own
// lock.
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

// Control is the part of the control goroutine that the handlers use.
type Control interface {
	// Snapshot returns the current snapshot of the entry's state.
	Snapshot() *entry.Snapshot
	// AnnounceEndpoint applies an endpoint's announcement.
	AnnounceEndpoint(ctx context.Context, a coreendpoint.Announcement) error
	// AnnounceWorker applies a worker's announcement.
	AnnounceWorker(ctx context.Context, a peer.WorkerAnnouncement) error
}

// Server handles the requests of callers, and the announcements of endpoints and
// workers.
type Server struct {
	control Control
	client  *endpoint.Client
	policy  coreendpoint.Policy
	log     hclog.Logger

	observer Observer
	claimer  Claimer
	// admissions holds one *admissionController for each service, by name.
	admissions sync.Map
}

// Claimer decides whether a request whose id the caller chose may be dispatched.
type Claimer interface {
	// Claim returns a nil error if no request with this id was dispatched
	// before and none will be under another claim. It returns
	// status.ErrRepeatedRequest if another claim of the id exists, and
	// status.ErrRepeatUnsure if this cannot be determined. The function
	// release must be called if the request was not run.
	Claim(ctx context.Context, service, id string) (release func(), err error)
}

// Option configures a Server.
type Option func(*Server)

// WithPolicy sets the policy that picks the endpoint of each dispatch.
func WithPolicy(p coreendpoint.Policy) Option {
	return func(s *Server) { s.policy = p }
}

// WithObserver reports each dispatch to o.
func WithObserver(o Observer) Option {
	return func(s *Server) { s.observer = o }
}

// WithClaimer sets the Claimer that detects repeated ids. Without one, the
// server only ensures that its own attempts for one request do not run it twice.
func WithClaimer(c Claimer) Option {
	return func(s *Server) { s.claimer = c }
}

// NewServer returns a server that dispatches requests through client.
func NewServer(control Control, client *endpoint.Client, log hclog.Logger, opts ...Option) *Server {
	s := &Server{control: control, client: client, policy: coreendpoint.TwoChoices{}, log: log}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the handler of the callers' interface.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.Any("/services/:service", s.serve)
	e.Any("/services/:service/*", s.serve)
	e.POST("/announcements/endpoints", s.announceEndpoint)
	e.POST("/announcements/workers", s.announceWorker)
	return e
}

// admissionOf returns the admissionController of a service.
func (s *Server) admissionOf(service string) *admissionController {
	if ac, ok := s.admissions.Load(service); ok {
		return ac.(*admissionController)
	}
	ac, _ := s.admissions.LoadOrStore(service, &admissionController{
		policy: s.policy,
		candidates: func() []coreendpoint.Candidate {
			return s.control.Snapshot().Endpoints.Candidates(service)
		},
	})
	return ac.(*admissionController)
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

// defaultRetryAfter is the delay that callers are told when there is no better
// estimate.
const defaultRetryAfter = time.Second

// maxAttempts is the maximum number of dispatches of one request.
const maxAttempts = 3
