package job

import (
	"strconv"

	"rosemarygap/core/status"
)

// ReportBases are the whole reports of one agent that the owner holds as bases of delta
// reports: the newest one, and the one that the newest was a delta against. The agent
// continues from the latter if the reply to the newest report is lost. Reports are
// identified by the agent's process and the number, so that a delta always results in the
// report that the agent has made, whichever reports arrived in between.
type ReportBases struct {
	process      int64
	base, newest numberedReport
}

// numberedReport is a whole report with its number, which is 0 if there is none.
type numberedReport struct {
	number int64
	report *Report
}

// Expand returns the whole report that d describes. The error is status.ErrUnknownRef if
// b does not have the base.
func (b *ReportBases) Expand(d *ReportChanges) (*Report, error) {
	base := b.find(d.Process, d.Base)
	if base.report == nil {
		return nil, status.At(status.ErrUnknownRef, "base", strconv.FormatInt(d.Base, 10))
	}
	return d.Apply(base.report)
}

func (b *ReportBases) find(process, number int64) numberedReport {
	for _, n := range []numberedReport{b.newest, b.base} {
		if number > 0 && process == b.process && n.number == number {
			return n
		}
	}
	return numberedReport{}
}

// IsLate reports whether a report with this number has been overtaken by a later one of
// the same process, or is repeated.
func (b *ReportBases) IsLate(process, number int64) bool {
	return process == b.process && number <= b.newest.number
}

// Keep makes r the newest report. The number base is that of the report that it was a
// delta against, or 0 for a report that arrived whole. Keep returns false and changes
// nothing if r is late or of a former process, or the base was dropped meanwhile.
func (b *ReportBases) Keep(number, base int64, r *Report) bool {
	if number <= 0 || r.Process < b.process || b.IsLate(r.Process, number) {
		return false
	}
	found := b.find(r.Process, base)
	if base != 0 && found.report == nil {
		return false
	}
	b.process, b.base, b.newest = r.Process, found, numberedReport{number, r}
	return true
}

// ReportNumbering numbers the reports of an agent's process, and keeps the last report
// that the current owner has confirmed, as the base of the next ones.
type ReportNumbering struct {
	last      int64
	epoch     int64
	confirmed numberedReport
}

// Next returns the number for a report.
func (n *ReportNumbering) Next() int64 {
	n.last++
	return n.last
}

// Encode returns the changes of r against the confirmed report. The result ok is false if
// r must be sent whole. epoch is that of the owner to which r is sent.
func (n *ReportNumbering) Encode(r *Report, number, epoch int64) (d ReportChanges, ok bool) {
	if n.confirmed.report == nil || n.epoch != epoch {
		return d, false
	}
	d, ok = CompareReports(n.confirmed.report, r)
	d.Number, d.Base = number, n.confirmed.number
	return d, ok
}

// Confirm records that the owner of epoch holds r, which must not change any more.
func (n *ReportNumbering) Confirm(r *Report, number, epoch int64) {
	n.epoch, n.confirmed = epoch, numberedReport{number, r}
}

// Reset makes the next report whole.
func (n *ReportNumbering) Reset() { n.confirmed = numberedReport{} }
