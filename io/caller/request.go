package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/httpjson"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Refusal is the body of every answer that is not an endpoint's.
type Refusal struct {
	wire.ErrorBody
	RequestID string         `json:"request-id"`
	Outcome   caller.Outcome `json:"outcome"`
	Attempts  int            `json:"attempts"`
}

// exchange is one request on its way through this entry.
type exchange struct {
	c     echo.Context
	began time.Time
	q     caller.Request
	last  string
}

// serve handles one request of a caller.
func (s *Server) serve(c echo.Context) error {
	x := &exchange{c: c, began: time.Now()}
	x.q.ID = requestID(c.Request())
	x.q.Service = c.Param("service")
	m, err := s.admit(x)
	if err != nil {
		return s.refuse(x, err)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), x.q.Deadline)
	defer cancel()
	a, err := s.attempts(ctx, x, m)
	if err != nil {
		return s.refuse(x, err)
	}
	return s.answer(x, a)
}

// admit reads a request and checks it against the configuration.
func (s *Server) admit(x *exchange) (*endpoint.Message, error) {
	snap := s.control.Snapshot()
	if snap.Config == nil {
		return nil, status.RetryIn(status.ErrNoConfiguration, retryDelay)
	}
	svc := snap.Config.Document.Service(x.q.Service)
	if svc == nil {
		return nil, status.At(status.ErrUnknownService, "service", x.q.Service)
	}
	r := x.c.Request()
	q, err := parse(r, svc, x.began)
	if err != nil {
		return nil, err
	}
	q.ID = x.q.ID
	x.q = q
	body, err := readBody(r, svc.MaxBody)
	if err != nil {
		return nil, err
	}
	return &endpoint.Message{
		ID:         q.ID,
		Method:     r.Method,
		Path:       forwardPath(r, q.Service),
		Header:     forwardHeader(r.Header),
		Body:       body,
		Idempotent: q.Idempotent,
	}, nil
}

func forwardPath(r *http.Request, service string) string {
	p := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if p == "" {
		p = "/"
	}
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, f := range h.Values("Connection") {
		for name := range strings.SplitSeq(f, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// attempts dispatches the request until one answer or a final failure.
func (s *Server) attempts(ctx context.Context, x *exchange, m *endpoint.Message) (*endpoint.Answer, error) {
	var failed error
	for x.q.Attempts() < maxAttempts {
		cs := s.control.Snapshot().Endpoints.Candidates(x.q.Service)
		if len(cs) == 0 {
			return nil, status.RetryIn(firstError(failed, status.ErrNoEndpoint), retryDelay)
		}
		to := s.policy.Pick(cs, time.Now())
		if to == nil {
			return nil, status.RetryIn(firstError(failed, status.ErrQueueFull), retryDelay)
		}
		m.Attempt = x.q.Dispatch()
		x.last = to.ID
		event.RequestRouted.Emit(s.log, event.Request(x.q.ID), event.Service(x.q.Service),
			event.Endpoint(to.ID), event.Attempt(m.Attempt))
		a, result, err := s.client.Dispatch(ctx, to, m)
		if err == nil {
			x.q.Record(result)
			return s.released(a, to.Load.Release), nil
		}
		to.Load.Release()
		x.q.Record(result)
		failed = err
		if ctx.Err() != nil || !x.q.MayRetry() {
			return nil, failed
		}
	}
	return nil, status.RetryIn(failed, retryDelay)
}

// released calls release once the rest of the answer is closed.
func (s *Server) released(a *endpoint.Answer, release func()) *endpoint.Answer {
	if a.Rest == nil {
		release()
		return a
	}
	a.Rest = &closer{a.Rest, release}
	return a
}

type closer struct {
	io.ReadCloser
	release func()
}

func (c *closer) Close() error {
	c.release()
	return c.ReadCloser.Close()
}

func firstError(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

// answer passes an endpoint's answer on. An answer that breaks after its
// beginning was passed on ends by closing the connection, so that the caller
// cannot take it for a whole one.
func (s *Server) answer(x *exchange, a *endpoint.Answer) error {
	w := x.c.Response()
	copyHeader(w.Header(), a.Header)
	w.Header().Set(HeaderRequestID, x.q.ID)
	w.Header().Set(HeaderOutcome, string(caller.Answered))
	w.Header().Set(HeaderEndpoint, x.last)
	w.Header().Set(HeaderAttempts, strconv.Itoa(x.q.Attempts()))
	if a.Rest == nil {
		s.ended(x, caller.Answered, "")
		w.WriteHeader(a.Status)
		_, err := w.Write(a.Body)
		return err
	}
	defer a.Rest.Close()
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		s.ended(x, caller.Unknown, status.ErrCallerCancelled.Code())
		return err
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		event.AnswerDropped.Emit(s.log, event.Request(x.q.ID), event.Endpoint(x.last),
			event.Reason(status.ErrEndpointFailed.Code()))
		s.ended(x, caller.Unknown, status.ErrEndpointFailed.Code())
		panic(http.ErrAbortHandler)
	}
	s.ended(x, caller.Answered, "")
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range forwardHeader(from) {
		to[name] = values
	}
}

// refuse gives the final answer of a request that has no endpoint's answer.
func (s *Server) refuse(x *exchange, err error) error {
	outcome := x.q.Outcome()
	body := Refusal{wire.BodyOf(err), x.q.ID, outcome, x.q.Attempts()}
	h := x.c.Response().Header()
	h.Set(HeaderRequestID, x.q.ID)
	h.Set(HeaderOutcome, string(outcome))
	h.Set(HeaderCode, string(body.Code))
	if body.RetryAfter > 0 {
		httpjson.SetRetryAfter(h, body.RetryAfter.Std())
	}
	if errors.Is(err, status.ErrForeignAnswer) {
		event.AnswerDropped.Emit(s.log, event.Request(x.q.ID), event.Endpoint(x.last),
			event.Reason(body.Code))
	}
	s.ended(x, outcome, body.Code)
	return x.c.JSON(status.HTTPStatusOf(err), body)
}

func (s *Server) ended(x *exchange, o caller.Outcome, code status.Code) {
	d := time.Since(x.began)
	metrics.GetOrCreateCounter(`rosemarygap_requests_total{outcome="` + string(o) + `"}`).Inc()
	metrics.GetOrCreateHistogram("rosemarygap_request_seconds").Update(d.Seconds())
	event.RequestEnded.Emit(s.log, event.Request(x.q.ID), event.Service(x.q.Service),
		event.Outcome(string(o)), event.Reason(code), event.Attempt(x.q.Attempts()),
		event.Elapsed(d))
}
