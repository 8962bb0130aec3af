package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/httpjson"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// ErrorResponse is the body of every response that this entry sends itself
// instead of forwarding one from an endpoint.
type ErrorResponse struct {
	wire.ErrorBody
	RequestID string         `json:"request-id"`
	Outcome   caller.Outcome `json:"outcome"`
	Attempts  int            `json:"attempts"`
}

// forwardResponse forwards an endpoint's response to the caller. If the response
// breaks off after part of it was forwarded, forwardResponse aborts the caller's
// connection, so that the caller cannot take the part for a complete response.
func (s *Server) forwardResponse(x *exchange, resp *endpoint.Response) error {
	w := x.c.Response()
	endpoint.CopyHeader(w.Header(), resp.Header)
	w.Header().Set(HeaderRequestID, x.req.ID)
	w.Header().Set(HeaderOutcome, string(caller.Answered))
	w.Header().Set(HeaderEndpoint, x.lastEndpoint)
	w.Header().Set(HeaderAttempts, strconv.Itoa(x.req.Attempts()))
	if resp.Rest == nil {
		s.recordEnd(x, x.req.End(), "")
		w.WriteHeader(resp.Status)
		if len(resp.Body) == 0 {
			return nil
		}
		_, err := w.Write(resp.Body)
		return err
	}
	defer resp.Rest.Close()
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		s.recordEnd(x, x.req.End(), status.ErrCallerCancelled.Code())
		return err
	}
	if _, err := io.Copy(w, resp.Rest); err != nil {
		event.AnswerDropped.Emit(s.log, event.Request(x.req.ID), event.Endpoint(x.lastEndpoint),
			event.Reason(status.ErrEndpointFailed.Code()))
		s.recordEnd(x, x.req.End(), status.ErrEndpointFailed.Code())
		panic(http.ErrAbortHandler)
	}
	x.req.Record(caller.Complete)
	s.recordEnd(x, x.req.End(), "")
	return nil
}

// releaseAndRespondError responds to a failed request with err. If the request
// was not run, it first releases the claim, so that the caller may repeat the
// request.
func (s *Server) releaseAndRespondError(x *exchange, err error, release func()) error {
	if x.req.End() == caller.NotRun {
		release()
	}
	return s.respondError(x, err)
}

// respondError ends a request that has no response from an endpoint and sends
// err as the final response.
func (s *Server) respondError(x *exchange, err error) error {
	outcome := x.req.End()
	body := ErrorResponse{wire.ErrorBodyOf(err), x.req.ID, outcome, x.req.Attempts()}
	h := x.c.Response().Header()
	h.Set(HeaderRequestID, x.req.ID)
	h.Set(HeaderOutcome, string(outcome))
	h.Set(HeaderCode, string(body.Code))
	h.Set(HeaderAttempts, strconv.Itoa(x.req.Attempts()))
	if body.RetryAfter > 0 {
		httpjson.SetRetryAfter(h, body.RetryAfter.Std())
	}
	if errors.Is(err, status.ErrForeignAnswer) {
		event.AnswerDropped.Emit(s.log, event.Request(x.req.ID), event.Endpoint(x.lastEndpoint),
			event.Reason(body.Code))
	}
	s.recordEnd(x, outcome, body.Code)
	return x.c.JSON(status.HTTPStatusOf(err), body)
}

func (s *Server) recordEnd(x *exchange, outcome caller.Outcome, code status.Code) {
	elapsed := time.Since(x.startedAt)
	metrics.GetOrCreateCounter(`rosemarygap_requests_total{outcome="` + string(outcome) + `"}`).Inc()
	metrics.GetOrCreateHistogram("rosemarygap_request_seconds").Update(elapsed.Seconds())
	event.RequestEnded.Emit(s.log, event.Request(x.req.ID), event.Service(x.req.Service),
		event.Outcome(string(outcome)), event.Reason(code), event.Attempt(x.req.Attempts()),
		event.Elapsed(elapsed))
}
