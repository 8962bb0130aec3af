package scheduler

import (
	"fmt"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"

	"github.com/VictoriaMetrics/metrics"
)

var jobsGivenUp = metrics.NewCounter("rosemarygap_jobs_given_up_total")

// countCrash counts a crash of a worker.
func countCrash(e job.Event) {
	cause := "unknown"
	if e.Starting > 0 {
		cause = "start"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemarygap_worker_crashes_total{cause=%q}", cause)).Inc()
}

// logCrash logs and counts crashes of workers. It returns false for other events.
func (c *control) logCrash(e job.Event) bool {
	switch e.Kind {
	case job.EventWorkerCrashed:
		countCrash(e)
		event.WorkerCrashed.Emit(c.log, event.Worker(e.Worker), event.Count(e.Count), event.Starting(e.Starting),
			event.Jobs(e.StartingJobs), event.Age(e.ReportAge), event.Epoch(c.cell.Epoch()))
	case job.EventRunCrashed:
		event.RunCrashed.Emit(c.log, event.Task(e.Task), event.Attempt(int(e.Run)), event.Worker(e.Worker), event.State(e.Reason),
			event.Elapsed(e.Elapsed), event.Count(e.Count), event.Epoch(c.cell.Epoch()))
	case job.EventGivenUp:
		jobsGivenUp.Inc()
		event.JobGivenUp.Emit(c.log, event.Task(e.Task), event.Attempt(int(e.Run)), event.Worker(e.Worker),
			event.Reason(status.Code(e.Reason)), event.Count(e.Count), event.Epoch(c.cell.Epoch()))
	case job.EventIsolationBegan, job.EventIsolationEnded:
		state := "began"
		if e.Kind == job.EventIsolationEnded {
			state = "ended"
		}
		event.IsolationChanged.Emit(c.log, event.Worker(e.Worker), event.State(state), event.Count(e.Count),
			event.Age(e.ReportAge), event.Epoch(c.cell.Epoch()))
	default:
		return false
	}
	return true
}
