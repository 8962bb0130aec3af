package scheduler

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// ownerWatchPath is the path at which an entry tells its process. An owner holds the answer
// if the parameter ownerWatchProcess names its process.
const (
	ownerWatchPath    = "/v1/entries/process"
	ownerWatchProcess = "process"
)

// Periods of the watch of the owner's process.
const (
	// ownerWatchWait is how long the owner holds an answer. The connection breaks when
	// its process ends.
	ownerWatchWait = 20 * time.Second
	// ownerWatchTimeout is the timeout of a call.
	ownerWatchTimeout = ownerWatchWait + 2*time.Second
	// ownerDialTimeout is the longest time to make a connection.
	ownerDialTimeout = 300 * time.Millisecond
)

// WithConnectionFailover lets entries hold a connection to the owner and replace an owner
// whose process has ended at once, instead of when its lease expires.
func WithConnectionFailover() Option {
	return func(s *Scheduler) {
		s.ownerWatchClient = httpjson.NewClient(ownerWatchTimeout, httpjson.WithDialTimeout(ownerDialTimeout))
	}
}

// processAnswer identifies the process of an entry.
type processAnswer struct {
	Process int64 `json:"process"`
}

// handleOwnerWatch answers which process this is.
func (s *Scheduler) handleOwnerWatch(x echo.Context) error {
	if s.mirror.isOwner.Load() && x.QueryParam(ownerWatchProcess) == strconv.FormatInt(s.processID, 10) {
		ctx, done := httpjson.Hold(x)
		process.Pause(ctx, ownerWatchWait, s.stop)
		done()
	}
	return x.JSON(http.StatusOK, processAnswer{s.processID})
}

// watchOwnerProcess keeps a call waiting at the owner until ctx ends, and ends the ownership
// of a process that has ended.
func (s *Scheduler) watchOwnerProcess(ctx context.Context) error {
	if s.ownerWatchClient == nil {
		<-ctx.Done()
		return nil
	}
	var w job.OwnerWatch
	for ctx.Err() == nil {
		o, alive := s.mirror.ownership()
		if !alive || !o.Address.IsValid() || s.mirror.isOwner.Load() || s.stopping.Load() {
			process.Pause(ctx, campaignInterval, nil)
			continue
		}
		ended, pause := w.Observe(o, s.probeOwner(ctx, o))
		if !ended {
			process.Pause(ctx, pause, nil)
			continue
		}
		if err := s.endOwnership(ctx, o); err != nil {
			s.mirror.storeHealth.Observe(err)
			process.Pause(ctx, failedCheckPause, nil)
		}
		w = job.OwnerWatch{}
	}
	return nil
}

// probeOwner calls the owner, which holds its answer. The call is abandoned when there is a
// later owner or none.
func (s *Scheduler) probeOwner(ctx context.Context, o job.Ownership) job.Probe {
	switch {
	case o.Process == s.processID:
		// This entry has just claimed the ownership.
		return job.ProbeAnswered
	case o.Address == s.peerAddress():
		// This process listens there, so that a former process of this VM has ended.
		return job.ProbeOtherProcess
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenReplaced(callCtx, cancel, o)
	var answer processAnswer
	path := ownerWatchPath + "?" + ownerWatchProcess + "=" + strconv.FormatInt(o.Process, 10)
	err := s.ownerWatchClient.Call(callCtx, http.MethodGet, o.Address, path, nil, &answer)
	switch {
	case errors.Is(err, httpjson.ErrConnectionRefused):
		return job.ProbeRefused
	case err != nil || answer.Process == 0:
		// An entry of an earlier build does not know the path.
		return job.ProbeUnknown
	case answer.Process != o.Process:
		return job.ProbeOtherProcess
	}
	return job.ProbeAnswered
}

// cancelWhenReplaced calls cancel when o is no longer the live owner, and returns when ctx
// ends.
func (s *Scheduler) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, o job.Ownership) {
	for ctx.Err() == nil {
		process.Pause(ctx, campaignInterval, nil)
		if now, alive := s.mirror.ownership(); now.Epoch != o.Epoch || !alive || s.stopping.Load() {
			cancel()
			return
		}
	}
}

// endOwnership removes the lease of an owner whose process has ended, unless there is a later
// owner, and makes this entry claim the ownership. Faster entries come first, as in a claim.
func (s *Scheduler) endOwnership(ctx context.Context, o job.Ownership) error {
	process.Pause(ctx, s.claimDelay(), nil)
	if now, alive := s.mirror.ownership(); now.Epoch != o.Epoch || !alive || ctx.Err() != nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	item, stored, err := s.readOwner(callCtx)
	if err != nil || stored.Epoch != o.Epoch {
		return err
	}
	if err := s.commitResignation(callCtx, item.Revision); err != nil {
		return err
	}
	event.OwnerEnded.Emit(s.log, event.Entry(o.Holder), event.Epoch(o.Epoch))
	s.claimAtOnce.Store(true)
	process.Wake(s.ownerEnded)
	return nil
}
