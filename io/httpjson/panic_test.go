package httpjson

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// A panic of a handler must end its own request alone. The caller gets no answer, which
// means that the outcome is unknown.
func TestPanicOfHandlerEndsOneRequest(t *testing.T) {
	is := is.New(t)
	e := NewServer()
	e.GET("/panic", func(echo.Context) error { panic("test") })
	e.GET("/ok", func(c echo.Context) error { return c.JSON(http.StatusOK, 1) })
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), e)
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- l.Serve() }()
	c := NewClient(time.Second)
	defer c.Close()
	err = c.Call(t.Context(), http.MethodGet, l.Address(), "/panic", nil, nil)
	is.True(errors.Is(err, status.ErrUnreachable) && !errors.Is(err, ErrNotConnected))
	is.NoErr(c.Call(t.Context(), http.MethodGet, l.Address(), "/ok", nil, nil))
	is.NoErr(l.Stop(t.Context()))
	is.NoErr(<-done)
}
