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

// drainTries bounds the tries of a drain that meets other changes.
const drainTries = 4

// DrainMessage asks that a worker admits no further batch work, or that it
// admits batch work again.
type DrainRequest struct {
	Draining bool   `json:"draining"`
	ChangeID string `json:"change-id"`
}

func (s *Server) putDraining(c echo.Context) error {
	var m DrainRequest
	if err := httpjson.Decode(c, &m); err != nil {
		return httpjson.WriteError(c, err)
	}
	accepted, refusal := s.drain(c.Request().Context(), c.Param("id"), m)
	return answerChange(c, accepted, refusal)
}

// drain changes one worker in the newest document. Since it depends on no
// other value of the document, it is tried again after a conflict.
func (s *Server) drain(ctx context.Context, worker string, m DrainRequest) (done *core.AcceptedConfig, refusal *ErrorResponse) {
	for range drainTries {
		now, err := readConfig(ctx, s.store, s.control.Snapshot().Config)
		if err != nil {
			return nil, s.refusal(unsettled(err))
		}
		if now.newest.Revision == 0 {
			return nil, s.refusal(status.RetryIn(status.ErrNoConfiguration, editRetry))
		}
		if now.newest.HasRecentChange(m.ChangeID) {
			return now.newest, nil
		}
		done, refusal = s.drainAt(ctx, now.newest, worker, m)
		if refusal == nil || !errors.Is(refusal.Err(), status.ErrConfigConflict) {
			return done, refusal
		}
	}
	return done, refusal
}

func (s *Server) drainAt(ctx context.Context, now *core.AcceptedConfig, worker string, m DrainRequest) (*core.AcceptedConfig, *ErrorResponse) {
	d := now.Document
	d.SetDraining(worker, m.Draining)
	b, err := json.Marshal(d)
	if err != nil {
		return nil, s.refusal(errors.Wrap(err, "encode document"))
	}
	return s.change(ctx, editMessage{now.Revision, m.ChangeID, b})
}
