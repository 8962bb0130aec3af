// Package operator serves operators: configuration, jobs and the state of the
// system.
//
// Invariant: a change of configuration is one compare-and-swap of one
// validated document; an unknown outcome is resolved by its change id, never
// by a second write. The package owns no state.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
	iopeer "rosemarygap/io/peer"
	"rosemarygap/io/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
)

// Control is what the handlers need of the control goroutine.
type Control interface {
	// Snapshot returns the current picture.
	Snapshot() *entry.Snapshot
	// Status describes this entry.
	Status() entry.Status
	// Adopt puts a configuration in force here, if its revision is higher.
	Adopt(ctx context.Context, a *operator.Accepted)
	// Submit makes a job durable.
	Submit(ctx context.Context, j worker.Job) error
	// Cancel makes a cancellation durable.
	Cancel(ctx context.Context, id string) error
	// Jobs lists the jobs of all cells.
	Jobs(ctx context.Context) ([]worker.JobRow, error)
}

// Server handles the operators' interface.
type Server struct {
	control Control
	store   platform.Store
	peers   *iopeer.Client
	log     hclog.Logger
	token   string
}

// NewServer returns a server; a token, if any, is required for changes.
func NewServer(ctl Control, s platform.Store, l hclog.Logger, token string) *Server {
	return &Server{control: ctl, store: s, peers: iopeer.NewClient(), log: l, token: token}
}

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.GET("/api/config", s.getConfig)
	e.PUT("/api/config", s.putConfig, s.authorized)
	e.GET("/api/status", s.status)
	e.GET("/api/jobs", s.listJobs)
	e.POST("/api/jobs", s.submitJob, s.authorized)
	e.DELETE("/api/jobs/:id", s.cancelJob, s.authorized)
	return e
}

// authorized admits a change only with the token.
func (s *Server) authorized(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		given := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if s.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) != 1 {
			return httpjson.Fail(c, status.ErrUnauthorized)
		}
		return next(c)
	}
}
