package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/process"
)

// unansweredStartTTL is how long a start without an answer may still take effect.
const unansweredStartTTL = job.LateStartWindow

// unansweredStart is a start that the worker did not answer. It may take effect up to
// unansweredStartTTL later, also on a later incarnation under the same ID, which does
// not know that its predecessor stopped the run or ended it.
type unansweredStart struct {
	recordedAt time.Time
	// worker and incarnation identify the worker that the start was sent to.
	worker      string
	incarnation int64
	// stoppedOn is the newest incarnation on which a stop has made the start
	// impossible.
	stoppedOn int64
}

// startsToCancel returns the unanswered starts that were sent to an earlier incarnation
// than that of r and may still take effect on it. It removes those that can no longer
// take effect at all.
func (s *state) startsToCancel(r renewal, now time.Time) []runKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startsInTransit(r.worker, r.incarnation, now)
}

// startsInTransit implements startsToCancel. The caller holds s.mu.
func (s *state) startsInTransit(worker string, incarnation int64, now time.Time) []runKey {
	var out []runKey
	for k, u := range s.unansweredStarts {
		switch {
		case now.Sub(u.recordedAt) > unansweredStartTTL:
			delete(s.unansweredStarts, k)
		case u.worker == worker && u.incarnation != incarnation && u.stoppedOn != incarnation:
			out = append(out, k)
		}
	}
	return out
}

// recordUnanswered records that a start had no answer and may still take
// effect.
func (s *state) recordUnanswered(o job.Order, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredStarts[runKey{o.Task, o.Run}] = unansweredStart{recordedAt: now, worker: o.Worker, incarnation: o.Incarnation}
}

// recordStopped records that a stop has made an unanswered start of k impossible on an
// incarnation of the worker.
func (s *state) recordStopped(k runKey, incarnation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.unansweredStarts[k]; ok {
		u.stoppedOn = incarnation
		s.unansweredStarts[k] = u
	}
}

// cancelLoop cancels unanswered starts of earlier incarnations whenever a renewal finds
// some. Renewals do not wait for it.
func (a *Agent) cancelLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wakeCancel:
			if r, ok := a.state.currentWorker(); ok {
				a.cancelUnansweredStarts(ctx, r)
			}
		}
	}
}

// cancelUnansweredStarts stops the runs whose starts had no answer from an
// earlier incarnation, so that the starts cannot take effect on the current
// one.
func (a *Agent) cancelUnansweredStarts(ctx context.Context, r renewal) {
	for batch := range slices.Chunk(a.state.startsToCancel(r, time.Now()), stopExecutors) {
		var wg sync.WaitGroup
		for _, k := range batch {
			wg.Go(func() { a.cancelUnansweredStart(ctx, r, k) })
		}
		wg.Wait()
	}
	process.Wake(a.wakeReport)
}

func (a *Agent) cancelUnansweredStart(ctx context.Context, r renewal, k runKey) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	_, err := a.worker.Stop(callCtx, r.worker, k.task, k.run, r.epoch)
	a.workerHealth.Observe(err)
	if err == nil {
		a.state.recordStopped(k, r.incarnation)
	}
}
