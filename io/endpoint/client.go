// Package endpoint sends requests to endpoints.
//
// Invariant: one call of Dispatch sends a request at most once; the transport
// never repeats it by itself. The result says what the attempt proved. The
// package owns the connections to endpoints.
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

// Headers of the endpoints' interface.
const (
	HeaderRequestID  = "Rosemarygap-Request-Id"
	HeaderAttempt    = "Rosemarygap-Attempt"
	HeaderIdempotent = "Rosemarygap-Idempotent"
	HeaderDeadline   = "Rosemarygap-Deadline"
	// HeaderNotRun is set by an endpoint that truly did not run a request.
	HeaderNotRun = "Rosemarygap-Not-Run"
	// HeaderRepeated is set by a guard that dropped a non-idempotent
	// request because its id had been passed on before.
	HeaderRepeated = "Rosemarygap-Repeated"
)

// Limits of connections and of buffered answers.
const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	bufferedBytes  = 1 << 20
	// maxEchoing bounds the remembered addresses.
	maxEchoing = 16384
)

// Message is a request as it goes to an endpoint.
type Request struct {
	ID         string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Attempt    int
}

// Answer is an endpoint's answer. Rest is nil if Body is all of it; it must
// be closed otherwise.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Client dispatches requests. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
	buffer int64

	mu sync.Mutex
	// echoing holds the endpoints whose answers carry the request's id;
	// only their connections are kept, since only there a late answer to
	// an earlier request is recognised.
	echoing map[netip.AddrPort]struct{}
}

// Option changes how a Client behaves.
type Option func(*Client)

// WithDial replaces the TCP dialer.
func WithDial(d DialFunc) Option {
	return func(c *Client) {
		c.pooled.DialContext = counted(d)
		c.fresh.DialContext = counted(d)
	}
}

// WithBuffer sets how many bytes of an answer are read before any of it is
// passed on; a shorter answer that breaks off is never passed on.
func WithBufferSize(n int64) Option { return func(c *Client) { c.buffer = n } }

// NewClient returns a client that keeps at most perHost connections to one
// endpoint.
func NewClient(perHost int, opts ...Option) *Client {
	c := &Client{pooled: newTransport(), fresh: newTransport(), buffer: bufferedBytes,
		echoing: make(map[netip.AddrPort]struct{})}
	c.pooled.MaxConnsPerHost = perHost
	c.pooled.MaxIdleConnsPerHost = perHost
	c.fresh.DisableKeepAlives = true
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

// Close ends idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Dispatch sends m once to an endpoint and says what that proved. The answer
// is not nil only with caller.Whole, or when Rest remains to be read.
func (c *Client) Dispatch(ctx context.Context, to *core.Candidate, m *Request) (*Response, caller.Result, error) {
	x := &exchange{}
	// The process may have been paused since the endpoint was chosen.
	if to.Load != nil && !to.Load.Usable(time.Now()) {
		return nil, caller.NotSent, status.ErrEndpointFailed
	}
	r, err := newRequest(x.traced(ctx), to, m)
	if err != nil {
		return nil, caller.NotSent, err
	}
	if expired(ctx) {
		return nil, caller.NotSent, status.ErrDeadlineExceeded
	}
	w, err := c.transport(r, to).RoundTrip(r)
	if err != nil {
		return nil, lostUnless(x.nothingSent()), failure(ctx, err)
	}
	c.noteEcho(to.Address, w.Header.Get(HeaderRequestID) == m.ID)
	if result, err := checkAnswer(x, w, m); err != nil {
		w.Body.Close()
		return nil, result, err
	}
	return c.readAnswer(ctx, w)
}

// expired judges the deadline by the wall clock as well, since the monotonic
// clock may stand still while a VM is paused.
func expired(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && !time.Now().Round(0).Before(d.Round(0))
}

// transport returns the one that cannot repeat r by itself.
func (c *Client) transport(r *http.Request, to *core.Candidate) *http.Transport {
	c.mu.Lock()
	_, echoes := c.echoing[to.Address]
	c.mu.Unlock()
	if !echoes || repeatable(r) {
		return c.fresh
	}
	return c.pooled
}

// noteEcho remembers whether an endpoint's answers carry the request's id.
func (c *Client) noteEcho(a netip.AddrPort, echoes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !echoes {
		delete(c.echoing, a)
		return
	}
	if len(c.echoing) >= maxEchoing {
		clear(c.echoing)
	}
	c.echoing[a] = struct{}{}
}

// repeatable reports whether net/http may send r again after a failure on a
// kept connection.
func repeatable(r *http.Request) bool {
	return r.Body == nil && (r.Method == http.MethodTrace ||
		r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != "")
}

// onlyReader hides all other methods of a body, so that the transport cannot
// rewind it and send the request again.
type onlyReader struct{ io.Reader }

// body returns the body to send. A method that net/http would repeat gets an
// empty body that is not nil, which goes out as no body and is never repeated.
func body(m *Request) io.Reader {
	if len(m.Body) > 0 {
		return onlyReader{bytes.NewReader(m.Body)}
	}
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return onlyReader{bytes.NewReader(nil)}
	}
	return nil
}

func newRequest(ctx context.Context, to *core.Candidate, m *Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, m.Method, "http://"+to.Address.String()+m.Path, body(m))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.ContentLength = int64(len(m.Body))
	r.Header = m.Header.Clone()
	r.Header.Set(HeaderRequestID, m.ID)
	r.Header.Set(HeaderAttempt, strconv.Itoa(m.Attempt))
	r.Header.Set(HeaderIdempotent, strconv.FormatBool(m.Idempotent))
	if d, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderDeadline, time.Until(d).String())
	}
	return r, nil
}

func lostUnless(notSent bool) caller.Result {
	if notSent {
		return caller.NotSent
	}
	return caller.Indeterminate
}

func failure(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithMessage(status.ErrDeadlineExceeded, err.Error())
	}
	if ctx.Err() != nil {
		return errors.WithMessage(status.ErrCallerCancelled, err.Error())
	}
	return errors.WithMessage(status.ErrEndpointFailed, err.Error())
}
