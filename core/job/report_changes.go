package job

import (
	"reflect"
	"slices"
	"strconv"
	"time"

	"rosemarygap/core/status"
)

// maxChangesLength is the maximum length of the lists of a ReportChanges and of the
// list of running runs that it results in. A worker has far fewer runs.
const maxChangesLength = 4096

// ReportChanges is a delta report: a report with the changes against its base, which is
// an earlier report of the same process of the agent. The fields that it shares with
// Report have the same meaning.
type ReportChanges struct {
	// Number rises by one with each report of the agent's process. It is 0 for a long
	// poll, which is never a base.
	Number int64 `json:"number,omitempty"`
	// Base is the number of the base.
	Base       int64         `json:"base"`
	Agent      string        `json:"agent"`
	Process    int64         `json:"process"`
	Epoch      int64         `json:"epoch"`
	LongPoll   bool          `json:"wait,omitempty"`
	Applied    int64         `json:"applied"`
	Clock      time.Duration `json:"clock-ns,omitempty"`
	Listed     bool          `json:"listed,omitempty"`
	LeaseEnded bool          `json:"lease-ended,omitempty"`
	Left       bool          `json:"left,omitempty"`
	// Unreachable is how long the worker has not answered.
	Unreachable time.Duration `json:"unreachable-ns,omitempty"`
	// Sequence and HeartbeatClock are those of Worker. They change with each heartbeat,
	// so they are not part of the description.
	Sequence       int64         `json:"sequence"`
	HeartbeatClock time.Duration `json:"heartbeat-clock-ns,omitempty"`
	// Worker is nil if the description of the worker is that of the base.
	Worker *Worker `json:"worker,omitempty"`
	// Removed are the indices of the running runs of the base that are not kept, in
	// ascending order.
	Removed []int64 `json:"removed,omitempty"`
	// Changed has four integers for each kept run whose progress has changed: its index
	// in the base, Percent, Load, and 1 if it is throttled.
	Changed []int64 `json:"changed,omitempty"`
	// CheckpointIndices are the indices, in the base, of the kept runs whose checkpoints
	// have changed to Checkpoints.
	CheckpointIndices []int64  `json:"checkpoint-indices,omitempty"`
	Checkpoints       []string `json:"checkpoints,omitempty"`
	// Positions are the indices of the Added runs in the resulting list. The kept runs
	// fill the other places in the order of the base.
	Positions []int64 `json:"positions,omitempty"`
	Added     []Run   `json:"added,omitempty"`
	// EndedUpTo is the number up to which the ended runs of the base are removed.
	// Ended are those added.
	EndedUpTo int64 `json:"ended-up-to,omitempty"`
	Ended     []End `json:"ended,omitempty"`
	// Absent are all absent runs. They are few and each is in one or two reports only.
	Absent []AbsentRun `json:"absent,omitempty"`
	// UnknownTraits are the running tasks whose traits the reply must have.
	UnknownTraits []string `json:"unknown-traits,omitempty"`
	// KnownInterference is the Reply.InterferenceVersion of the table that the agent
	// holds.
	KnownInterference uint64 `json:"known-interference,omitempty"`
}

// integersPerChange is how many integers ReportChanges.Changed has for each run.
const integersPerChange = 4

// CompareReports returns the changes of r against base. The caller sets the numbers and
// what the agent knows. The result ok is false if r must be sent whole: it has no worker
// or another incarnation than the base, or lists that a delta cannot express.
func CompareReports(base, r *Report) (d ReportChanges, ok bool) {
	if !canCompare(base, r) {
		return d, false
	}
	w := r.Worker
	d = ReportChanges{Agent: r.Agent, Process: r.Process, Epoch: r.Epoch, LongPoll: r.LongPoll, Applied: r.Applied, Clock: r.Clock,
		Listed: r.Listed, LeaseEnded: r.LeaseEnded, Left: r.Left, Unreachable: r.Unreachable, Sequence: w.Sequence,
		HeartbeatClock: w.Clock, Absent: r.Absent}
	if !sameDescription(base.Worker, w) {
		d.Worker = w
	}
	if r.Listed {
		d.compareRunning(base.Running, r.Running)
		d.compareEnded(base.Ended, r.Ended)
	}
	return d, d.checkLengths() == nil
}

// canCompare reports whether a delta can express r against base.
func canCompare(base, r *Report) bool {
	if base.Worker == nil || r.Worker == nil || base.Agent != r.Agent || base.Process != r.Process ||
		base.Worker.ID != r.Worker.ID || base.Worker.Incarnation != r.Worker.Incarnation {
		return false
	}
	if !r.Listed && len(r.Running)+len(r.Ended)+len(r.Absent) > 0 {
		return false
	}
	return len(r.Running) <= maxChangesLength && ascendingEnds(base.Ended) && ascendingEnds(r.Ended)
}

// sameDescription reports whether a and b differ at most in what changes with each
// heartbeat.
func sameDescription(a, b *Worker) bool {
	x, y := *a, *b
	x.Sequence, x.Clock, x.ColdLeft = y.Sequence, y.Clock, y.ColdLeft
	if len(x.Labels) == 0 && len(y.Labels) == 0 {
		x.Labels, y.Labels = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

// Apply returns the whole report that d describes. It returns an error with a status
// code, and nothing else, if d is malformed or not against base. It does not change
// base, and the result may share memory with both.
func (d *ReportChanges) Apply(base *Report) (*Report, error) {
	if base.Worker == nil || d.Agent != base.Agent || d.Process != base.Process {
		return nil, status.At(status.ErrUnknownRef, "base", strconv.FormatInt(d.Base, 10))
	}
	if err := d.checkLengths(); err != nil {
		return nil, err
	}
	r := &Report{Agent: d.Agent, Process: d.Process, Epoch: d.Epoch, LongPoll: d.LongPoll, Applied: d.Applied, Clock: d.Clock,
		Listed: d.Listed, LeaseEnded: d.LeaseEnded, Left: d.Left, Unreachable: d.Unreachable, Absent: d.Absent}
	var err error
	if r.Worker, err = d.applyWorker(base.Worker); err != nil {
		return nil, err
	}
	if !d.Listed {
		if d.hasLists() {
			return nil, status.At(status.ErrOutOfRange, "listed", "false")
		}
		return r, nil
	}
	if r.Running, err = d.applyRunning(base.Running); err != nil {
		return nil, err
	}
	r.Ended, err = d.applyEnded(base.Ended)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (d *ReportChanges) applyWorker(base *Worker) (*Worker, error) {
	w := *base
	if d.Worker != nil {
		w = *d.Worker
	}
	if w.ID != base.ID || w.Incarnation != base.Incarnation {
		return nil, status.At(status.ErrOutOfRange, "worker", "another incarnation than that of the base")
	}
	w.Sequence, w.Clock, w.ColdLeft = d.Sequence, d.HeartbeatClock, 0
	return &w, nil
}

// hasLists reports whether d changes the lists of runs.
func (d *ReportChanges) hasLists() bool {
	return len(d.Removed)+len(d.Changed)+len(d.CheckpointIndices)+len(d.Added)+len(d.Ended)+len(d.Absent) > 0
}

// checkLengths returns an error if a list is too long, or if lists that belong together
// differ in length.
func (d *ReportChanges) checkLengths() error {
	longest := max(len(d.Removed), len(d.Changed)/integersPerChange, len(d.Checkpoints), len(d.Added), len(d.Ended), len(d.Absent),
		len(d.UnknownTraits))
	switch {
	case longest > maxChangesLength:
		return status.At(status.ErrOutOfRange, "changes", "longer than "+strconv.Itoa(maxChangesLength))
	case len(d.Changed)%integersPerChange != 0:
		return status.At(status.ErrOutOfRange, "changed", "length is no multiple of "+strconv.Itoa(integersPerChange))
	case len(d.CheckpointIndices) != len(d.Checkpoints):
		return status.At(status.ErrOutOfRange, "checkpoint-indices", "not one for each checkpoint")
	case len(d.Positions) != len(d.Added):
		return status.At(status.ErrOutOfRange, "positions", "not one for each added run")
	}
	return nil
}

// ascendingEnds reports whether the numbers of the ends rise.
func ascendingEnds(ends []End) bool {
	for i := 1; i < len(ends); i++ {
		if ends[i].Number <= ends[i-1].Number {
			return false
		}
	}
	return true
}

// compareEnded sets EndedUpTo and Ended for the change from base to ended.
func (d *ReportChanges) compareEnded(base, ended []End) {
	kept := base
	for len(kept) > 0 && (len(kept) > len(ended) || !slices.Equal(kept, ended[:len(kept)])) {
		d.EndedUpTo, kept = kept[0].Number, kept[1:]
	}
	if len(kept) > 0 && d.EndedUpTo == 0 && kept[0].Number <= 0 {
		// EndedUpTo would remove these, too: numbers of the platform begin with 1.
		d.EndedUpTo, kept = kept[len(kept)-1].Number, nil
	}
	if len(kept) == 0 && len(base) > 0 {
		d.EndedUpTo = max(d.EndedUpTo, base[len(base)-1].Number)
	}
	d.Ended = ended[len(kept):]
}

// applyEnded returns the ended runs after the change from base.
func (d *ReportChanges) applyEnded(base []End) ([]End, error) {
	var out []End
	for _, e := range base {
		if e.Number > d.EndedUpTo {
			out = append(out, e)
		}
	}
	out = append(out, d.Ended...)
	if !ascendingEnds(out) {
		return nil, status.At(status.ErrOutOfRange, "ended", "numbers are not in ascending order")
	}
	return out, nil
}
