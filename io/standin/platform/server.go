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

// Faults are the switches of the stand-in.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// Delay holds every call.
	Delay wire.Duration `json:"delay"`
	// LoseAnswers drops this many answers of writes that took effect.
	DropResponses int `json:"lose-answers"`
}

// Server serves a Store over HTTP with switches for its faults.
type Server struct {
	store *Store

	mu     sync.Mutex
	faults Faults
}

// NewServer returns a server of s.
func NewServer(s *Store) *Server { return &Server{store: s} }

// Set replaces the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

// Handler returns the HTTP mapping of the store.
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

// admit decodes a message and applies the switches that precede an effect.
func (s *Server) admit(c echo.Context, v any) error {
	f := s.current()
	if f.Delay > 0 {
		time.Sleep(f.Delay.Std())
	}
	if f.Down {
		return status.ErrStoreUnavailable
	}
	return httpjson.Decode(c, v)
}

// answer writes the answer of a write, unless its loss was switched on.
func (s *Server) answer(c echo.Context, v any, err error) error {
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	return reply(c, v, err)
}

func reply(c echo.Context, v any, err error) error {
	if err != nil {
		return httpjson.WriteError(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

func (s *Server) get(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	e, err := s.store.Get(c.Request().Context(), m.Key)
	return reply(c, e, err)
}

func (s *Server) list(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	l, err := s.store.List(c.Request().Context(), m.Key)
	return reply(c, l, err)
}

func (s *Server) put(c echo.Context) error {
	var m platform.Write
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	rev, err := s.store.Put(c.Request().Context(), m)
	return s.answer(c, platform.RevisionMessage{Revision: rev}, err)
}

func (s *Server) delete(c echo.Context) error {
	var m platform.KeyMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.Delete(c.Request().Context(), m.Key, m.Expect)
	return s.answer(c, platform.RevisionMessage{}, err)
}

func (s *Server) watch(c echo.Context) error {
	var m platform.WatchMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	l, err := s.store.Watch(c.Request().Context(), m.Prefix, m.After)
	if s.current().Down {
		err = status.ErrStoreUnavailable
	}
	return reply(c, l, err)
}

func (s *Server) grant(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	id, err := s.store.Grant(c.Request().Context(), m.TTL.Std())
	return s.answer(c, platform.LeaseMessage{Lease: id}, err)
}

func (s *Server) keepAlive(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.KeepAlive(c.Request().Context(), m.Lease)
	return s.answer(c, m, err)
}

func (s *Server) revoke(c echo.Context) error {
	var m platform.LeaseMessage
	if err := s.admit(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	err := s.store.Revoke(c.Request().Context(), m.Lease)
	return s.answer(c, m, err)
}
