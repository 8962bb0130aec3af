// Package operator serves operators: the console of forms and the JSON
// interface for configuration, jobs and the state of the system.
//
// Invariant: a change of configuration is one compare-and-swap of one
// validated document; an unknown outcome is resolved by its change id, never
// by a second write. The package owns no state but the recent events.
package operator

import (
	"context"
	"net/http"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
	iopeer "rosemarygap/io/peer"
	"rosemarygap/io/platform"

	"github.com/hashicorp/go-hclog"
)

// Control is what the handlers need of the control goroutine.
type Control interface {
	// Snapshot returns the current picture.
	Snapshot() *entry.Snapshot
	// Status describes this entry.
	Status() entry.Status
	// Adopt puts a configuration in force here, if its revision is higher.
	Adopt(ctx context.Context, a *operator.AcceptedConfig)
	// Submit makes a job durable.
	Submit(ctx context.Context, j worker.Job) error
	// Cancel makes a cancellation durable.
	Cancel(ctx context.Context, id string) error
	// Jobs lists the jobs of all cells.
	Jobs(ctx context.Context) ([]worker.JobRow, error)
	// Endpoints lists the endpoints that are known here, with their state.
	Endpoints(ctx context.Context) ([]endpoint.Row, error)
	// Workers lists the workers that announced themselves.
	Workers(ctx context.Context) ([]entry.Worker, error)
}

// Server handles the operators' interface.
type Server struct {
	control Control
	store   platform.Store
	peers   *iopeer.Client
	log     hclog.Logger
	token   string
	recent  *RecentEvents
}

// Option changes how a Server behaves.
type Option func(*Server)

// WithToken requires a token for changes, unless it is empty.
func WithToken(token string) Option { return func(s *Server) { s.token = token } }

// WithRecent serves the events that r keeps.
func WithRecentEvents(r *RecentEvents) Option { return func(s *Server) { s.recent = r } }

// NewServer returns a server.
func NewServer(ctl Control, s platform.Store, l hclog.Logger, opts ...Option) *Server {
	out := &Server{control: ctl, store: s, peers: iopeer.NewClient(), log: l, recent: NewRecentEvents()}
	for _, o := range opts {
		o(out)
	}
	return out
}

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.Use(secureHeaders)
	e.GET("/api/config", s.getConfig)
	e.PUT("/api/config", s.putConfig, s.authorized)
	e.GET("/api/schema", s.getSchema)
	e.GET("/api/status", s.status)
	e.GET("/api/events", s.listEvents)
	e.GET("/api/endpoints", s.listEndpoints)
	e.GET("/api/workers", s.listWorkers)
	e.PUT("/api/workers/:id/draining", s.putDraining, s.authorized)
	e.GET("/api/jobs", s.listJobs)
	e.POST("/api/jobs", s.submitJob, s.authorized)
	e.DELETE("/api/jobs/:id", s.cancelJob, s.authorized)
	e.POST("/api/cancellations", s.postCancellations, s.authorized)
	s.addConsole(e)
	return s.sameOrigin(e)
}
