package scheduler

import (
	"fmt"
	"time"

	"rosemarygap/core/job"

	"github.com/VictoriaMetrics/metrics"
)

// Histograms of this entry.
var (
	submitSeconds = metrics.NewHistogram("rosemarygap_submission_seconds")
	commitSeconds = metrics.NewHistogram("rosemarygap_journal_write_seconds")
	ownerGauge    = metrics.NewGauge("rosemarygap_scheduler_epoch", nil)
	liveGauge     = metrics.NewGauge("rosemarygap_scheduler_live_jobs", nil)
	storeErrors   = metrics.NewCounter("rosemarygap_journal_write_failures_total")
)

// countSubmission counts a submission by its outcome.
func countSubmission(outcome string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_submissions_total{outcome=%q}`, outcome)).Inc()
	submitSeconds.Update(elapsed.Seconds())
}

// countDecision counts a decision of the owner.
func countDecision(e job.Event) {
	reason := e.Reason
	if e.Kind != job.EventEnd && e.Kind != job.EventStop && e.Kind != job.EventFinal {
		// Refusals name what a worker said, which is not bounded.
		reason = ""
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_task_decisions_total{decision=%q,reason=%q}`, e.Kind, reason)).Inc()
}
