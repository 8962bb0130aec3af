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
	// KnownInterferenceParameter is the version of the table of interference that the
	// agent holds, in a whole report or long poll. It is absent if there is none.
	KnownInterferenceParameter = "known-interference"
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
	// traitsKnown are the running tasks in the last report to which a reply had the traits
	// of all that are not known.
	traitsKnown  map[string]bool
	interference interferenceTable
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
	r.Delta = d.context(r)
	if changes, ok := d.numbering.Encode(r, m.number, epoch); ok {
		m.base, m.body = changes.Base, &changes
		m.query += "&" + DeltaParameter + "=1"
		return m
	}
	if m.number > 0 {
		m.query += "&" + ReportNumberParameter + "=" + strconv.FormatInt(m.number, 10)
	}
	if v := r.Delta.KnownInterference; v > 0 {
		m.query += "&" + KnownInterferenceParameter + "=" + strconv.FormatUint(v, 10)
	}
	return m
}

// context returns what a report says about what the owner's replies need not repeat. The
// caller holds d.mu.
func (d *deltaReports) context(r *job.Report) job.DeltaContext {
	c := job.DeltaContext{Enabled: true, KnownInterference: d.interference.version}
	for i := range r.Running {
		if task := r.Running[i].Task; !d.traitsKnown[task] {
			c.UnknownTraits = append(c.UnknownTraits, task)
		}
	}
	return c
}

// recordTraits records that the reply to r had the traits that it lacked. Only replies
// that grant a lease have traits. The caller holds d.mu.
func (d *deltaReports) recordTraits(r *job.Report, reply *job.Reply) {
	if r.LongPoll || !r.Listed || reply.LeaseUntil == 0 {
		return
	}
	d.traitsKnown = make(map[string]bool, len(r.Running))
	for i := range r.Running {
		d.traitsKnown[r.Running[i].Task] = true
	}
}

// interferenceTable is the newest table of interference in a reply. The version is 0
// if there is none.
type interferenceTable struct {
	version uint64
	table   map[string]map[string]float64
}

// completeInterference sets the table of the reply if the owner left it out, because the
// report named its version. The table then is the one that the agent holds, except after
// a reply that was overtaken by another; the next reply has the right one. The caller
// holds d.mu.
func (d *deltaReports) completeInterference(reply *job.Reply) {
	if reply.InterferenceVersion == 0 || reply.Interference != nil {
		d.interference = interferenceTable{reply.InterferenceVersion, reply.Interference}
		return
	}
	reply.Interference = d.interference.table
}

// observe records the outcome of m: the reply, which it completes, or the error err. After an error whose
// outcome is unknown, the next report is a delta against the same base.
func (d *deltaReports) observe(m *reportMessage, reply *job.Reply, err error) {
	if !d.enabled {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && !reply.Whole && reply.Epoch == m.epoch && reply.Worker != "" {
		d.completeInterference(reply)
		d.recordTraits(m.report, reply)
	}
	switch {
	case err != nil && status.HTTPStatusOf(err) != http.StatusBadRequest:
	case err != nil || reply.Whole:
		// A later report may have been confirmed since a long poll was sent.
		d.numbering.ResetFrom(m.base)
	case m.number > 0 && reply.Base == m.number:
		d.numbering.Confirm(m.report, m.number, m.epoch)
	}
}
