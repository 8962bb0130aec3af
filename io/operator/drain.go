package operator

import (
	"context"
	"encoding/json"

	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// maxDrainAttempts is the maximum number of attempts of a drain that conflicts
// with concurrent changes.
const maxDrainAttempts = 4

// DrainRequest is a request to start or end the draining of a worker, which
// admits no further batch work while it drains.
type DrainRequest struct {
	Draining bool   `json:"draining"`
	ChangeID string `json:"change-id"`
}

func (s *Server) putDraining(c echo.Context) error {
	var req DrainRequest
	if err := httpjson.Decode(c, &req); err != nil {
		return httpjson.WriteError(c, err)
	}
	accepted, errResp := s.setDraining(c.Request().Context(), c.Param("id"), req)
	return respondToChange(c, accepted, errResp)
}

// changeIDFor returns the id of the change in the configuration. It differs for
// each worker, since the forms of one page have one change id.
func (r *DrainRequest) changeIDFor(worker string) string {
	if r.ChangeID == "" {
		return ""
	}
	return r.ChangeID + "/" + worker
}

// setDraining starts or ends the draining of one worker in the newest document.
// The change depends on no other value of the document, so it is retried after a
// conflict. If a recent change of the worker has the change id of req,
// setDraining returns the newest configuration without a further change.
func (s *Server) setDraining(ctx context.Context, worker string, req DrainRequest) (accepted *core.AcceptedConfig, errResp *ErrorResponse) {
	return s.drainWorkers(ctx, []string{worker}, req.changeIDFor(worker), req.Draining)
}

// drainWorkers starts or ends the draining of workers like setDraining, in one change
// with the given change id.
func (s *Server) drainWorkers(ctx context.Context, workers []string, changeID string, draining bool) (accepted *core.AcceptedConfig, errResp *ErrorResponse) {
	for range maxDrainAttempts {
		latest, err := readConfig(ctx, s.store, s.control.Snapshot().Config)
		if err != nil {
			return nil, s.rejectChange(retryableError(err))
		}
		if latest.config.Revision == 0 {
			return nil, s.rejectChange(status.RetryIn(status.ErrNoConfiguration, configRetryDelay))
		}
		if latest.config.HasRecentChange(changeID) {
			return latest.config, nil
		}
		accepted, errResp = s.applyDraining(ctx, latest.config, workers, changeID, draining)
		if errResp == nil || !errors.Is(errResp.Err(), status.ErrConfigConflict) {
			return accepted, errResp
		}
	}
	return accepted, errResp
}

// applyDraining makes one attempt to apply the change to the configuration base.
func (s *Server) applyDraining(ctx context.Context, base *core.AcceptedConfig, workers []string, changeID string, draining bool) (*core.AcceptedConfig, *ErrorResponse) {
	d := base.Document
	for _, worker := range workers {
		d.SetDraining(worker, draining)
	}
	b, err := json.Marshal(d)
	if err != nil {
		return nil, s.rejectChange(errors.Wrap(err, "encode document"))
	}
	return s.applyChange(ctx, editRequest{base.Revision, changeID, b})
}
