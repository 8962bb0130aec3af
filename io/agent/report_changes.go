package agent

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
)

// Query parameters of an agent that sends delta reports.
const (
	// ChangesParameter tells that the agent sends delta reports. Its value is not empty.
	ChangesParameter = "changes"
	// ReportNumberParameter is the number of a whole report.
	ReportNumberParameter = "report-number"
	// DeltaParameter tells that the body is a job.ReportChanges. Its value is not empty.
	DeltaParameter = "delta"
)

// WithDeltaReports lets the agent report only what has changed since a report that the
// owner has confirmed.
func WithDeltaReports() Option { return func(a *Agent) { a.deltas.enabled = true } }

// deltaReports chooses the form of the reports.
type deltaReports struct {
	// enabled never changes.
	enabled   bool
	mu        sync.Mutex
	numbering job.ReportNumbering
}

// reportMessage is a report in the form in which it is sent.
type reportMessage struct {
	report *job.Report
	// number is 0 for a long poll, and epoch that of the owner.
	number, epoch int64
	// base is the number of the base, or 0 if the report is whole.
	base int64
	// query is appended to the path.
	query string
	body  any
}

// encode returns the message for r to the owner of epoch. It sorts the running runs of
// r, since a delta is small only if the runs of two reports are in the same order.
func (d *deltaReports) encode(r *job.Report, epoch int64) reportMessage {
	m := reportMessage{report: r, epoch: epoch, body: r}
	if !d.enabled {
		return m
	}
	slices.SortFunc(r.Running, func(x, y job.Run) int {
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Run, y.Run))
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if !r.LongPoll {
		m.number = d.numbering.Next()
	}
	m.query = "&" + ChangesParameter + "=1"
	if changes, ok := d.numbering.Encode(r, m.number, epoch); ok {
		m.base, m.body = changes.Base, &changes
		m.query += "&" + DeltaParameter + "=1"
	} else if m.number > 0 {
		m.query += "&" + ReportNumberParameter + "=" + strconv.FormatInt(m.number, 10)
	}
	return m
}

// observe records the outcome of m: the reply, or the error err. After an error whose
// outcome is unknown, the next report is a delta against the same base.
func (d *deltaReports) observe(m *reportMessage, reply *job.Reply, err error) {
	if !d.enabled {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && status.HTTPStatusOf(err) != http.StatusBadRequest:
	case err != nil || reply.Whole:
		// A later report may have been confirmed since a long poll was sent.
		d.numbering.ResetFrom(m.base)
	case m.number > 0 && reply.Base == m.number:
		d.numbering.Confirm(m.report, m.number, m.epoch)
	}
}
