package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"rosemarygap/core/event"
	core "rosemarygap/core/operator"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/platform"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Refusal is the answer to a document that did not take effect.
type Refusal struct {
	wire.ErrorBody
	Faults  []core.Fault   `json:"faults,omitempty"`
	Current *core.Accepted `json:"current,omitempty"`
}

func (s *Server) getConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		return httpjson.Fail(c, status.ErrNoConfiguration)
	}
	return c.JSON(http.StatusOK, a)
}

// putConfig takes an edit: the revision it is based on, a change id and the
// whole new document.
func (s *Server) putConfig(c echo.Context) error {
	var edit core.Accepted
	if err := httpjson.Decode(c, &edit); err != nil {
		return s.refuse(c, err, nil, nil)
	}
	if edit.ChangeID == "" {
		return s.refuse(c, status.At(status.ErrMissingField, "change-id", ""), nil, nil)
	}
	if faults := core.Check(&edit.Document); len(faults) > 0 {
		return s.refuse(c, status.ErrConfigInvalid, faults, nil)
	}
	ctx := c.Request().Context()
	accepted, current, err := applyEdit(ctx, s.store, edit)
	if err != nil {
		return s.refuse(c, err, nil, current)
	}
	event.ConfigAccepted.Emit(s.log, event.Revision(accepted.Revision))
	return c.JSON(http.StatusOK, accepted)
}

func (s *Server) refuse(c echo.Context, err error, faults []core.Fault, current *core.Accepted) error {
	event.ConfigRefused.Emit(s.log, event.Reason(status.CodeOf(err)))
	body := Refusal{wire.BodyOf(err), faults, current}
	return c.JSON(status.HTTPStatusOf(err), body)
}

// applyEdit writes an edit with compare-and-swap. On a conflict it returns
// what is in force.
func applyEdit(ctx context.Context, s platform.Store, edit core.Accepted) (done, current *core.Accepted, err error) {
	rev, now, err := readConfig(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	if now.ChangeID == edit.ChangeID {
		return now, nil, nil
	}
	if now.Revision != edit.Revision {
		return nil, now, status.ErrConfigConflict
	}
	if err := core.CheckEdit(now, &edit.Document); err != nil {
		return nil, nil, err
	}
	edit.Revision++
	v, err := json.Marshal(edit)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode configuration")
	}
	_, err = s.Put(ctx, platform.Write{Key: coreplatform.ConfigKey, Value: v, Expect: rev})
	if err == nil {
		return &edit, nil, nil
	}
	return settleEdit(ctx, s, edit, err)
}

// settleEdit finds out by the change id whether a write whose answer is
// missing or conflicting took effect.
func settleEdit(ctx context.Context, s platform.Store, edit core.Accepted, cause error) (done, current *core.Accepted, err error) {
	_, now, err := readConfig(ctx, s)
	if err != nil {
		return nil, nil, cause
	}
	if now.ChangeID == edit.ChangeID {
		return now, nil, nil
	}
	if errors.Is(cause, status.ErrStoreConflict) {
		return nil, now, status.ErrConfigConflict
	}
	return nil, nil, cause
}

// readConfig returns the configuration in the store and its store revision;
// an empty one at revision 0 if there is none.
func readConfig(ctx context.Context, s platform.Store) (int64, *core.Accepted, error) {
	var a core.Accepted
	e, err := s.Get(ctx, coreplatform.ConfigKey)
	if errors.Is(err, status.ErrNotFound) {
		return 0, &a, nil
	}
	if err != nil {
		return 0, nil, err
	}
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return 0, nil, errors.Wrap(err, "decode configuration")
	}
	return e.Revision, &a, nil
}
