package agent

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/process"

	"github.com/VictoriaMetrics/metrics"
)

// Reasons for which the agent has no list of the worker's ended runs any more.
const (
	endsWorkerLeft     = "left"
	endsWorkerReplaced = "replaced"
)

// goneEndTTL is how long the ends of a worker that is gone are still reported once an owner
// has received them and does not tell that they are durable. It covers an outage of the store
// in which the owner is replaced.
const goneEndTTL = time.Minute

// deliveryTimeout is how long a planned stop waits at most until the ends of workers that are
// gone are durable.
const deliveryTimeout = 2 * time.Second

// deliveryPause is the pause between two of these reports.
const deliveryPause = 50 * time.Millisecond

// maxGoneEnds is the maximum number of ends of workers that are gone.
const maxGoneEnds = 4 * job.MaxListedEnds

// goneEnd is an ended run that a worker had listed and that was not acknowledged when the
// worker left or its next incarnation took its place. No list shows it any more.
type goneEnd struct {
	job.AbsentRun
	// deliveredAt is when an owner has received it first, or zero.
	deliveredAt time.Time
}

// undeliveredEnds describes, for the log, ended runs of a worker that is gone and that no
// owner had received.
type undeliveredEnds struct {
	worker      string
	incarnation int64
	reason      string
	count       int
}

// recordGoneEnds keeps the listed ends that are not acknowledged when the worker is gone. The
// caller holds s.mu.
func (s *state) recordGoneEnds(reason string) {
	undelivered := 0
	for _, e := range s.runList.Ended {
		a := absentEnd(e)
		if e.Number <= s.acknowledged || slices.ContainsFunc(s.goneEnds, func(g goneEnd) bool { return g.AbsentRun == a }) {
			continue
		}
		s.goneEnds = append(s.goneEnds, goneEnd{AbsentRun: a})
		if e.Number > s.deliveredEnds {
			undelivered++
		}
	}
	s.goneEnds = s.goneEnds[max(0, len(s.goneEnds)-maxGoneEnds):]
	if undelivered > 0 {
		s.undelivered = append(s.undelivered, undeliveredEnds{s.worker.ID, s.worker.Incarnation, reason, undelivered})
	}
}

func absentEnd(e job.End) job.AbsentRun {
	return job.AbsentRun{Task: e.Task, Run: e.Run, Reason: job.EndedReason(e.Outcome)}
}

// reportedGoneEnds returns the ends of workers that are gone, and removes those that an owner
// has received long ago. The caller holds s.mu.
func (s *state) reportedGoneEnds(now time.Time) []job.AbsentRun {
	s.goneEnds = slices.DeleteFunc(s.goneEnds, func(e goneEnd) bool {
		return !e.deliveredAt.IsZero() && now.Sub(e.deliveredAt) > goneEndTTL
	})
	var out []job.AbsentRun
	for _, e := range s.goneEnds {
		out = append(out, e.AbsentRun)
	}
	return out
}

// unacknowledgedEnds returns the listed ends that are not acknowledged, as ends of a worker
// that is gone. The caller holds s.mu.
func (s *state) unacknowledgedEnds() []job.AbsentRun {
	var out []job.AbsentRun
	for _, e := range s.runList.Ended {
		if e.Number > s.acknowledged {
			out = append(out, absentEnd(e))
		}
	}
	return out
}

// recordDelivered records that the current owner has answered a report.
func (s *state) recordDelivered(r *job.Report, reply *job.Reply, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Epoch != s.epoch || reply.Worker == "" {
		return
	}
	if reply.EndsDurable {
		s.goneEnds = slices.DeleteFunc(s.goneEnds, func(e goneEnd) bool { return slices.Contains(r.Absent, e.AbsentRun) })
	}
	for i := range s.goneEnds {
		if e := &s.goneEnds[i]; e.deliveredAt.IsZero() && slices.Contains(r.Absent, e.AbsentRun) {
			e.deliveredAt = now
		}
	}
	if r.Worker == nil || s.worker == nil || r.Worker.ID != s.worker.ID || r.Worker.Incarnation != s.worker.Incarnation {
		return
	}
	for _, e := range r.Ended {
		s.deliveredEnds = max(s.deliveredEnds, e.Number)
	}
}

// hasGoneEnds reports whether there are ends of workers that are gone.
func (s *state) hasGoneEnds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.goneEnds) > 0
}

// deliverBeforeExit reports the ends of workers that are gone, or that wait for the answer to
// their departure, until they are durable: the agent's next process does not know them.
func (a *Agent) deliverBeforeExit() {
	a.state.endDeparture()
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	for ctx.Err() == nil && a.state.hasGoneEnds() {
		if err := a.report(ctx, false); err != nil {
			a.ownerHealth.Observe(err)
			a.findOwner(ctx)
		}
		process.Pause(ctx, deliveryPause, nil)
	}
}

// takeUndelivered returns what recordGoneEnds has recorded for the log since the last call.
func (s *state) takeUndelivered() []undeliveredEnds {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.undelivered
	s.undelivered = nil
	return out
}

// logUndelivered logs the ends that no owner had received when their worker was gone.
func (a *Agent) logUndelivered() {
	for _, u := range a.state.takeUndelivered() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_undelivered_ends_total{reason=%q}`, u.reason)).Add(u.count)
		event.EndsUndelivered.Emit(a.log, event.Worker(u.worker), event.Incarnation(u.incarnation), event.Count(u.count), event.Reason(status.Code(u.reason)))
	}
}

// logUnordered logs a list in which the ended runs are not in the order of their numbers.
func (a *Agent) logUnordered(r renewal, ended []job.End) {
	if slices.IsSortedFunc(ended, func(a, b job.End) int { return cmp.Compare(a.Number, b.Number) }) {
		return
	}
	event.EndsUnordered.Emit(a.log, event.Worker(r.worker), event.Incarnation(r.incarnation), event.Count(len(ended)))
}
