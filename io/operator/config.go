package operator

import (
	"bytes"
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

// maxChangeIDBytes is the maximum length of a change id.
const maxChangeIDBytes = 128

// ErrorResponse is the response to a request that failed. For a rejected
// configuration change it says why the document did not take effect.
type ErrorResponse struct {
	wire.ErrorBody
	Faults []core.Fault `json:"faults,omitempty"`
	// Edited is the revision on which a conflicting document is based.
	Edited  int64                `json:"edited-revision,omitempty"`
	Current *core.AcceptedConfig `json:"current,omitempty"`
	// Differences lists the fields in which the document differs from Current.
	Differences []core.Difference `json:"differences,omitempty"`
}

// editRequest is a core.Edit whose document has not been validated yet.
type editRequest struct {
	Revision int64           `json:"revision"`
	ChangeID string          `json:"change-id"`
	Document json.RawMessage `json:"document"`
}

func (s *Server) getConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		return httpjson.WriteError(c, status.RetryIn(status.ErrNoConfiguration, configRetryDelay))
	}
	return c.JSON(http.StatusOK, a)
}

// putConfig applies an edit, which consists of the revision on which it is
// based, a change id and the complete new document.
func (s *Server) putConfig(c echo.Context) error {
	var req editRequest
	if err := httpjson.Decode(c, &req); err != nil {
		return respondToChange(c, nil, s.rejectChange(err))
	}
	accepted, errResp := s.applyChange(c.Request().Context(), req)
	return respondToChange(c, accepted, errResp)
}

// respondToChange writes the response to a configuration change.
func respondToChange(c echo.Context, accepted *core.AcceptedConfig, errResp *ErrorResponse) error {
	if errResp == nil {
		return c.JSON(http.StatusOK, accepted)
	}
	if d := errResp.RetryAfter.Std(); d > 0 {
		httpjson.SetRetryAfter(c.Response().Header(), d)
	}
	return c.JSON(status.HTTPStatusOf(errResp.Err()), errResp)
}

// validationCost is the memory for the validation of one object of a document whose objects
// are all faulty, in bytes. Each fault has a description of its place and cause.
const validationCost = 3 << 10

// applyChange validates and applies a configuration change. All changes use it:
// those of the forms, the command line and drains. Exactly one of its results is
// not nil.
func (s *Server) applyChange(ctx context.Context, req editRequest) (*core.AcceptedConfig, *ErrorResponse) {
	if req.ChangeID == "" {
		return nil, s.rejectChange(status.At(status.ErrMissingField, "change-id", ""))
	}
	if len(req.ChangeID) > maxChangeIDBytes {
		return nil, s.rejectChange(status.At(status.ErrOutOfRange, "change-id", req.ChangeID[:maxChangeIDBytes]))
	}
	done, err := httpjson.ReserveDecoding(ctx, int64(bytes.Count(req.Document, []byte("{")))*validationCost)
	if err != nil {
		return nil, s.rejectChange(err)
	}
	defer done()
	d, faults := core.Parse(req.Document)
	if len(faults) > 0 {
		r := s.rejectChange(status.ErrConfigInvalid)
		r.Faults = faults
		return nil, r
	}
	e := &core.Edit{Revision: req.Revision, ChangeID: req.ChangeID, Document: *d}
	accepted, current, err := applyEdit(ctx, s.store, s.control.Snapshot().Config, e)
	if err != nil {
		return nil, s.rejectWithDiff(err, e, current)
	}
	event.ConfigAccepted.Emit(s.log, event.Revision(accepted.Revision))
	metrics.GetOrCreateCounter(`rosemarygap_config_edits_total{result="accepted"}`).Inc()
	// The result of an edit that took effect earlier has no recent changes, so it
	// is incomplete and must not be put in force.
	if len(accepted.RecentChanges) > 0 {
		s.control.Adopt(ctx, accepted)
	}
	return accepted, nil
}

// rejectChange logs and counts a rejected configuration change and returns the
// response to it.
func (s *Server) rejectChange(err error) *ErrorResponse {
	event.ConfigRefused.Emit(s.log, event.Reason(status.CodeOf(err)))
	metrics.GetOrCreateCounter(`rosemarygap_config_edits_total{result="refused"}`).Inc()
	return &ErrorResponse{ErrorBody: wire.ErrorBodyOf(err)}
}

// rejectWithDiff is like rejectChange. If current is not nil, the response has
// both revisions and the differences between their documents.
func (s *Server) rejectWithDiff(err error, e *core.Edit, current *core.AcceptedConfig) *ErrorResponse {
	r := s.rejectChange(err)
	if current != nil {
		r.Edited, r.Current = e.Revision, current
		r.Differences = core.Diff(&current.Document, &e.Document)
	}
	return r
}
