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
	takeovers     = metrics.NewCounter("rosemarygap_takeovers_total")
	firstStart    = metrics.NewHistogram("rosemarygap_first_start_seconds")
)

// figuresEvery is how often the gauges of the owner's tables are renewed; the
// platform fetches metrics every 5 s.
const figuresEvery = time.Second

// figures are the gauges of the owner's tables. They vanish with the ownership
// and with the workers that they name.
type figures struct {
	set *metrics.Set
	due time.Time
}

func newFigures() *figures {
	f := &figures{set: metrics.NewSet()}
	metrics.RegisterSet(f.set)
	return f
}

// show renews the gauges, at most every figuresEvery.
func (f *figures) show(cell *job.Cell, now time.Time) {
	if now.Before(f.due) {
		return
	}
	f.due = now.Add(figuresEvery)
	f.set.UnregisterAllMetrics()
	x := cell.Stats(now)
	for priority, n := range x.Waiting {
		f.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_waiting_tasks{priority="%d"}`, priority), nil).Set(float64(n))
	}
	for worker, age := range x.ReportAges {
		f.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_worker_report_age_seconds{worker=%q}`, worker), nil).Set(age.Seconds())
	}
}

// clear removes the gauges at the end of an ownership.
func (f *figures) clear() { f.set.UnregisterAllMetrics() }

// countSubmission counts a submission by its outcome.
func countSubmission(outcome string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_submissions_total{outcome=%q}`, outcome)).Inc()
	submitSeconds.Update(elapsed.Seconds())
}

// countDecision counts a decision of the owner.
func countDecision(e job.Event) {
	switch {
	case e.Kind == job.EventStart && e.SinceAcceptance > 0:
		firstStart.Update(e.SinceAcceptance.Seconds())
	case e.Kind == job.EventFinal:
		metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemarygap_job_seconds{state=%q}`, e.Reason)).Update(e.SinceAcceptance.Seconds())
	}
	reason := e.Reason
	if e.Kind != job.EventEnd && e.Kind != job.EventStop && e.Kind != job.EventFinal {
		// Refusals name what a worker said, which is not bounded.
		reason = ""
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_task_decisions_total{decision=%q,reason=%q}`, e.Kind, reason)).Inc()
}
