package job

import "time"

// Probe is what a call to the owner's address told about the owner's process.
type Probe int

// Results of a call.
const (
	// ProbeUnknown means that there was no answer: the process, its VM or the network
	// may have failed, for a moment or for good.
	ProbeUnknown Probe = iota
	// ProbeAnswered means that the owner's process answered.
	ProbeAnswered
	// ProbeRefused means that the owner's VM answered that no process listens.
	ProbeRefused
	// ProbeOtherProcess means that another process answered at the owner's address.
	ProbeOtherProcess
)

// Parameters of OwnerWatch.
const (
	// refusalsOfEndedProcess is the number of successive refusals that show that a
	// process has ended. A single one may come from a middlebox that resets connections.
	refusalsOfEndedProcess = 2
	// refusalInterval is the time between two calls while calls are refused.
	refusalInterval = 40 * time.Millisecond
	// minProbeInterval and maxProbeInterval limit the time between two calls while calls
	// remain without an answer. It doubles with each of them.
	minProbeInterval = 40 * time.Millisecond
	maxProbeInterval = time.Second
)

// OwnerWatch concludes from calls to the owner's address whether the owner's process has
// ended, so that another entry need not wait until the owner's lease expires. It answers
// the load of jobs that arrive while there is no owner. Silence is no evidence: a paused
// owner, or one that is cut off, keeps its ownership until its lease expires. The zero value
// is ready for use by one goroutine.
type OwnerWatch struct {
	owner      Ownership
	refusals   int
	unanswered int
}

// Observe applies the result of a call to the process of owner o. It reports whether that
// process has certainly ended and, if not, how long to wait before the next call.
func (w *OwnerWatch) Observe(o Ownership, p Probe) (ended bool, pause time.Duration) {
	if o != w.owner {
		*w = OwnerWatch{owner: o}
	}
	if p != ProbeRefused {
		w.refusals = 0
	}
	if p != ProbeUnknown {
		w.unanswered = 0
	}
	switch p {
	case ProbeOtherProcess:
		return true, 0
	case ProbeRefused:
		w.refusals++
		return w.refusals >= refusalsOfEndedProcess, refusalInterval
	case ProbeAnswered:
		return false, minProbeInterval
	}
	pause = min(minProbeInterval<<min(w.unanswered, 10), maxProbeInterval)
	w.unanswered++
	return false, pause
}
