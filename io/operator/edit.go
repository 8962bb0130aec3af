package operator

import (
	"context"
	"encoding/json"
	"time"

	core "rosemarygap/core/operator"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"

	"github.com/pkg/errors"
)

// editRetry is when another try makes sense after the store did not answer.
const editRetry = 2 * time.Second

// stored is the newest configuration that is known, and the store's revision
// of the key that a write must replace.
type stored struct {
	newest *core.AcceptedConfig
	expect int64
}

// applyEdit writes an edit with one compare-and-swap. inForce is what this
// entry knows. On a conflict it returns what is in force. An error other than
// a conflict leaves open whether the edit took effect: the same edit with the
// same change id finds out.
func applyEdit(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig, e *core.Edit) (done, current *core.AcceptedConfig, err error) {
	now, err := readConfig(ctx, s, inForce)
	if err != nil {
		return nil, nil, unsettled(err)
	}
	verdict, next, err := core.EvaluateEdit(now.newest, e)
	if err != nil {
		return nil, nil, err
	}
	if verdict != core.EditCommit {
		return settled(verdict, next, now.newest)
	}
	v, err := json.Marshal(next)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode configuration")
	}
	if len(v) > core.MaxConfigBytes {
		return nil, nil, status.At(status.ErrBodyTooLarge, "document", "")
	}
	_, err = s.Put(ctx, platform.Write{Key: coreplatform.ConfigKey, Value: v, Expect: now.expect})
	if err == nil {
		return next, nil, nil
	}
	return settleEdit(ctx, s, inForce, e, err)
}

// settleEdit reads back whether a write whose answer is missing or
// conflicting took effect. It never writes.
func settleEdit(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig, e *core.Edit, cause error) (done, current *core.AcceptedConfig, err error) {
	now, err := readConfig(ctx, s, inForce)
	if err != nil {
		return nil, nil, unsettled(cause)
	}
	verdict, next, err := core.EvaluateEdit(now.newest, e)
	if err != nil {
		return nil, nil, err
	}
	if verdict == core.EditCommit {
		// The write may be under way still and take effect later.
		return nil, nil, unsettled(cause)
	}
	return settled(verdict, next, now.newest)
}

// settled turns a final verdict into the answer of applyEdit.
func settled(v core.EditOutcome, next, now *core.AcceptedConfig) (done, current *core.AcceptedConfig, err error) {
	switch v {
	case core.EditAlreadyApplied:
		return next, nil, nil
	case core.EditIDReused:
		return nil, now, status.At(status.ErrChangeIDReused, "change-id", "")
	}
	return nil, now, status.ErrConfigConflict
}

// unsettled marks an error after which the same edit may be sent again.
func unsettled(err error) error {
	if errors.Is(err, status.ErrConfigUnusable) {
		return err
	}
	if errors.Is(err, status.ErrStoreConflict) {
		err = status.ErrStoreUnavailable
	}
	return status.RetryIn(err, editRetry)
}

// readConfig returns the newest configuration of the store and this entry. A
// store that lost the key is mended by the next edit, at a higher revision.
func readConfig(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig) (stored, error) {
	newest := &core.AcceptedConfig{}
	e, err := s.Get(ctx, coreplatform.ConfigKey)
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return stored{}, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, newest); err != nil {
			return stored{}, status.At(status.ErrConfigUnusable, coreplatform.ConfigKey, "")
		}
	}
	return stored{core.Newest(newest, inForce), e.Revision}, nil
}
