package scheduler

import (
	"fmt"
	"time"

	"rosemarygap/core/job"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of this entry.
var (
	submissionSeconds    = metrics.NewHistogram("rosemarygap_submission_seconds")
	commitSeconds        = metrics.NewHistogram("rosemarygap_journal_write_seconds")
	epochGauge           = metrics.NewGauge("rosemarygap_scheduler_epoch", nil)
	liveJobsGauge        = metrics.NewGauge("rosemarygap_scheduler_live_jobs", nil)
	journalWriteFailures = metrics.NewCounter("rosemarygap_journal_write_failures_total")
	takeovers            = metrics.NewCounter("rosemarygap_takeovers_total")
	firstStartSeconds    = metrics.NewHistogram("rosemarygap_first_start_seconds")
	forecastErrorSeconds = metrics.NewHistogram("rosemarygap_forecast_error_seconds")
	acceptedTooLate      = metrics.NewCounter("rosemarygap_accepted_too_late_total")
	advisorCallSeconds   = metrics.NewHistogram("rosemarygap_advisor_call_seconds")
	refusedWithRoom      = metrics.NewCounter("rosemarygap_refused_with_room_total")
)

// gaugeInterval is the time between two updates of the owner's gauges. The
// platform scrapes the metrics every 5 s.
const gaugeInterval = time.Second

// ownerGauges are the gauges of the owner's cell. A gauge is removed at the end
// of the ownership, or when the worker that its label names is gone.
type ownerGauges struct {
	set        *metrics.Set
	nextUpdate time.Time
}

func newOwnerGauges() *ownerGauges {
	g := &ownerGauges{set: metrics.NewSet()}
	metrics.RegisterSet(g.set)
	return g
}

// update updates the gauges if gaugeInterval has passed since the last update.
func (g *ownerGauges) update(cell *job.Cell, now time.Time) {
	if now.Before(g.nextUpdate) {
		return
	}
	g.nextUpdate = now.Add(gaugeInterval)
	g.set.UnregisterAllMetrics()
	stats := cell.Stats(now)
	for priority, n := range stats.Waiting {
		g.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_waiting_tasks{priority="%d"}`, priority), nil).Set(float64(n))
	}
	for zone, n := range stats.EvacuatedZoneTasks {
		g.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_evacuated_zone_tasks{zone=%q}`, zone), nil).Set(float64(n))
	}
	for a, share := range stats.AccountShares {
		g.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_account_share{queue=%q,zone=%q}`, a.Queue, a.Zone), nil).Set(share)
	}
	g.set.GetOrCreateGauge("rosemarygap_rack_waiting_tasks", nil).Set(float64(stats.RackWaits))
	g.set.GetOrCreateGauge("rosemarygap_reserved_workers", nil).Set(float64(stats.ReservedWorkers))
	g.set.GetOrCreateGauge("rosemarygap_isolated_workers", nil).Set(float64(stats.IsolatedWorkers))
	g.set.GetOrCreateGauge("rosemarygap_suspect_steps", nil).Set(float64(stats.SuspectSteps))
	g.set.GetOrCreateGauge("rosemarygap_cold_workers", nil).Set(float64(stats.ColdWorkers))
	g.set.GetOrCreateGauge("rosemarygap_cold_worker_slowdown", nil).Set(stats.ColdFactor)
	for worker, age := range stats.ReportAges {
		g.set.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_worker_report_age_seconds{worker=%q}`, worker), nil).Set(age.Seconds())
	}
}

// clear removes all gauges.
func (g *ownerGauges) clear() { g.set.UnregisterAllMetrics() }

// countSubmission counts a submission by its outcome and records its duration.
func countSubmission(outcome string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_submissions_total{outcome=%q}`, outcome)).Inc()
	submissionSeconds.Update(elapsed.Seconds())
}

// Forms of reports in rosemarygap_reports_total.
const (
	reportWhole   = "whole"
	reportChanges = "changes"
	reportRefused = "refused"
)

// reportForm returns the form in which r arrived.
func reportForm(r *job.Report) string {
	if r.Delta.Base > 0 {
		return reportChanges
	}
	return reportWhole
}

// countReport counts a report by its form.
func countReport(form string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_reports_total{form=%q}`, form)).Inc()
}

// countDecision counts a decision of the owner, and records the time to the
// first start and to the end of a job.
func countDecision(e job.Event) {
	switch {
	case e.Kind == job.EventStart && e.SinceAcceptance > 0:
		firstStartSeconds.Update(e.SinceAcceptance.Seconds())
	case e.Kind == job.EventFinal:
		metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemarygap_job_seconds{state=%q}`, e.Reason)).Update(e.SinceAcceptance.Seconds())
		if e.Forecast {
			forecastErrorSeconds.Update(e.ForecastError.Seconds())
		}
		if e.TooLate {
			acceptedTooLate.Inc()
		}
	}
	if e.Reason == job.ReasonPlacedInRack || e.Reason == job.ReasonPlacedRemote {
		metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_rack_starts_total{reason=%q}`, e.Reason)).Inc()
	}
	reason := e.Reason
	if e.Kind != job.EventEnd && e.Kind != job.EventStop && e.Kind != job.EventFinal {
		// Other events include refusals, whose reasons come from the workers,
		// so the number of label values would be unbounded.
		reason = ""
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_task_decisions_total{decision=%q,reason=%q}`, e.Kind, reason)).Inc()
}

// countAdvice counts the workers of a request to the advisor by its answer, and records
// how long the call took.
func countAdvice(asked, allowed int, err error, elapsed time.Duration) {
	count := func(answer string, n int) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_advisor_workers_total{answer=%q}`, answer)).Add(n)
	}
	advisorCallSeconds.Update(elapsed.Seconds())
	if err != nil {
		count("none", asked)
		return
	}
	count("allowed", allowed)
	count("denied", max(0, asked-allowed))
}
