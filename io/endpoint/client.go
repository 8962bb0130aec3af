// Package endpoint sends requests to endpoints.
//
// Invariant: one call of Dispatch sends a request at most once, because the
// transport never resends a request on its own. The result states what the
// attempt proved. The package owns the connections to endpoints.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"rosemarygap/core/caller"
	core "rosemarygap/core/endpoint"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Headers of the HTTP interface between entries and endpoints.
const (
	HeaderRequestID  = "Rosemarygap-Request-Id"
	HeaderAttempt    = "Rosemarygap-Attempt"
	HeaderIdempotent = "Rosemarygap-Idempotent"
	HeaderDeadline   = "Rosemarygap-Deadline"
	// HeaderNotRun may be set by an endpoint only if it did not run the
	// request.
	HeaderNotRun = "Rosemarygap-Not-Run"
	// HeaderRepeated is set by a guard, the optional sidecar process of an
	// endpoint, that dropped a non-idempotent request because it had already
	// forwarded a request with the same id.
	HeaderRepeated = "Rosemarygap-Repeated"
)

// Limits of connections and of buffered responses.
const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	defaultBufferBytes = 1 << 20
	// maxIDEchoers is the maximum number of addresses in Client.idEchoers.
	maxIDEchoers = 16384
)

// Request is a request to forward to an endpoint.
type Request struct {
	ID         string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Attempt    int
}

// Response is an endpoint's response. Rest is nil if Body holds the complete
// body. Otherwise Rest holds the part after Body and must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Client dispatches requests. It is safe for concurrent use.
type Client struct {
	pooled      *http.Transport
	unpooled    *http.Transport
	bufferBytes int64

	mu sync.Mutex
	// idEchoers holds the addresses of endpoints whose responses carry the
	// request's id. Only their connections are reused, because a late
	// response to an earlier request can be detected only by its id.
	idEchoers map[netip.AddrPort]struct{}
}

// Option configures a Client.
type Option func(*Client)

// WithDial replaces the TCP dialer.
func WithDial(d DialFunc) Option {
	return func(c *Client) {
		c.pooled.DialContext = countingDial(d)
		c.unpooled.DialContext = countingDial(d)
	}
}

// WithBufferSize sets how many bytes of a response are read before any of it is
// forwarded. A shorter response that breaks off is never forwarded.
func WithBufferSize(n int64) Option { return func(c *Client) { c.bufferBytes = n } }

// NewClient returns a client with at most perHost pooled connections to one
// endpoint.
func NewClient(perHost int, opts ...Option) *Client {
	c := &Client{pooled: newTransport(), unpooled: newTransport(), bufferBytes: defaultBufferBytes,
		idEchoers: make(map[netip.AddrPort]struct{})}
	c.pooled.MaxConnsPerHost = perHost
	c.pooled.MaxIdleConnsPerHost = perHost
	c.unpooled.DisableKeepAlives = true
	WithDial((&net.Dialer{Timeout: dialTimeout}).DialContext)(c)
	for _, o := range opts {
		o(c)
	}
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Dispatch sends req once to an endpoint and returns what the attempt proved. The
// response is non-nil only if the result is caller.Complete, or if Rest remains
// to be read.
func (c *Client) Dispatch(ctx context.Context, to *core.Candidate, req *Request) (*Response, caller.Result, error) {
	conns := &connTracker{}
	// The process may have been paused since the endpoint was picked.
	if to.Load != nil && !to.Load.Usable(time.Now()) {
		return nil, caller.NotSent, status.ErrEndpointFailed
	}
	httpReq, err := newHTTPRequest(conns.withTrace(ctx), to, req)
	if err != nil {
		return nil, caller.NotSent, err
	}
	if isDeadlineExpired(ctx) {
		return nil, caller.NotSent, status.ErrDeadlineExceeded
	}
	httpResp, err := c.transportFor(httpReq, to).RoundTrip(httpReq)
	if err != nil {
		return nil, resultWithoutResponse(conns.sealConns()), dispatchError(ctx, err)
	}
	c.recordIDEcho(to.Address, httpResp.Header.Get(HeaderRequestID) == req.ID)
	if result, err := checkResponse(conns, httpResp, req); err != nil {
		httpResp.Body.Close()
		return nil, result, err
	}
	return c.readResponse(ctx, httpResp)
}

// isDeadlineExpired reports whether the deadline of ctx has passed by the wall
// clock. The monotonic clock, which ctx uses, may stop while a VM is paused.
func isDeadlineExpired(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && !time.Now().Round(0).Before(d.Round(0))
}

// transportFor returns the pooled transport if the endpoint echoes request ids
// and net/http cannot resend r on its own. Otherwise it returns the transport
// that uses a new connection for each request.
func (c *Client) transportFor(r *http.Request, to *core.Candidate) *http.Transport {
	c.mu.Lock()
	_, echoes := c.idEchoers[to.Address]
	c.mu.Unlock()
	if !echoes || mayResend(r) {
		return c.unpooled
	}
	return c.pooled
}

// recordIDEcho records whether an endpoint's responses carry the request's id.
func (c *Client) recordIDEcho(addr netip.AddrPort, echoes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !echoes {
		delete(c.idEchoers, addr)
		return
	}
	if len(c.idEchoers) >= maxIDEchoers {
		clear(c.idEchoers)
	}
	c.idEchoers[addr] = struct{}{}
}

// mayResend reports whether net/http may send r again after a failure on a
// reused connection.
func mayResend(r *http.Request) bool {
	return r.Body == nil && (r.Method == http.MethodTrace ||
		r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != "")
}

// onlyReader hides all methods of a body but Read, so that the transport cannot
// rewind the body and resend the request.
type onlyReader struct{ io.Reader }

// requestBody returns the body to send. For a method that net/http would resend,
// it returns an empty body that is not nil, because net/http sends that as no
// body but never resends the request.
func requestBody(req *Request) io.Reader {
	if len(req.Body) > 0 {
		return onlyReader{bytes.NewReader(req.Body)}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return onlyReader{bytes.NewReader(nil)}
	}
	return nil
}

func newHTTPRequest(ctx context.Context, to *core.Candidate, req *Request) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+to.Address.String()+req.Path, requestBody(req))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	httpReq.ContentLength = int64(len(req.Body))
	httpReq.Header = req.Header.Clone()
	httpReq.Header.Set(HeaderRequestID, req.ID)
	httpReq.Header.Set(HeaderAttempt, strconv.Itoa(req.Attempt))
	httpReq.Header.Set(HeaderIdempotent, strconv.FormatBool(req.Idempotent))
	if d, ok := ctx.Deadline(); ok {
		httpReq.Header.Set(HeaderDeadline, time.Until(d).String())
	}
	return httpReq, nil
}

func resultWithoutResponse(notSent bool) caller.Result {
	if notSent {
		return caller.NotSent
	}
	return caller.Indeterminate
}

func dispatchError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithMessage(status.ErrDeadlineExceeded, err.Error())
	}
	if ctx.Err() != nil {
		return errors.WithMessage(status.ErrCallerCancelled, err.Error())
	}
	return errors.WithMessage(status.ErrEndpointFailed, err.Error())
}
