package agent

import (
	"slices"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// acknowledgementTTL is how long a renewal without an answer may still be carried out.
const acknowledgementTTL = job.LateStartWindow

// sentAcknowledgement is a renewal that acknowledged ended runs and has no answer. It may still
// be carried out, also by a later incarnation under the same ID, whose ends have the same
// numbers.
type sentAcknowledgement struct {
	worker                    string
	incarnation, acknowledged int64
	at                        time.Time
}

// nextAcknowledgement returns the number up to which the next renewal acknowledges ended
// runs, or 0. It acknowledges only what the current incarnation lists, and nothing while it
// is not known whether that incarnation still answers. The caller holds s.mu.
func (s *state) nextAcknowledgement() int64 {
	if s.acknowledgementUnanswered {
		return 0
	}
	return s.listedAcknowledged()
}

// listedAcknowledged returns the highest number of a listed end that the owner has
// acknowledged, or 0. The caller holds s.mu.
func (s *state) listedAcknowledged() (number int64) {
	for _, e := range s.runList.Ended {
		if e.Number <= s.acknowledged {
			number = max(number, e.Number)
		}
	}
	return number
}

// resumeAcknowledging records that the worker has answered a renewal. It reports whether ends
// have to be acknowledged that were left out since a renewal without an answer.
func (s *state) resumeAcknowledging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unanswered := s.acknowledgementUnanswered
	s.acknowledgementUnanswered = false
	return unanswered && s.listedAcknowledged() > 0
}

// recordAcknowledgement records that r is about to be sent.
func (s *state) recordAcknowledgement(r renewal, now time.Time) {
	if r.acknowledged == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredAcknowledgements = append(s.recentAcknowledgements(now), sentAcknowledgement{r.worker, r.incarnation, r.acknowledged, now})
}

// recordRenewalResult records the outcome of r. Without an answer it may still be carried out,
// unless the worker was not reached.
func (s *state) recordRenewalResult(r renewal, err error) {
	if r.acknowledged == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, platform.ErrUnknownOutcome) && !errors.Is(err, platform.ErrNotSent) {
		s.acknowledgementUnanswered = true
		return
	}
	i := slices.IndexFunc(s.unansweredAcknowledgements, func(a sentAcknowledgement) bool {
		return a.worker == r.worker && a.incarnation == r.incarnation && a.acknowledged == r.acknowledged
	})
	if i >= 0 {
		s.unansweredAcknowledgements = slices.Delete(s.unansweredAcknowledgements, i, i+1)
	}
}

// recentAcknowledgements returns the renewals without an answer that may still be carried
// out. The caller holds s.mu.
func (s *state) recentAcknowledgements(now time.Time) []sentAcknowledgement {
	return slices.DeleteFunc(s.unansweredAcknowledgements, func(a sentAcknowledgement) bool { return now.Sub(a.at) > acknowledgementTTL })
}

// misdirectedAcknowledgement returns the highest number that a renewal may still acknowledge
// on the current incarnation instead of an earlier one, or 0. The caller holds s.mu.
func (s *state) misdirectedAcknowledgement(now time.Time) (number int64) {
	s.unansweredAcknowledgements = s.recentAcknowledgements(now)
	for _, a := range s.unansweredAcknowledgements {
		if a.worker == s.worker.ID && a.incarnation != s.worker.Incarnation {
			number = max(number, a.acknowledged)
		}
	}
	return number
}

// logMisdirected logs that a renewal may acknowledge ends of the current incarnation instead
// of those of an earlier one.
func (a *Agent) logMisdirected() {
	a.state.mu.Lock()
	w := a.state.worker
	if w == nil {
		a.state.mu.Unlock()
		return
	}
	number := a.state.misdirectedAcknowledgement(time.Now())
	a.state.mu.Unlock()
	if number > 0 {
		event.AcknowledgementMisdirected.Emit(a.log, event.Worker(w.ID), event.Incarnation(w.Incarnation), event.Count(int(number)))
	}
}
