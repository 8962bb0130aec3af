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

// executeOrders executes orders in the background, several of them in parallel.
func (a *Agent) executeOrders(ctx context.Context, orders []job.Order, epoch int64) {
	receivedAt := time.Now()
	waitingOrders.Add(float64(len(orders)))
	for _, o := range orders {
		a.runInSlot(ctx, func() {
			begin := time.Now()
			waitingOrders.Dec()
			outcome := a.executeOrder(ctx, o, epoch)
			countOrder(o.Kind, outcome, begin.Sub(receivedAt), time.Since(begin))
			event.OrderCarriedOut.Emit(a.log, event.Task(o.Task), event.Attempt(int(o.Run)), event.Worker(o.Worker),
				event.Decision(string(o.Kind)), event.Outcome(outcome), event.Waited(begin.Sub(receivedAt)),
				event.Elapsed(time.Since(begin)), event.Epoch(epoch))
		})
	}
}

// runInSlot calls f in a new goroutine. It first waits until fewer than
// maxParallelCalls such goroutines are running, and does not call f if ctx ends
// before that.
func (a *Agent) runInSlot(ctx context.Context, f func()) {
	select {
	case a.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-a.callSlots }()
		f()
	}()
}

// executeOrder executes one order and returns its outcome for the log.
func (a *Agent) executeOrder(ctx context.Context, o job.Order, epoch int64) string {
	if o.Kind == job.OrderStop {
		return a.stop(ctx, o, epoch)
	}
	return a.start(ctx, o, epoch)
}

// start starts a run. It repeats a call without an answer, which is safe
// because a worker starts a run only once. If no attempt is answered, or
// the worker starts to drain, it stops the run, so that no attempt can still
// take effect.
func (a *Agent) start(ctx context.Context, o job.Order, epoch int64) string {
	for range maxStartAttempts {
		leaseUntil, ok := a.state.checkOrder(o, epoch)
		if !ok {
			break
		}
		err := a.startOnce(ctx, o, epoch, leaseUntil)
		var refused *platform.OrderRefusedError
		switch {
		case err == nil:
			a.state.recordOutcome(o, runStarted, "", time.Now())
			return "started"
		case errors.As(err, &refused):
			a.closeRun(o, refused.Reason)
			return refused.Reason
		case errors.Is(err, platform.ErrNoEffect):
			a.closeRun(o, "unhealthy")
			return "unhealthy"
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
			return "superseded"
		}
		a.state.recordUnanswered(o, time.Now())
		if ctx.Err() != nil {
			return "stopping"
		}
	}
	return a.stop(ctx, o, epoch)
}

func (a *Agent) startOnce(ctx context.Context, o job.Order, epoch int64, leaseUntil time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	_, err := a.worker.Start(callCtx, platform.StartRequest{Worker: o.Worker, Task: o.Task, Run: o.Run,
		Payload: o.Payload, LeaseUntil: leaseUntil, Token: epoch, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
	return err
}

// closeRun records that a run was refused or stopped, and requests a new list of
// runs. The run is reported as absent only if it is missing in that list.
func (a *Agent) closeRun(o job.Order, reason string) {
	a.state.recordOutcome(o, runClosed, reason, time.Now())
	process.Wake(a.wakeRenewal)
}

// stop stops a run. It repeats the call until the worker has answered or the
// order is superseded.
func (a *Agent) stop(ctx context.Context, o job.Order, epoch int64) string {
	for ctx.Err() == nil {
		stopOrder := o
		stopOrder.Kind = job.OrderStop
		if _, ok := a.state.checkOrder(stopOrder, epoch); !ok {
			return "superseded"
		}
		callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		_, err := a.worker.Stop(callCtx, o.Worker, o.Task, o.Run, epoch)
		cancel()
		switch {
		case err == nil:
			a.state.removeUnanswered(runKey{o.Task, o.Run})
			a.closeRun(o, "stopped")
			return "stopped"
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
			return "superseded"
		case errors.Is(err, platform.ErrOrderRefused):
			a.closeRun(o, "stopped")
			return "refused"
		}
		process.Pause(ctx, retryPause, nil)
	}
	return "stopping"
}
