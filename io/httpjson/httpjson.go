// Package httpjson carries JSON messages over HTTP between processes.
//
// Invariant: every refused message has a wire.ErrorBody with a stable code, on
// both sides. The package owns no state but the client's connections.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// maxAnswer is the largest accepted answer, in bytes. A list of the values
// of the platform's store may exceed one control message.
const maxAnswer = 256 << 20

// Client sends messages. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	token string
	meter *Meter
}

// Option changes how a Client behaves.
type Option func(*Client)

// WithToken sends a bearer token with each message, unless it is empty.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithMeter counts the bytes of the client's connections.
func WithMeter(m *Meter) Option { return func(c *Client) { c.meter = m } }

// NewClient returns a client whose calls last at most timeout.
func NewClient(timeout time.Duration, opts ...Option) *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c := &Client{http: &http.Client{Transport: t, Timeout: timeout}}
	for _, o := range opts {
		o(c)
	}
	if c.meter != nil {
		t.DialContext = c.meter.dial
	}
	return c
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends in to the path at address a and decodes the answer into out.
// Either may be nil. status.ErrUnreachable means that no answer arrived;
// whether the message took effect is unknown then.
func (c *Client) Call(ctx context.Context, method string, a netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode message")
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "build message")
	}
	r.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	if c.token != "" {
		r.Header.Set(echo.HeaderAuthorization, "Bearer "+c.token)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	defer w.Body.Close()
	return readAnswer(w, out)
}

func readAnswer(w *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	if w.StatusCode >= http.StatusBadRequest {
		return refusal(b)
	}
	if out == nil {
		return nil
	}
	// Answers may gain fields in later versions; only requests are strict.
	if err := json.Unmarshal(b, out); err != nil {
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	return nil
}

// Refusal is a coded refusal with the whole body that carried it, which may
// say more than the code.
type ResponseError struct {
	cause error
	// Body is the answer as JSON.
	Body []byte
}

// Error implements error.
func (r *ResponseError) Error() string { return r.cause.Error() }

// Unwrap returns the coded error.
func (r *ResponseError) Unwrap() error { return r.cause }

func refusal(b []byte) error {
	var e wire.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Code == "" {
		return errors.WithMessage(status.ErrUnreachable, "answer without a code")
	}
	return &ResponseError{e.Err(), b}
}

// Decode reads the body of a request strictly into v.
func Decode(c echo.Context, v any) error {
	return wire.Decode(c.Request().Body, wire.MaxControlBody, v)
}

// Fail answers a request with the code of err.
func WriteError(c echo.Context, err error) error {
	if after := status.RetryAfterOf(err); after > 0 {
		SetRetryAfter(c.Response().Header(), after)
	}
	return c.JSON(status.HTTPStatusOf(err), wire.ErrorBodyOf(err))
}

// SetRetryAfter sets the standard header, in whole seconds rounded up.
func SetRetryAfter(h http.Header, after time.Duration) {
	s := int(math.Ceil(after.Seconds()))
	h.Set(echo.HeaderRetryAfter, strconv.Itoa(s))
}

// NewServer returns an echo instance whose own errors carry codes.
func NewServer() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.Use(limitHeaders)
	return e
}

// maxHeaders is the largest accepted sum of a message's headers, in bytes.
const maxHeaders = 32 << 10

// limitHeaders refuses oversized headers with a code. The server's own limit
// lies higher, because its refusal carries none.
func limitHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		size := 0
		for name, values := range c.Request().Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		if size > maxHeaders {
			return status.ErrHeaderTooLarge
		}
		return next(c)
	}
}

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = codedHTTPError(he.Code)
	}
	// The rest of a refused body is not read, so the connection ends.
	c.Response().Header().Set("Connection", "close")
	_ = WriteError(c, err)
}

func codedHTTPError(code int) error {
	switch code {
	case http.StatusNotFound:
		return status.ErrNotFound
	case http.StatusMethodNotAllowed:
		return status.ErrMethodNotServed
	case http.StatusRequestEntityTooLarge:
		return status.ErrBodyTooLarge
	default:
		return status.ErrInternal
	}
}
