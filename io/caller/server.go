// Package caller serves callers: it takes their requests in, and gives each
// exactly one final answer.
//
// Invariant: every answer carries its request's id, outcome and code. The
// handlers share nothing but the immutable snapshot and atomic counters.
package caller

import (
	"context"
	"net/http"
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
	AnnounceWorker(ctx context.Context, n peer.WorkerNotice) error
}

// Server handles requests and announcements.
type Server struct {
	control Control
	client  *endpoint.Client
	policy  coreendpoint.Policy
	log     hclog.Logger
}

// Option changes how a Server behaves.
type Option func(*Server)

// WithPolicy sets the choice among endpoints.
func WithPolicy(p coreendpoint.Policy) Option {
	return func(s *Server) { s.policy = p }
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

// Headers of the callers' interface.
const (
	HeaderRequestID  = endpoint.HeaderRequestID
	HeaderIdempotent = "Rosemarygap-Idempotent"
	HeaderDeadline   = "Rosemarygap-Deadline"
	HeaderOutcome    = "Rosemarygap-Outcome"
	HeaderCode       = "Rosemarygap-Code"
	HeaderEndpoint   = "Rosemarygap-Endpoint"
	HeaderAttempts   = "Rosemarygap-Attempts"
)

// retryDelay is the delay told to callers when nothing better is known.
const retryDelay = time.Second

// maxAttempts bounds the dispatches of one request.
const maxAttempts = 3
