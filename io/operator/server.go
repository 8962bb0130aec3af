// Package operator serves the web console and the JSON API with which operators
// manage the configuration and jobs and inspect the state of the system. Every entry
// serves them; an entry is a process that accepts the requests of callers.
//
// Invariant: a configuration change is one compare-and-swap of one validated
// document. An unknown outcome is resolved by the change id, never by a second
// write. The package has no state except the recent events.
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

// Control is the interface of the control goroutine that the handlers use.
type Control interface {
	// Snapshot returns the current snapshot of the state of this entry.
	Snapshot() *entry.Snapshot
	// Status returns the status of this entry.
	Status() entry.Status
	// Adopt puts a configuration in force at this entry if its revision is higher
	// than that of the configuration in force.
	Adopt(ctx context.Context, a *operator.AcceptedConfig)
	// Submit submits a job. The job is durable when Submit returns nil.
	Submit(ctx context.Context, j worker.Job) error
	// Cancel cancels a job. The cancellation is durable when Cancel returns nil.
	Cancel(ctx context.Context, id string) error
	// Jobs returns the jobs of all cells.
	Jobs(ctx context.Context) ([]worker.JobRow, error)
	// Endpoints returns the endpoints that this entry knows, with their state.
	Endpoints(ctx context.Context) ([]endpoint.Row, error)
	// Workers returns the workers that have announced themselves.
	Workers(ctx context.Context) ([]entry.Worker, error)
}

// Server serves the console and the JSON API.
type Server struct {
	control Control
	store   platform.Store
	peers   *iopeer.Client
	log     hclog.Logger
	token   string
	recent  *RecentEvents
}

// Option configures a Server.
type Option func(*Server)

// WithToken makes changes require the token, unless the token is empty.
func WithToken(token string) Option { return func(s *Server) { s.token = token } }

// WithRecentEvents makes the server serve the events that r keeps.
func WithRecentEvents(r *RecentEvents) Option { return func(s *Server) { s.recent = r } }

// NewServer returns a server that uses ctl for the state of this entry and s as
// the store of the configuration.
func NewServer(ctl Control, s platform.Store, l hclog.Logger, opts ...Option) *Server {
	out := &Server{control: ctl, store: s, peers: iopeer.NewClient(), log: l, recent: NewRecentEvents()}
	for _, o := range opts {
		o(out)
	}
	return out
}

// Handler returns the HTTP handler of the console and the JSON API.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.Use(setSecurityHeaders)
	e.GET("/api/config", s.getConfig)
	e.PUT("/api/config", s.putConfig, s.requireToken)
	e.GET("/api/schema", s.getSchema)
	e.GET("/api/status", s.getStatus)
	e.GET("/api/events", s.listEvents)
	e.GET("/api/endpoints", s.listEndpoints)
	e.GET("/api/workers", s.listWorkers)
	e.PUT("/api/workers/:id/draining", s.putDraining, s.requireToken)
	e.PUT("/api/zones/:zone/draining", s.putZoneDraining, s.requireToken)
	e.GET("/api/jobs", s.listJobs)
	e.POST("/api/jobs", s.submitJob, s.requireToken)
	e.DELETE("/api/jobs/:id", s.cancelJob, s.requireToken)
	e.POST("/api/cancellations", s.postCancellations, s.requireToken)
	s.registerConsole(e)
	return s.requireSameOrigin(e)
}
