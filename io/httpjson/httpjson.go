// Package httpjson implements clients and servers for JSON messages over HTTP.
//
// Invariant: every error response has a wire.ErrorBody with a stable code, both
// at the server and at the client. The package holds no state except the
// client's connections.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// ErrNotConnected means that no connection could be made, so that the request had
// no effect. It is a status.ErrUnreachable.
var ErrNotConnected = errors.WithMessage(status.ErrUnreachable, "no connection")

// ErrConnectionRefused means that the VM at the address answered that no process listens
// there. It is an ErrNotConnected.
var ErrConnectionRefused = errors.WithMessage(ErrNotConnected, "refused")

// maxResponseBytes is the size of the largest accepted response. It exceeds
// wire.MaxControlBody, because a list of the values in the platform's store may
// be larger than one control message.
const maxResponseBytes = 256 << 20

// Client calls HTTP servers with JSON messages. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	token string
	meter *Meter
	// dialTimeout is the longest time to make a connection, or 0 for no limit.
	dialTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithToken makes the client send token as a bearer token with each request,
// unless token is empty.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithMeter makes m count the bytes of the client's connections.
func WithMeter(m *Meter) Option { return func(c *Client) { c.meter = m } }

// WithDialTimeout makes calls fail with ErrNotConnected if no connection was made
// within d. It has no effect together with WithMeter.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// NewClient returns a client whose calls time out after timeout.
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
	if c.dialTimeout > 0 {
		t.DialContext = (&net.Dialer{Timeout: c.dialTimeout}).DialContext
	}
	if c.meter != nil {
		t.DialContext = c.meter.dial
	}
	return c
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends in as the JSON body of a request to path at address a, and decodes
// the response into out. Either may be nil. If no usable response arrived, Call
// returns status.ErrUnreachable, and whether the request took effect is unknown
// unless the error is ErrNotConnected. An error response is returned as a
// *ResponseError.
func (c *Client) Call(ctx context.Context, method string, a netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	if c.token != "" {
		req.Header.Set(echo.HeaderAuthorization, "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	var op *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.WithMessage(ErrConnectionRefused, err.Error())
	case errors.As(err, &op) && op.Op == "dial":
		return errors.WithMessage(ErrNotConnected, err.Error())
	case err != nil:
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	return readResponse(resp, out)
}

func readResponse(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return newResponseError(b)
	}
	if out == nil {
		return nil
	}
	// Unknown fields are allowed, because later versions may add fields to
	// responses. Only requests are decoded strictly.
	if err := json.Unmarshal(b, out); err != nil {
		return errors.WithMessage(status.ErrUnreachable, err.Error())
	}
	return nil
}

// ResponseError is the error of a response that has a wire.ErrorBody. It keeps the
// whole body, which may contain more than the fields of wire.ErrorBody.
type ResponseError struct {
	err error
	// Body is the JSON body of the response.
	Body []byte
}

// Error implements the error interface.
func (r *ResponseError) Error() string { return r.err.Error() }

// Unwrap returns the error of package status that the response describes.
func (r *ResponseError) Unwrap() error { return r.err }

func newResponseError(b []byte) error {
	var e wire.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Code == "" {
		return errors.WithMessage(status.ErrUnreachable, "error response without a code")
	}
	return &ResponseError{e.Err(), b}
}

// Decode decodes the JSON body of a request into v as wire.Decode does, up to
// wire.MaxControlBody bytes.
func Decode(c echo.Context, v any) error {
	b, err := wire.ReadBody(c.Request().Body, wire.MaxControlBody)
	if err != nil {
		return err
	}
	done, err := ReserveDecoding(c.Request().Context(), wire.DecodedBytes(b, math.MaxInt))
	if err != nil {
		return err
	}
	defer done()
	return wire.Unmarshal(b, v)
}

// WriteError responds to a request with the HTTP status and error body of err.
func WriteError(c echo.Context, err error) error {
	if after := status.RetryAfterOf(err); after > 0 {
		SetRetryAfter(c.Response().Header(), after)
	}
	return c.JSON(status.HTTPStatusOf(err), wire.ErrorBodyOf(err))
}

// SetRetryAfter sets the Retry-After header to after, in seconds rounded up.
func SetRetryAfter(h http.Header, after time.Duration) {
	seconds := int(math.Ceil(after.Seconds()))
	h.Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
}

// NewServer returns an Echo instance that responds to all errors, including
// those of Echo, with a wire.ErrorBody.
func NewServer() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.Use(limitHeaderSize)
	return e
}

// maxRequestHeaderBytes is the largest accepted total size of the header names
// and values of a request.
const maxRequestHeaderBytes = 32 << 10

// limitHeaderSize rejects requests with oversized headers with
// status.ErrHeaderTooLarge. The limit of the http.Server is higher, because its error
// response has no code.
func limitHeaderSize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		size := 0
		for name, values := range c.Request().Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		if size > maxRequestHeaderBytes {
			return status.ErrHeaderTooLarge
		}
		return next(c)
	}
}

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		err = statusErrorOf(httpErr.Code)
	}
	// The connection is closed, because the rest of the request body is not read.
	c.Response().Header().Set("Connection", "close")
	_ = WriteError(c, err)
}

func statusErrorOf(code int) error {
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
