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

// configRetryDelay is the time after which a client may repeat a request that
// failed because the store was unavailable or there was no configuration yet.
const configRetryDelay = 2 * time.Second

// latestConfig is the newer of the configurations in the store and in force, with
// the store's revision of the key, which a compare-and-swap must expect.
type latestConfig struct {
	config        *core.AcceptedConfig
	storeRevision int64
}

// applyEdit writes an edit with one compare-and-swap. inForce is the
// configuration in force at this entry. On a conflict applyEdit returns the
// current configuration. After an error with a retry delay, the edit may or may
// not have taken effect; the client finds out by sending the same edit with the
// same change id again.
func applyEdit(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig, e *core.Edit) (accepted, current *core.AcceptedConfig, err error) {
	latest, err := readConfig(ctx, s, inForce)
	if err != nil {
		return nil, nil, retryableError(err)
	}
	outcome, next, err := core.EvaluateEdit(latest.config, e)
	if err != nil {
		return nil, nil, err
	}
	if outcome != core.EditCommit {
		return editResult(outcome, next, latest.config)
	}
	v, err := json.Marshal(next)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode configuration")
	}
	if len(v) > core.MaxConfigBytes {
		return nil, nil, status.At(status.ErrBodyTooLarge, "document", "")
	}
	_, err = s.Put(ctx, platform.Write{Key: coreplatform.ConfigKey, Value: v, Expect: latest.storeRevision})
	if err == nil {
		return next, nil, nil
	}
	return resolveEdit(ctx, s, inForce, e, err)
}

// resolveEdit determines from the store whether a write took effect after its
// response was lost or reported a conflict. It never writes.
func resolveEdit(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig, e *core.Edit, cause error) (accepted, current *core.AcceptedConfig, err error) {
	latest, err := readConfig(ctx, s, inForce)
	if err != nil {
		return nil, nil, retryableError(cause)
	}
	outcome, next, err := core.EvaluateEdit(latest.config, e)
	if err != nil {
		return nil, nil, err
	}
	if outcome == core.EditCommit {
		// The write may still be in flight and take effect later.
		return nil, nil, retryableError(cause)
	}
	return editResult(outcome, next, latest.config)
}

// editResult returns the results of applyEdit for an outcome other than
// EditCommit.
func editResult(outcome core.EditOutcome, next, latest *core.AcceptedConfig) (accepted, current *core.AcceptedConfig, err error) {
	switch outcome {
	case core.EditAlreadyApplied:
		return next, nil, nil
	case core.EditIDReused:
		return nil, latest, status.At(status.ErrChangeIDReused, "change-id", "")
	}
	return nil, latest, status.ErrConfigConflict
}

// retryableError returns err with a retry delay, after which the client may send
// the same edit again. A conflict of the compare-and-swap is returned as
// ErrStoreUnavailable. An unusable configuration is not retryable.
func retryableError(err error) error {
	if errors.Is(err, status.ErrConfigUnusable) {
		return err
	}
	if errors.Is(err, status.ErrStoreConflict) {
		err = status.ErrStoreUnavailable
	}
	return status.RetryIn(err, configRetryDelay)
}

// readConfig returns the newer of the configurations in the store and at this
// entry. If the store lost the key, the next edit writes it again, at a higher
// revision than the configuration in force.
func readConfig(ctx context.Context, s platform.Store, inForce *core.AcceptedConfig) (latestConfig, error) {
	newest := &core.AcceptedConfig{}
	e, err := s.Get(ctx, coreplatform.ConfigKey)
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return latestConfig{}, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, newest); err != nil {
			return latestConfig{}, status.At(status.ErrConfigUnusable, coreplatform.ConfigKey, "")
		}
	}
	return latestConfig{core.Newest(newest, inForce), e.Revision}, nil
}
