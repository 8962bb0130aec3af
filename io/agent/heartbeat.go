package agent

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// maxHeartbeatBytes is the maximum size of a heartbeat.
	maxHeartbeatBytes = 64 << 10
	// maxUnconfirmed is the maximum number of unconfirmed heartbeats.
	maxUnconfirmed = 4
	// unconfirmedTTL is how long an unconfirmed heartbeat is kept. The worker sends the next
	// one after 1.5 s.
	unconfirmedTTL = 5 * time.Second
)

// handleHeartbeat applies a heartbeat. It may come from another writer, also with the ID and
// the address of the worker. So one of another incarnation than the current one counts only
// once the worker confirms it.
func (a *Agent) handleHeartbeat(x echo.Context) error {
	b, err := wire.ReadBody(x.Request().Body, maxHeartbeatBytes)
	if err != nil {
		return err
	}
	done, err := httpjson.ReserveDecoding(x.Request().Context(), wire.DecodedBytes(b, math.MaxInt))
	if err != nil {
		return err
	}
	defer done()
	w, ignored, err := platform.DecodeHeartbeat(x.Param("id"), b)
	switch {
	case err != nil:
	case w.Address != a.cfg.WorkerAddress:
		err = status.At(status.ErrUnknownRef, "address", w.Address.String())
	case a.cfg.Service != "" && w.Service != a.cfg.Service:
		err = status.At(status.ErrUnknownRef, "service", w.Service)
	}
	if err != nil {
		a.logRefused(err)
		return status.At(status.ErrMalformedJSON, "heartbeat", x.Param("id"))
	}
	if ignored != "" {
		event.MessageRefused.Emit(a.log, event.Dependency("worker"), event.Reason(status.Code("ignored field "+ignored)))
	}
	confirmed, changed := a.state.receiveHeartbeat(w, time.Now())
	if !confirmed {
		process.Wake(a.wakeIdentify)
	}
	if changed {
		a.announceWorker(w)
	}
	return x.JSON(http.StatusOK, struct{}{})
}

func (a *Agent) logRefused(err error) {
	event.MessageRefused.Emit(a.log, event.Dependency("worker"), event.Reason(status.Code(err.Error())))
}

// announceWorker logs a change of the worker and reports it to the owner.
func (a *Agent) announceWorker(w job.Worker) {
	state := "ready"
	if w.Draining {
		state = "draining"
	}
	event.WorkerSeen.Emit(a.log, event.Worker(w.ID), event.State(state), event.Incarnation(w.Incarnation))
	a.logUndelivered()
	a.logMisdirected()
	process.Wake(a.wakeRenewal)
	process.Wake(a.wakeReport)
}

// unconfirmedHeartbeat is a heartbeat of another incarnation than the current one.
type unconfirmedHeartbeat struct {
	job.Worker
	receivedAt time.Time
}

// identifies reports whether the two heartbeats are of the same incarnation.
func (h *unconfirmedHeartbeat) identifies(w *job.Worker) bool {
	return h.ID == w.ID && h.Incarnation == w.Incarnation
}

// receiveHeartbeat applies a heartbeat of the current incarnation; changed reports whether
// anything changed that the owner must know. One of a later incarnation is kept until the
// worker confirms it, and confirmed is false.
func (s *state) receiveHeartbeat(w job.Worker, now time.Time) (confirmed, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || w.Incarnation > s.worker.Incarnation {
		s.addUnconfirmed(w, now)
		return false, false
	}
	return true, s.worker.ID == w.ID && s.worker.Incarnation == w.Incarnation && s.updateWorker(w, now)
}

// applyHeartbeat applies a heartbeat that the worker has confirmed. It reports whether it is
// from another incarnation, and whether anything changed that the owner must know.
func (s *state) applyHeartbeat(w job.Worker) (newIncarnation, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.worker
	switch {
	case old == nil:
		s.beginIncarnation(w)
		return true, true
	case w.ID == old.ID && w.Incarnation == old.Incarnation:
		return false, s.updateWorker(w, time.Now())
	case w.Incarnation < old.Incarnation, w.ID != old.ID && w.Incarnation == old.Incarnation:
		return false, false
	}
	s.beginIncarnation(w)
	return true, true
}

// beginIncarnation makes w the worker, as its first heartbeat describes it. The caller holds
// s.mu.
func (s *state) beginIncarnation(w job.Worker) {
	s.setWorker(w)
	now := time.Now()
	s.plausibility.record(&w, now)
	s.coldUntil = now.Add(w.ColdLeft)
}

// updateWorker applies a heartbeat of the current incarnation. It reports whether anything
// changed that the owner must know. The caller holds s.mu.
func (s *state) updateWorker(w job.Worker, now time.Time) (changed bool) {
	old := s.worker
	if !s.plausibility.admit(&w, old, now) {
		return false
	}
	// The owner ignores a description with a lower number than it has seen.
	w.Sequence = max(w.Sequence, old.Sequence+1)
	changed = w.Draining != old.Draining || w.Capacity != old.Capacity
	if w.Zone != old.Zone {
		s.zone = zoneKnowledge{}
	}
	s.worker = &w
	s.coldUntil = now.Add(w.ColdLeft)
	return changed
}

// addUnconfirmed keeps a heartbeat in place of an earlier one of the same incarnation. The
// caller holds s.mu.
func (s *state) addUnconfirmed(w job.Worker, now time.Time) {
	s.removeUnconfirmed(&w)
	if n := len(s.unconfirmedHeartbeats); n >= maxUnconfirmed {
		s.unconfirmedHeartbeats = slices.Delete(s.unconfirmedHeartbeats, 0, n-maxUnconfirmed+1)
	}
	s.unconfirmedHeartbeats = append(s.unconfirmedHeartbeats, unconfirmedHeartbeat{w, now})
}

// unconfirmed returns the heartbeats that may still be confirmed.
func (s *state) unconfirmed() []unconfirmedHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmedHeartbeats = slices.DeleteFunc(s.unconfirmedHeartbeats, func(h unconfirmedHeartbeat) bool {
		return time.Since(h.receivedAt) > unconfirmedTTL || s.worker != nil && h.Incarnation < s.worker.Incarnation
	})
	return slices.Clone(s.unconfirmedHeartbeats)
}

// dropUnconfirmed forgets the heartbeat of the same incarnation as w, which has been confirmed
// or refused.
func (s *state) dropUnconfirmed(w *job.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnconfirmed(w)
}

// removeUnconfirmed removes the heartbeat of the same incarnation as w. The caller holds s.mu.
func (s *state) removeUnconfirmed(w *job.Worker) {
	s.unconfirmedHeartbeats = slices.DeleteFunc(s.unconfirmedHeartbeats, func(h unconfirmedHeartbeat) bool { return h.identifies(w) })
}

// currentEpoch returns the newest known epoch, or 0.
func (s *state) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// identifyLoop asks the worker about unconfirmed heartbeats until ctx ends.
func (a *Agent) identifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wakeIdentify:
		}
		for ctx.Err() == nil && !a.identify(ctx) {
			process.Pause(ctx, retryPause, a.wakeIdentify)
		}
	}
}

// identify asks the worker once about each unconfirmed heartbeat. It reports whether all were
// confirmed or refused.
func (a *Agent) identify(ctx context.Context) bool {
	var wg sync.WaitGroup
	for _, h := range a.state.unconfirmed() {
		wg.Go(func() { a.confirmHeartbeat(ctx, h.Worker) })
	}
	wg.Wait()
	return len(a.state.unconfirmed()) == 0
}

// confirmHeartbeat asks the worker whether it is the one of a heartbeat, which then becomes
// the current worker. The call extends no lease and acknowledges nothing.
func (a *Agent) confirmHeartbeat(ctx context.Context, w job.Worker) {
	r := renewal{worker: w.ID, incarnation: w.Incarnation, epoch: a.state.currentEpoch()}
	if r.epoch == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	runs, err := a.worker.Renew(callCtx, platform.RenewRequest{Worker: w.ID, Token: r.epoch})
	switch {
	case errors.Is(err, platform.ErrOtherIncarnation), err == nil && runs.Incarnation != 0 && runs.Incarnation != w.Incarnation:
		a.state.dropUnconfirmed(&w)
		a.logRefused(status.At(status.ErrUnknownRef, "heartbeat of another writer", w.ID))
	case err == nil:
		a.state.dropUnconfirmed(&w)
		if newIncarnation, changed := a.state.applyHeartbeat(w); newIncarnation || changed {
			a.announceWorker(w)
		}
		a.state.applyRunList(r, runs, requestedAt, time.Now())
	}
}
