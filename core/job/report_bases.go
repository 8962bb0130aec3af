package job

import (
	"strconv"

	"rosemarygap/core/status"
)

// DeltaContext is what an agent that sends delta reports says besides the report.
type DeltaContext struct {
	// Enabled is true if the agent sends delta reports.
	Enabled bool
	// Number is that of the report, and 0 for a long poll. Base is the number of its
	// base, and 0 if it arrived whole.
	Number, Base int64
	// UnknownTraits are the running tasks whose traits the reply to a delta must have.
	UnknownTraits []string
	// KnownInterference is the Reply.InterferenceVersion of the table that the agent
	// holds, or 0.
	KnownInterference uint64
}

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
	if !d.LongPoll && d.Number <= d.Base || d.LongPoll && d.Number != 0 {
		return nil, status.At(status.ErrOutOfRange, "number", strconv.FormatInt(d.Number, 10))
	}
	r, err := d.Apply(base.report)
	if err != nil {
		return nil, err
	}
	r.Delta = DeltaContext{Enabled: true, Number: d.Number, Base: d.Base, UnknownTraits: d.UnknownTraits,
		KnownInterference: d.KnownInterference}
	return r, nil
}

func (b *ReportBases) find(process, number int64) numberedReport {
	for _, n := range []numberedReport{b.newest, b.base} {
		if number > 0 && process == b.process && n.number == number {
			return n
		}
	}
	return numberedReport{}
}

// Newest returns the newest report, or nil.
func (b *ReportBases) Newest() *Report { return b.newest.report }

// IsLate reports whether r has been overtaken by a later report of the same process, or
// is repeated.
func (b *ReportBases) IsLate(r *Report) bool {
	return r.Delta.Number > 0 && r.Process == b.process && r.Delta.Number <= b.newest.number
}

// Keep makes r the newest report, with the numbers in r.Delta. It returns false and
// changes nothing if r is late or of a former process, or its base was dropped meanwhile.
func (b *ReportBases) Keep(r *Report) bool {
	number, base := r.Delta.Number, r.Delta.Base
	if number <= 0 || r.Process < b.process || b.IsLate(r) {
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
	d.UnknownTraits, d.KnownInterference = r.Delta.UnknownTraits, r.Delta.KnownInterference
	return d, ok && len(d.UnknownTraits) <= maxChangesLength
}

// Confirm records that the owner of epoch holds r, which must not change any more.
func (n *ReportNumbering) Confirm(r *Report, number, epoch int64) {
	n.epoch, n.confirmed = epoch, numberedReport{number, r}
}

// ResetFrom makes the next report whole if the report with this number is still the base.
func (n *ReportNumbering) ResetFrom(base int64) {
	if n.confirmed.number == base {
		n.confirmed = numberedReport{}
	}
}
