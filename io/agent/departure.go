package agent

import (
	"context"
	"net/http"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/io/process"

	"github.com/labstack/echo/v4"
)

// Periods of a departure.
const (
	// departureTimeout is how long the answer to a departure waits at most until the ends
	// of the worker's runs are durable. The worker waits a second for it.
	departureTimeout = 800 * time.Millisecond
	// departureGrace is how long after the answer the worker counts as gone. Until then its
	// tasks may still run and do not start elsewhere.
	departureGrace = 50 * time.Millisecond
	// departurePause is the longest time between two checks of the ends.
	departurePause = 20 * time.Millisecond
)

// handleDeparture answers a departure once all ends that the worker lists are durable: when it
// is gone, nobody can ask it again, and the VM may be gone, too.
func (a *Agent) handleDeparture(x echo.Context) error {
	id := x.Param("id")
	if !a.state.beginDeparture(id) {
		return x.JSON(http.StatusOK, struct{}{})
	}
	event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("leaving"), event.Incarnation(0))
	a.awaitDurableEnds(id)
	time.AfterFunc(departureGrace, func() { a.finishDeparture(id) })
	return x.JSON(http.StatusOK, struct{}{})
}

// awaitDurableEnds waits until a list that was requested from now on has only ends that are
// acknowledged, at most for departureTimeout. It goes on if the worker gives up waiting.
func (a *Agent) awaitDurableEnds(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	began := time.Now()
	process.Wake(a.wakeRenewal)
	process.Wake(a.wakeReport)
	for ctx.Err() == nil && !a.state.hasDurableEnds(id, began) {
		process.Pause(ctx, departurePause, a.wakeDeparture)
	}
}

// finishDeparture reports that the worker is gone. If the agent alone knows ends of its runs, a
// later owner has to wait for the agent, and the owner that has made the ends durable removes it
// from the stored roster.
func (a *Agent) finishDeparture(id string) {
	if !a.state.recordDeparture(id) {
		return
	}
	event.WorkerSeen.Emit(a.log, event.Worker(id), event.State("left"), event.Incarnation(0))
	a.logUndelivered()
	process.Wake(a.wakeReport)
	if !a.state.hasGoneEnds() {
		process.Wake(a.workerLeft)
	}
}

// mayDepart reports whether a departure in the name of id counts. It names no incarnation and
// may arrive as late as any call, so that it may be that of the incarnation before: it counts
// only once the worker has answered for unansweredStartTTL. Otherwise the end of its lease
// tells. The caller holds s.mu.
func (s *state) mayDepart(id string) bool {
	return s.worker != nil && s.worker.ID == id && !s.left && (!s.replaced || s.workerClock-s.firstClock >= unansweredStartTTL)
}

// isLeaving reports whether nothing may start on the worker any more. The caller holds s.mu.
func (s *state) isLeaving() bool { return s.worker.Draining || s.departing || s.left }

// beginDeparture records that the worker announced its departure, and reports whether that
// counts. Nothing starts on the worker from now on.
func (s *state) beginDeparture(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayDepart(id) {
		return false
	}
	s.departing = true
	return true
}

// hasDurableEnds reports whether all ends that the worker has listed are durable, by a list
// that was requested after began, or nothing listens at its address any more.
func (s *state) hasDurableEnds(id string, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == nil || s.worker.ID != id || s.refusing {
		return true
	}
	return s.listRequestedAt.After(began) && len(s.unacknowledgedEnds()) == 0 && !job.MayOmitEnds(s.runList.Ended)
}

// recordDeparture records that the worker is gone. It reports whether this is new.
func (s *state) recordDeparture(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayDepart(id) {
		return false
	}
	s.markLeft()
	return true
}

// markLeft records that the worker is gone, and keeps the ends that only its list has. The
// caller holds s.mu.
func (s *state) markLeft() {
	s.departing, s.left = true, true
	s.recordGoneEnds(endsWorkerLeft)
}

// endDeparture records that a worker that departs is gone, as this process can answer nothing
// any more.
func (s *state) endDeparture() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.departing && !s.left {
		s.markLeft()
	}
}
