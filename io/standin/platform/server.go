package platform

import (
	"net/http"
	"sync"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/platform"

	"github.com/labstack/echo/v4"
)

// Faults are the faults that a Server injects.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay wire.Duration `json:"delay"`
	// DropResponses is the number of further writes whose response is dropped
	// after the store has processed them. Calls that grant, renew or revoke a
	// lease are writes as well.
	DropResponses int `json:"lose-answers"`
}

// Server serves a Store over HTTP and injects faults.
type Server struct {
	store *Store

	mu     sync.Mutex
	faults Faults
}

// NewServer returns a server for s.
func NewServer(s *Store) *Server { return &Server{store: s} }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) dropsResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

// Handler returns the handler of the HTTP interface of the store.
func (s *Server) Handler() http.Handler {
	e := httpjson.NewServer()
	e.POST("/kv/get", s.get)
	e.POST("/kv/list", s.list)
	e.POST("/kv/put", s.put)
	e.POST("/kv/delete", s.delete)
	e.POST("/kv/watch", s.watch)
	e.POST("/leases/grant", s.grant)
	e.POST("/leases/keep-alive", s.keepAlive)
	e.POST("/leases/revoke", s.revoke)
	e.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.store.CallCounts()) })
	e.POST("/faults", s.setFaults)
	return e
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := httpjson.Decode(c, &f); err != nil {
		return httpjson.WriteError(c, err)
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// receive applies the faults Delay and Down to a call, and decodes the request into
// v.
func (s *Server) receive(c echo.Context, v any) error {
	f := s.currentFaults()
	if f.Delay > 0 {
		time.Sleep(f.Delay.Std())
	}
	if f.Down {
		return status.ErrStoreUnavailable
	}
	return httpjson.Decode(c, v)
}

// respondToWrite writes the response to a write, or closes the connection if the
// response is to be dropped.
func (s *Server) respondToWrite(c echo.Context, v any, err error) error {
	if s.dropsResponse() {
		panic(http.ErrAbortHandler)
	}
	return respond(c, v, err)
}

func respond(c echo.Context, v any, err error) error {
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

func (s *Server) get(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	e, err := s.store.Get(c.Request().Context(), m.Key)
	return respond(c, e, err)
}

func (s *Server) list(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	l, err := s.store.List(c.Request().Context(), m.Key)
	return respond(c, l, err)
}

func (s *Server) put(c echo.Context) error {
	var m platform.Write
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	rev, err := s.store.Put(c.Request().Context(), m)
	return s.respondToWrite(c, platform.RevisionMessage{Revision: rev}, err)
}

func (s *Server) delete(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.Delete(c.Request().Context(), m.Key, m.Expect)
	return s.respondToWrite(c, platform.RevisionMessage{}, err)
}

func (s *Server) watch(c echo.Context) error {
	var m platform.WatchMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	l, err := s.store.Watch(c.Request().Context(), m.Prefix, m.After)
	if s.currentFaults().Down {
		err = status.ErrStoreUnavailable
	}
	return respond(c, l, err)
}

func (s *Server) grant(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	id, err := s.store.Grant(c.Request().Context(), m.TTL.Std())
	return s.respondToWrite(c, platform.LeaseMessage{Lease: id}, err)
}

func (s *Server) keepAlive(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.KeepAlive(c.Request().Context(), m.Lease)
	return s.respondToWrite(c, m, err)
}

func (s *Server) revoke(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.receive(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.Revoke(c.Request().Context(), m.Lease)
	return s.respondToWrite(c, m, err)
}
