// Package endpoint sends requests to endpoints.
//
// Invariant: one call of Dispatch sends a request at most once; the transport
// never repeats it by itself. The result says what the attempt proved.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"rosemarygap/core/caller"
	core "rosemarygap/core/endpoint"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Headers of the endpoints' interface.
const (
	HeaderRequestID = "Rosemarygap-Request-Id"
	HeaderAttempt   = "Rosemarygap-Attempt"
	// HeaderNotRun is set by an endpoint that truly did not run a request.
	HeaderNotRun = "Rosemarygap-Not-Run"
)

// Limits of connections and of buffered answers.
const (
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	bufferedBytes = 1 << 20
)

// Message is a request as it goes to an endpoint.
type Message struct {
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
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Client dispatches requests. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// NewClient returns a client that keeps at most perHost connections to one
// endpoint.
func NewClient(perHost int) *Client {
	pooled := newTransport()
	pooled.MaxConnsPerHost = perHost
	pooled.MaxIdleConnsPerHost = perHost
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{pooled: pooled, fresh: fresh}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// onlyReader hides all other methods of a body, so that the transport cannot
// rewind it and send the request again.
type onlyReader struct{ io.Reader }

// Dispatch sends m once to an endpoint and says what that proved. The answer
// is not nil only with caller.Whole, or when Rest remains to be read.
func (c *Client) Dispatch(ctx context.Context, to *core.Candidate, m *Message) (*Answer, caller.Result, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), to, m)
	if err != nil {
		return nil, caller.NotSent, err
	}
	w, err := c.transport(m).RoundTrip(r)
	if err != nil {
		return nil, lostUnless(!connected.Load()), failure(ctx, err)
	}
	if w.Header.Get(HeaderNotRun) != "" {
		w.Body.Close()
		return nil, caller.Refused, status.ErrEndpointRefused
	}
	if id := w.Header.Get(HeaderRequestID); id != "" && id != m.ID {
		w.Body.Close()
		return nil, caller.Lost, status.ErrForeignAnswer
	}
	return readAnswer(ctx, w)
}

// transport returns the one that cannot repeat m by itself: net/http repeats
// requests without a body on a pooled connection that turns out to be closed.
func (c *Client) transport(m *Message) *http.Transport {
	if !m.Idempotent && len(m.Body) == 0 {
		return c.fresh
	}
	return c.pooled
}

func newRequest(ctx context.Context, to *core.Candidate, m *Message) (*http.Request, error) {
	var body io.Reader
	if len(m.Body) > 0 {
		body = onlyReader{bytes.NewReader(m.Body)}
	}
	r, err := http.NewRequestWithContext(ctx, m.Method, "http://"+to.Address.String()+m.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.ContentLength = int64(len(m.Body))
	r.Header = m.Header.Clone()
	r.Header.Set(HeaderRequestID, m.ID)
	return r, nil
}

func lostUnless(notSent bool) caller.Result {
	if notSent {
		return caller.NotSent
	}
	return caller.Lost
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

func readAnswer(ctx context.Context, w *http.Response) (*Answer, caller.Result, error) {
	a := &Answer{Status: w.StatusCode, Header: w.Header}
	b, err := io.ReadAll(io.LimitReader(w.Body, bufferedBytes))
	if err != nil {
		w.Body.Close()
		return nil, caller.Lost, failure(ctx, err)
	}
	a.Body = b
	if len(b) == bufferedBytes {
		a.Rest = w.Body
		return a, caller.Lost, nil
	}
	w.Body.Close()
	return a, caller.Whole, nil
}
