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

// enqueueOrders adds received orders to the queue. It does not block, so that the
// agent goes on receiving stops while its worker answers nothing.
func (a *Agent) enqueueOrders(orders []job.Order, epoch int64) {
	now := time.Now()
	for _, o := range orders {
		a.orders.push(queuedOrder{Order: o, epoch: epoch, receivedAt: now})
	}
}

// executeAny executes orders of the queue until ctx ends.
func (a *Agent) executeAny(ctx context.Context) error { return a.execute(ctx, false) }

// executeStops executes orders of the queue whose next call is a stop, until ctx ends.
func (a *Agent) executeStops(ctx context.Context) error { return a.execute(ctx, true) }

func (a *Agent) execute(ctx context.Context, stopsOnly bool) error {
	for {
		o, ok := a.orders.next(ctx, stopsOnly)
		if !ok {
			return nil
		}
		outcome := a.attempt(ctx, &o)
		switch {
		case outcome != "":
			a.logOutcome(&o, outcome)
		case o.unconfirmed:
			a.postponeStart(o)
		case o.isStop() && o.calls > 0:
			time.AfterFunc(retryPause, func() { a.orders.push(o) })
		default:
			a.orders.push(o)
		}
	}
}

func (a *Agent) logOutcome(o *queuedOrder, outcome string) {
	now := time.Now()
	waited := o.waited(now)
	elapsed := now.Sub(o.receivedAt) - waited
	countOrder(o.Kind, outcome, waited, elapsed)
	event.OrderCarriedOut.Emit(a.log, event.Task(o.Task), event.Attempt(int(o.Run)), event.Worker(o.Worker),
		event.Decision(string(o.Kind)), event.Outcome(outcome), event.Waited(waited), event.Elapsed(elapsed), event.Epoch(o.epoch))
}

// attempt makes one call for an order. It returns the outcome for the log, or "" if
// the order needs another call.
func (a *Agent) attempt(ctx context.Context, o *queuedOrder) string {
	if o.isStop() {
		return a.attemptStop(ctx, o)
	}
	return a.attemptStart(ctx, o)
}

// attemptStart makes one call to start a run. It repeats a call without an answer,
// which is safe because a worker starts a run only once. If no attempt is answered, the
// worker starts to drain or its lease was reported to have ended, it revokes the start,
// so that no attempt can still take effect.
func (a *Agent) attemptStart(ctx context.Context, o *queuedOrder) string {
	if a.state.isSettled(o.Order) {
		if o.calls == 0 {
			return "withdrawn"
		}
		return "settled"
	}
	leaseUntil, ok := a.state.checkOrder(o.Order, o.epoch)
	switch permission := a.state.permitStart(time.Now()); {
	case !ok, o.calls >= maxStartAttempts:
		o.revoke()
		return ""
	case a.state.isJobCancelled(o.Order):
		return a.refuseStart(o, "cancelled")
	case permission == startOutdated:
		return a.refuseStart(o, "outdated")
	case permission == startEvacuated:
		return a.refuseStart(o, "evacuated")
	case permission == startUnconfirmed:
		o.unconfirmed = true
		return ""
	}
	o.unconfirmed = false
	o.beginCall(time.Now())
	a.state.recordSent(o.Order, time.Now())
	err := a.startOnce(ctx, o, leaseUntil)
	var refused *platform.OrderRefusedError
	switch {
	case err == nil:
		a.state.recordOutcome(o.Order, runStarted, "", time.Now())
		return "started"
	case errors.As(err, &refused):
		return a.refuseStart(o, refused.Reason)
	case errors.Is(err, platform.ErrNoEffect):
		return a.refuseStart(o, "unhealthy")
	case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
		return "superseded"
	case errors.Is(err, platform.ErrNotSent) && !o.unanswered && time.Since(a.startedAt) >= unansweredStartTTL:
		// The process before this sent no call either that could still take effect.
		a.state.recordNotSent(o.Order, time.Now())
		process.Wake(a.wakeReport)
		return "not-sent"
	}
	o.unanswered = true
	a.state.recordUnanswered(o.Order, time.Now())
	if ctx.Err() != nil {
		return "stopping"
	}
	return ""
}

func (a *Agent) startOnce(ctx context.Context, o *queuedOrder, leaseUntil time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	_, err := a.worker.Start(callCtx, platform.StartRequest{Worker: o.Worker, Task: o.Task, Run: o.Run,
		Payload: o.Payload, LeaseUntil: leaseUntil, Token: o.epoch, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
	return err
}

// refuseStart ends a start that the worker refused or that must not be sent any more. It
// returns the outcome for the log, or "" if the run must be stopped first, because a
// call for it may still take effect: one without an answer, or one of the process
// before this, whose starts the owner repeats. The worker refuses any further call for
// an old run.
func (a *Agent) refuseStart(o *queuedOrder, reason string) string {
	if reason != platform.RefusedOldRun && (o.unanswered || time.Since(a.startedAt) < unansweredStartTTL) {
		o.revoke()
		return ""
	}
	a.closeRun(o.Order, reason)
	return reason
}

// closeRun records that a run was refused or stopped, and requests a new list of
// runs. The run is reported as absent only if it is missing in that list.
func (a *Agent) closeRun(o job.Order, reason string) {
	a.state.recordOutcome(o, runClosed, reason, time.Now())
	process.Wake(a.wakeRenewal)
}

// attemptStop makes one call to stop a run. The order needs further calls until the
// worker has answered or the order is superseded.
func (a *Agent) attemptStop(ctx context.Context, o *queuedOrder) string {
	stop := o.Order
	stop.Kind = job.OrderStop
	if _, ok := a.state.checkOrder(stop, o.epoch); !ok {
		return "superseded"
	}
	o.beginCall(time.Now())
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	_, err := a.worker.Stop(callCtx, o.Worker, o.Task, o.Run, o.epoch)
	switch {
	case err == nil:
		a.state.recordStopped(runKey{o.Task, o.Run}, o.Incarnation)
		a.closeRun(o.Order, "stopped")
		return "stopped"
	case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOtherIncarnation):
		return "superseded"
	case errors.Is(err, platform.ErrOrderRefused):
		a.closeRun(o.Order, "stopped")
		return "refused"
	case ctx.Err() != nil:
		return "stopping"
	}
	return ""
}
