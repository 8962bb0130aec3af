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

// Refusal is the body of every answer that is not an endpoint's.
type ErrorResponse struct {
	wire.ErrorBody
	RequestID string         `json:"request-id"`
	Outcome   caller.Outcome `json:"outcome"`
	Attempts  int            `json:"attempts"`
}

// answer passes an endpoint's answer on. An answer that breaks after its
// beginning was passed on ends by closing the connection, so that the caller
// cannot take it for a whole one.
func (s *Server) answer(x *exchange, a *endpoint.Response) error {
	w := x.c.Response()
	endpoint.CopyHeader(w.Header(), a.Header)
	w.Header().Set(HeaderRequestID, x.q.ID)
	w.Header().Set(HeaderOutcome, string(caller.Answered))
	w.Header().Set(HeaderEndpoint, x.last)
	w.Header().Set(HeaderAttempts, strconv.Itoa(x.q.Attempts()))
	if a.Rest == nil {
		s.ended(x, x.q.End(), "")
		w.WriteHeader(a.Status)
		if len(a.Body) == 0 {
			return nil
		}
		_, err := w.Write(a.Body)
		return err
	}
	defer a.Rest.Close()
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		s.ended(x, x.q.End(), status.ErrCallerCancelled.Code())
		return err
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		event.AnswerDropped.Emit(s.log, event.Request(x.q.ID), event.Endpoint(x.last),
			event.Reason(status.ErrEndpointFailed.Code()))
		s.ended(x, x.q.End(), status.ErrEndpointFailed.Code())
		panic(http.ErrAbortHandler)
	}
	x.q.Record(caller.Complete)
	s.ended(x, x.q.End(), "")
	return nil
}

// refuseReleased gives up the claim of a request that was not run, so that
// the caller may repeat it, and refuses the request.
func (s *Server) refuseReleased(x *exchange, err error, release func()) error {
	if x.q.End() == caller.NotRun {
		release()
	}
	return s.refuse(x, err)
}

// refuse gives the final answer of a request that has no endpoint's answer.
func (s *Server) refuse(x *exchange, err error) error {
	outcome := x.q.End()
	body := ErrorResponse{wire.ErrorBodyOf(err), x.q.ID, outcome, x.q.Attempts()}
	h := x.c.Response().Header()
	h.Set(HeaderRequestID, x.q.ID)
	h.Set(HeaderOutcome, string(outcome))
	h.Set(HeaderCode, string(body.Code))
	h.Set(HeaderAttempts, strconv.Itoa(x.q.Attempts()))
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
