package guard

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygap/core/caller"
	core "rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/httpjson"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Server forwards requests to the endpoint.
type Server struct {
	options Options
	log     hclog.Logger
	client  *endpoint.Client
	load    *core.Load
	// leaving is true after the leaving period. The guard then refuses requests.
	leaving atomic.Bool

	mu     sync.Mutex
	ledger *caller.Ledger
}

// NewServer returns the server of one endpoint's guard.
func NewServer(o Options, l hclog.Logger, opts ...endpoint.Option) *Server {
	return &Server{options: o, log: l, client: endpoint.NewClient(o.Connections, opts...),
		load: core.NewLoad(o.Slots), ledger: caller.NewLedger()}
}

// Handler returns the handler of requests from entries.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.Any("/*", s.serve)
	return e
}

func (s *Server) serve(c echo.Context) error {
	r, w := c.Request(), c.Response()
	id := r.Header.Get(endpoint.HeaderRequestID)
	w.Header().Set(endpoint.HeaderRequestID, id)
	if s.leaving.Load() {
		return s.respondNotRun(c, status.ErrStopping)
	}
	req, err := readRequest(r)
	if err != nil {
		return s.respondNotRun(c, err)
	}
	if !s.load.Acquire() {
		return s.respondNotRun(c, status.ErrQueueFull)
	}
	defer s.load.Release()
	claim := caller.Claim{Service: s.options.Service, ID: id, Token: uuid.NewString()}
	if !req.Idempotent && id != "" && s.recordClaim(claim) == caller.Repeated {
		event.RepeatDropped.Emit(s.log, event.Request(id), event.Endpoint(s.options.ID))
		w.Header().Set(endpoint.HeaderRepeated, "true")
		return c.NoContent(http.StatusConflict)
	}
	return s.forward(c, req, claim)
}

// forward sends the request to the endpoint and its response back to the entry.
func (s *Server) forward(c echo.Context, req *endpoint.Request, claim caller.Claim) error {
	to := &core.Candidate{Announcement: core.Announcement{ID: s.options.ID, Address: s.options.Endpoint}}
	resp, result, err := s.client.Dispatch(c.Request().Context(), to, req)
	switch {
	case err != nil && (result == caller.NotSent || result == caller.Refused):
		s.mu.Lock()
		s.ledger.Release(claim)
		s.mu.Unlock()
		return s.respondNotRun(c, err)
	case err != nil:
		// The entry must not take an error response of the guard for the
		// endpoint's response.
		panic(http.ErrAbortHandler)
	}
	w := c.Response()
	endpoint.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil || resp.Rest == nil {
		return nil
	}
	defer resp.Rest.Close()
	if _, err := io.Copy(w, resp.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (s *Server) recordClaim(c caller.Claim) caller.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Record(c, time.Now())
}

// respondNotRun reports to the entry that the request was not run.
func (s *Server) respondNotRun(c echo.Context, err error) error {
	c.Response().Header().Set(endpoint.HeaderNotRun, string(status.CodeOf(err)))
	return c.NoContent(http.StatusServiceUnavailable)
}

// readRequest reads a request from an entry.
func readRequest(r *http.Request) (*endpoint.Request, error) {
	b, err := wire.ReadAll(io.LimitReader(r.Body, operator.MaxBodyBytes+1))
	if errors.Is(err, status.ErrOverloaded) || errors.Is(err, status.ErrBodyTooLarge) {
		return nil, err
	}
	if err != nil {
		return nil, errors.WithMessage(status.ErrCallerCancelled, err.Error())
	}
	if len(b) > operator.MaxBodyBytes {
		return nil, status.ErrBodyTooLarge
	}
	return &endpoint.Request{
		ID:         r.Header.Get(endpoint.HeaderRequestID),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Header:     endpoint.ForwardHeader(r.Header),
		Body:       b,
		Idempotent: r.Header.Get(endpoint.HeaderIdempotent) == "true",
	}, nil
}
