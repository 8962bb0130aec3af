package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"rosemarygap/core/event"
	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
)

// maxChangeID bounds a change id, in bytes.
const maxChangeID = 128

// Refusal is the answer to a document that did not take effect.
type ErrorResponse struct {
	wire.ErrorBody
	Faults []core.Fault `json:"faults,omitempty"`
	// Edited is the revision that a conflicting document was edited from.
	Edited  int64                `json:"edited-revision,omitempty"`
	Current *core.AcceptedConfig `json:"current,omitempty"`
	// Differences are the fields in which the document differs from Current.
	Differences []core.Difference `json:"differences,omitempty"`
}

// editMessage is an Edit whose document is not checked yet.
type editMessage struct {
	Revision int64           `json:"revision"`
	ChangeID string          `json:"change-id"`
	Document json.RawMessage `json:"document"`
}

func (s *Server) getConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		return httpjson.WriteError(c, status.RetryIn(status.ErrNoConfiguration, editRetry))
	}
	return c.JSON(http.StatusOK, a)
}

// putConfig takes an edit: the revision it is based on, a change id and the
// whole new document.
func (s *Server) putConfig(c echo.Context) error {
	var m editMessage
	if err := httpjson.Decode(c, &m); err != nil {
		return answerChange(c, nil, s.refusal(err))
	}
	accepted, refusal := s.change(c.Request().Context(), m)
	return answerChange(c, accepted, refusal)
}

// answerChange answers a change of the configuration.
func answerChange(c echo.Context, accepted *core.AcceptedConfig, refusal *ErrorResponse) error {
	if refusal == nil {
		return c.JSON(http.StatusOK, accepted)
	}
	if d := refusal.RetryAfter.Std(); d > 0 {
		httpjson.SetRetryAfter(c.Response().Header(), d)
	}
	return c.JSON(status.HTTPStatusOf(refusal.Err()), refusal)
}

// change is the one way by which a configuration takes effect: the forms, the
// command line and drains all end here. Just one of its results is not nil.
func (s *Server) change(ctx context.Context, m editMessage) (*core.AcceptedConfig, *ErrorResponse) {
	if m.ChangeID == "" {
		return nil, s.refusal(status.At(status.ErrMissingField, "change-id", ""))
	}
	if len(m.ChangeID) > maxChangeID {
		return nil, s.refusal(status.At(status.ErrOutOfRange, "change-id", m.ChangeID[:maxChangeID]))
	}
	d, faults := core.Parse(m.Document)
	if len(faults) > 0 {
		r := s.refusal(status.ErrConfigInvalid)
		r.Faults = faults
		return nil, r
	}
	e := &core.Edit{Revision: m.Revision, ChangeID: m.ChangeID, Document: *d}
	done, current, err := applyEdit(ctx, s.store, s.control.Snapshot().Config, e)
	if err != nil {
		return nil, s.conflict(err, e, current)
	}
	event.ConfigAccepted.Emit(s.log, event.Revision(done.Revision))
	metrics.GetOrCreateCounter(`rosemarygap_config_edits_total{result="accepted"}`).Inc()
	if len(done.RecentChanges) > 0 {
		s.control.Adopt(ctx, done)
	}
	return done, nil
}

func (s *Server) refusal(err error) *ErrorResponse {
	event.ConfigRefused.Emit(s.log, event.Reason(status.CodeOf(err)))
	metrics.GetOrCreateCounter(`rosemarygap_config_edits_total{result="refused"}`).Inc()
	return &ErrorResponse{ErrorBody: wire.ErrorBodyOf(err)}
}

// conflict describes a refusal with both revisions and the differences.
func (s *Server) conflict(err error, e *core.Edit, current *core.AcceptedConfig) *ErrorResponse {
	r := s.refusal(err)
	if current != nil {
		r.Edited, r.Current = e.Revision, current
		r.Differences = core.Diff(&current.Document, &e.Document)
	}
	return r
}
