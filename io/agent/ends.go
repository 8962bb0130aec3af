package agent

import (
	"fmt"
	"slices"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"

	"github.com/VictoriaMetrics/metrics"
)

// Reasons for which the agent has no list of the worker's ended runs any more.
const (
	endsWorkerLeft     = "left"
	endsWorkerReplaced = "replaced"
)

// undeliveredEnds describes ended runs of a worker that is gone and that no owner has
// received.
type undeliveredEnds struct {
	worker      string
	incarnation int64
	reason      string
	count       int
}

// recordDelivered records that the owner of an epoch has received a report.
func (s *state) recordDelivered(r *job.Report, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Worker == nil || s.worker == nil || r.Worker.ID != s.worker.ID || r.Worker.Incarnation != s.worker.Incarnation || epoch != s.epoch {
		return
	}
	for _, e := range r.Ended {
		s.deliveredEnds = max(s.deliveredEnds, e.Number)
	}
}

// noteUndelivered records, for the log, the listed ends that no owner has received when
// the worker is gone. The caller holds s.mu.
func (s *state) noteUndelivered(reason string) {
	n := 0
	for _, e := range s.runList.Ended {
		if e.Number > max(s.acknowledged, s.deliveredEnds) {
			n++
		}
	}
	if n > 0 {
		s.undelivered = append(s.undelivered, undeliveredEnds{s.worker.ID, s.worker.Incarnation, reason, n})
	}
}

// takeUndelivered returns what noteUndelivered has recorded since the last call.
func (s *state) takeUndelivered() []undeliveredEnds {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.undelivered
	s.undelivered = nil
	return out
}

// logUndelivered logs the ends that no owner has received.
func (a *Agent) logUndelivered() {
	for _, u := range a.state.takeUndelivered() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_undelivered_ends_total{reason=%q}`, u.reason)).Add(u.count)
		event.EndsUndelivered.Emit(a.log, event.Worker(u.worker), event.Incarnation(u.incarnation), event.Count(u.count), event.Reason(status.Code(u.reason)))
	}
}

// logUnordered logs a list in which the ended runs are not in the order of their numbers.
func (a *Agent) logUnordered(r renewal, ended []job.End) {
	if slices.IsSortedFunc(ended, func(a, b job.End) int { return int(a.Number - b.Number) }) {
		return
	}
	event.EndsUnordered.Emit(a.log, event.Worker(r.worker), event.Incarnation(r.incarnation), event.Count(len(ended)))
}

// acknowledgementTTL is how long a renewal without an answer may still be carried out.
const acknowledgementTTL = job.LateStartWindow

// sentAcknowledgement is a renewal without an answer that acknowledged ended runs.
type sentAcknowledgement struct {
	renewal
	at time.Time
}

// recordUnansweredAcknowledgement records that a renewal got no answer.
func (s *state) recordUnansweredAcknowledgement(r renewal, now time.Time) {
	if r.acknowledged == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredAcknowledgements = append(s.recentAcknowledgements(now), sentAcknowledgement{r, now})
}

// recentAcknowledgements returns the renewals without an answer that may still be carried
// out. The caller holds s.mu.
func (s *state) recentAcknowledgements(now time.Time) []sentAcknowledgement {
	return slices.DeleteFunc(s.unansweredAcknowledgements, func(a sentAcknowledgement) bool { return now.Sub(a.at) > acknowledgementTTL })
}

// misdirectedAcknowledgement returns the highest number that renewals have acknowledged, or
// may still acknowledge, on incarnation of worker instead of on the one before, or 0.
func (s *state) misdirectedAcknowledgement(worker string, incarnation int64, now time.Time) (number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.recentAcknowledgements(now) {
		if a.worker == worker && a.incarnation != incarnation {
			number = max(number, a.acknowledged)
		}
	}
	return number
}

// logMisdirected logs that incarnation answers a renewal, or may carry one out, that
// acknowledged the ends of another incarnation of the worker.
func (a *Agent) logMisdirected(r renewal, incarnation int64) {
	number := a.state.misdirectedAcknowledgement(r.worker, incarnation, time.Now())
	if incarnation != r.incarnation {
		number = max(number, r.acknowledged)
	}
	if number > 0 {
		event.AcknowledgementMisdirected.Emit(a.log, event.Worker(r.worker), event.Incarnation(incarnation), event.Count(int(number)))
	}
}
