package agent

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// carryOut carries orders out, several at a time.
func (a *Agent) carryOut(ctx context.Context, orders []job.Order, epoch int64) {
	for _, o := range orders {
		a.inSlot(ctx, func() {
			begin := time.Now()
			outcome := a.carryOutOne(ctx, o, epoch)
			countOrder(o.Kind, outcome, time.Since(begin))
			event.OrderCarriedOut.Emit(a.log, event.Task(o.Task), event.Attempt(int(o.Run)), event.Worker(o.Worker),
				event.Decision(string(o.Kind)), event.Outcome(outcome), event.Elapsed(time.Since(begin)), event.Epoch(epoch))
		})
	}
}

// inSlot calls f beside at most parallelOrders others, once there is room; it
// does not if ctx ends before.
func (a *Agent) inSlot(ctx context.Context, f func()) {
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-a.slots }()
		f()
	}()
}

func (a *Agent) carryOutOne(ctx context.Context, o job.Order, epoch int64) string {
	if o.Kind == job.OrderStop {
		return a.stop(ctx, o, epoch)
	}
	return a.start(ctx, o, epoch)
}

// start starts a run. A call without an answer is repeated, since a worker
// starts a run once; in the end a stop makes the start impossible.
func (a *Agent) start(ctx context.Context, o job.Order, epoch int64) string {
	for range startTries {
		lease, ok := a.state.current(o, epoch)
		if !ok {
			break
		}
		err := a.startOnce(ctx, o, epoch, lease)
		var refused *platform.OrderRefusedError
		switch {
		case err == nil:
			a.state.decide(o, runStarted, "", time.Now())
			return "started"
		case errors.As(err, &refused):
			a.over(o, refused.Reason)
			return refused.Reason
		case errors.Is(err, platform.ErrNoEffect):
			a.over(o, "unhealthy")
			return "unhealthy"
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
			return "superseded"
		}
		a.state.noteUnanswered(o, time.Now())
		if ctx.Err() != nil {
			return "stopping"
		}
	}
	return a.stop(ctx, o, epoch)
}

func (a *Agent) startOnce(ctx context.Context, o job.Order, epoch int64, lease time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := a.worker.Start(limited, platform.StartRequest{Worker: o.Worker, Task: o.Task, Run: o.Run,
		Payload: o.Payload, LeaseUntil: lease, Token: epoch, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
	return err
}

// over reports that a run never starts, after a list that was asked for now.
func (a *Agent) over(o job.Order, reason string) {
	a.state.decide(o, runOver, reason, time.Now())
	process.Wake(a.kick)
}

// stop stops a run until the worker has answered.
func (a *Agent) stop(ctx context.Context, o job.Order, epoch int64) string {
	for ctx.Err() == nil {
		asked := o
		asked.Kind = job.OrderStop
		if _, ok := a.state.current(asked, epoch); !ok {
			return "superseded"
		}
		limited, cancel := context.WithTimeout(ctx, callLimit)
		_, err := a.worker.Stop(limited, o.Worker, o.Task, o.Run, epoch)
		cancel()
		switch {
		case err == nil:
			a.state.settle(runKey{o.Task, o.Run})
			a.over(o, "stopped")
			return "stopped"
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
			return "superseded"
		case errors.Is(err, platform.ErrOrderRefused):
			a.over(o, "stopped")
			return "refused"
		}
		process.Pause(ctx, retryPause, nil)
	}
	return "stopping"
}
