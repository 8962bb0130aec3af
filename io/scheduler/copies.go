package scheduler

import (
	"fmt"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"

	"github.com/VictoriaMetrics/metrics"
)

var copySeconds = metrics.NewFloatCounter("rosemarygap_copy_processor_seconds_total")

// copiesCounter returns the counter of the copies with an outcome.
func copiesCounter(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("rosemarygap_copies_total{outcome=%q}", outcome))
}

// logCopy logs and counts the start or the outcome of a copy, and counts the work of runs
// that do not count. It returns false for other events.
func (c *control) logCopy(e job.Event) bool {
	switch e.Kind {
	case job.EventCopyStarted:
		event.CopyStarted.Emit(c.log, event.Task(e.Task), event.Attempt(int(e.Run)), event.Worker(e.Worker),
			event.OtherWorker(e.OtherWorker), event.Reason(status.Code(e.Reason)), event.Gain(e.Gain), event.Epoch(c.cell.Epoch()))
	case job.EventCopyEnded:
		copiesCounter(e.Reason).Inc()
		event.CopyEnded.Emit(c.log, event.Task(e.Task), event.Attempt(int(e.Run)), event.Worker(e.Worker),
			event.Outcome(e.Reason), event.Epoch(c.cell.Epoch()))
	case job.EventExtraWork:
		copySeconds.Add(e.LostWork)
	default:
		return false
	}
	return true
}
