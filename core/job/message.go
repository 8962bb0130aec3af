package job

import (
	"net/netip"
	"strconv"
	"time"

	"rosemarygap/core/status"
)

// Worker is the description of a worker in its heartbeat.
type Worker struct {
	ID string `json:"id"`
	// Incarnation increases with each start of the worker under this ID.
	Incarnation int64          `json:"incarnation"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	VM          string         `json:"vm,omitempty"`
	Labels      []string       `json:"labels,omitempty"`
	Capacity    Resources      `json:"capacity"`
	Draining    bool           `json:"draining,omitempty"`
	// Sequence orders the heartbeats of one incarnation.
	Sequence int64 `json:"sequence"`
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration `json:"clock-ns"`
	// ColdLeft is for how long the worker is still cold, from the time of the
	// message: until then, its tasks take longer. It is not in the body of a report,
	// since an owner of an earlier build refuses unknown fields.
	ColdLeft time.Duration `json:"-"`
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run, as workers name them. EndDone completes a task that is not
// long-running. Otherwise, the task waits for another run unless its job has
// ended; only EndFailed counts as a failure.
const (
	EndDone   Outcome = "done"
	EndFailed Outcome = "failed"
	// EndStopped is the outcome of a run that was ordered to stop.
	EndStopped Outcome = "stopped"
	// EndLapsed is the outcome of a run whose worker's lease expired.
	EndLapsed Outcome = "lapsed"
	// EndBroken is the outcome of a run of a gang that ended because another
	// member of the gang ended.
	EndBroken Outcome = "broken"
	// EndAlone is the outcome of a run of a gang that waited too long for the
	// other members to start.
	EndAlone Outcome = "alone"
)

// Run is a run that is executing on a worker.
type Run struct {
	Task string `json:"task"`
	// Run is the run number. Later runs of a task have higher numbers.
	Run        int64  `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is how much of the task is done. For a long-running task, 100
	// means that its startup is finished.
	Percent int `json:"percent"`
	// Load is the tail latency in milliseconds for a serving task, and the
	// processor use in thousandths of a processor for any other task.
	Load int `json:"load,omitempty"`
	// Throttled is true while the agent limits the task to less than its full
	// share of processors.
	Throttled bool `json:"throttled,omitempty"`
}

// ProcessorUse returns the number of processors that a run without a tail
// target uses.
func (r *Run) ProcessorUse() float64 { return float64(r.Load) / processorUnit }

// Utilization returns the utilization inferred from the tail latency of a
// serving run.
func (r *Run) Utilization(target time.Duration) float64 {
	return Utilization(float64(time.Duration(r.Load)*time.Millisecond) / float64(target))
}

// End is the end of a run, which the worker lists until it is acknowledged.
type End struct {
	// Number increases with each end of one incarnation of the worker.
	Number     int64   `json:"number"`
	Task       string  `json:"task"`
	Run        int64   `json:"run"`
	Outcome    Outcome `json:"how"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}

// MaxListedEnds is the number of ended runs that a worker lists at a time. It lists further ones
// as these are acknowledged.
const MaxListedEnds = 500

// MayOmitEnds reports whether a list with these ended runs may omit others.
func MayOmitEnds(listed []End) bool { return len(listed) >= MaxListedEnds }

// RunList is a worker's list of its running and ended runs.
type RunList struct {
	Incarnation int64
	// Clock is the reading of the worker's monotonic clock.
	Clock   time.Duration
	Running []Run
	Ended   []End
}

// AbsentRun identifies a run that is not on a worker and will never start
// there.
type AbsentRun struct {
	Task string `json:"task"`
	Run  int64  `json:"run"`
	// Reason is why the run was refused or stopped, as a status code.
	Reason string `json:"reason"`
}

// RefusedTicket is the reason of a run that the worker refused as its ticket is not valid.
const RefusedTicket = "ticket"

// Report is the report of an agent about its worker to the owner.
type Report struct {
	// Agent and Process identify the agent and its process.
	Agent   string `json:"agent"`
	Process int64  `json:"process"`
	// Epoch is the newest epoch that the agent knows.
	Epoch int64 `json:"epoch"`
	// LongPoll is true for a request that waits for orders and carries no
	// state.
	LongPoll bool `json:"wait,omitempty"`
	// Applied is the sequence up to which orders of Epoch have been received.
	Applied int64 `json:"applied"`
	// SharedPayloads is true if the agent understands Reply.Payloads. It is not in
	// the body, since an owner of an earlier build refuses unknown fields.
	SharedPayloads bool `json:"-"`
	// Worker is nil until a heartbeat has reached this process of the agent.
	Worker *Worker `json:"worker,omitempty"`
	// Clock is the worker's clock reading in its newest answer.
	Clock time.Duration `json:"clock-ns,omitempty"`
	// Listed is true if the lists below are the answer of Worker's
	// incarnation to a call with Epoch as the fencing token.
	Listed  bool        `json:"listed,omitempty"`
	Running []Run       `json:"running,omitempty"`
	Ended   []End       `json:"ended,omitempty"`
	Absent  []AbsentRun `json:"absent,omitempty"`
	// Unreachable is how long the worker has not answered.
	Unreachable time.Duration `json:"unreachable-ns,omitempty"`
	// LeaseEnded is true once the worker's lease has certainly expired, so that
	// all its runs have ended.
	LeaseEnded bool `json:"lease-ended,omitempty"`
	// Left is true once the worker has announced its departure.
	Left bool `json:"left,omitempty"`
	// LeaseLeft is positive in the last report of a process that stops while its worker does
	// not answer: after this time, the worker's lease has certainly ended, unless a report of
	// the agent's next process arrives before. It is not in the body, since an owner of an
	// earlier build refuses unknown fields.
	LeaseLeft time.Duration `json:"-"`
	// ReceivedAt is when the owner received the report.
	ReceivedAt time.Time `json:"-"`
	// Generation is the newest Reply.Generation of Epoch that the agent has received, if
	// EchoesGeneration is true: an agent of an earlier build echoes none. They are not in the
	// body, since an owner of an earlier build refuses unknown fields.
	Generation       int64 `json:"-"`
	EchoesGeneration bool  `json:"-"`
	// Delta is what the agent says about delta reports. It is not in the body, since an
	// owner of an earlier build refuses unknown fields.
	Delta DeltaContext `json:"-"`
}

// maxNameBytes is the maximum length of the names in a report. The name of an agent is
// part of a key in the store.
const maxNameBytes = 500

// Validate returns an error with a status code if the report names no agent or describes
// an impossible worker.
func (r *Report) Validate() error {
	switch w := r.Worker; {
	case r.Agent == "" || len(r.Agent) > maxNameBytes:
		return status.At(status.ErrBadName, "agent", r.Agent[:min(len(r.Agent), maxNameBytes)])
	case w == nil:
	default:
		return w.Validate()
	}
	return nil
}

// Limits on the values of a worker. They are far above any real value.
const (
	// maxIncarnation is the Unix time in milliseconds of about the year 10900. The highest
	// incarnation is kept, so that one too high would precede no later one.
	maxIncarnation = 1 << 48
	maxSequence    = 1 << 53
	// maxWorkerClock is the highest reading of a worker's monotonic clock. The newest
	// reading is kept, so that one too high would end all later leases in the past.
	maxWorkerClock = 100 * 365 * 24 * time.Hour
	maxLabels      = 64
)

// Validate returns an error with a status code if no worker can have the described values.
func (w *Worker) Validate() error {
	if w.ID == "" {
		return status.At(status.ErrBadName, "worker.id", "")
	}
	for _, x := range append([]string{w.ID, w.Service, w.Zone, w.VM}, w.Labels...) {
		if len(x) > maxNameBytes {
			return status.At(status.ErrBadName, "worker", x[:maxNameBytes])
		}
	}
	outOfRange := func(field string, v int64) error {
		return status.At(status.ErrOutOfRange, "worker."+field, strconv.FormatInt(v, 10))
	}
	switch r := w.Capacity; {
	case len(w.Labels) > maxLabels:
		return outOfRange("labels", int64(len(w.Labels)))
	case r.Processors < 0 || r.Processors > maxProcessors:
		return outOfRange("capacity.processors-milli", int64(r.Processors))
	case r.Memory < 0 || r.Memory > maxMemory:
		return outOfRange("capacity.memory-mib", r.Memory)
	case r.Accelerators < 0 || r.Accelerators > maxAccelerators:
		return outOfRange("capacity.accelerators", int64(r.Accelerators))
	case w.Incarnation < 0 || w.Incarnation > maxIncarnation:
		return outOfRange("incarnation", w.Incarnation)
	case w.Sequence < 0 || w.Sequence > maxSequence:
		return outOfRange("sequence", w.Sequence)
	case w.Clock < 0 || w.Clock > maxWorkerClock:
		return outOfRange("clock-ns", int64(w.Clock))
	}
	return nil
}

// Validate returns an error with a status code if no worker can have the incarnation and the
// clock reading of the list.
func (l *RunList) Validate() error {
	switch {
	case l.Incarnation < 0 || l.Incarnation > maxIncarnation:
		return status.At(status.ErrOutOfRange, "incarnation", strconv.FormatInt(l.Incarnation, 10))
	case l.Clock < 0 || l.Clock > maxWorkerClock:
		return status.At(status.ErrOutOfRange, "clock-ns", strconv.FormatInt(int64(l.Clock), 10))
	}
	return nil
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order asks an agent to start or stop a run on its worker.
type Order struct {
	Sequence int64     `json:"sequence"`
	Kind     OrderKind `json:"kind"`
	Task     string    `json:"task"`
	Run      int64     `json:"run"`
	// Worker and Incarnation identify the worker that the order is for.
	Worker      string     `json:"worker"`
	Incarnation int64      `json:"incarnation"`
	Payload     string     `json:"payload,omitempty"`
	Checkpoint  string     `json:"checkpoint,omitempty"`
	Ticket      string     `json:"ticket,omitempty"`
	Traits      TaskTraits `json:"traits,omitzero"`
}

// TaskTraits are the properties of a task by which an agent divides the
// processors of its worker.
type TaskTraits struct {
	BestEffort bool `json:"fills,omitempty"`
	// TailTarget is the tail latency that a serving task must stay below.
	TailTarget time.Duration `json:"tail-target-ns,omitempty"`
	// Image is the image that the task runs. Tasks of one image are assumed to
	// behave alike.
	Image string `json:"image,omitempty"`
}

// Reply is the owner's answer to a report.
type Reply struct {
	Epoch int64 `json:"epoch"`
	// Generation is the number of what the owner knows of the agent, which the agent's
	// reports echo. It rises within an epoch, and is 0 from an owner of an earlier build.
	Generation int64 `json:"generation,omitempty"`
	// Worker and Incarnation identify the worker that Acknowledged and
	// LeaseUntil are for.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// Acknowledged is the number up to which the worker's ends are durable.
	Acknowledged int64 `json:"acknowledged,omitempty"`
	// LeaseUntil is the latest end of the worker's lease, on the worker's own
	// clock.
	LeaseUntil time.Duration `json:"lease-until-ns,omitempty"`
	Orders     []Order       `json:"orders,omitempty"`
	// Payloads are the payloads of the start orders by job ID, if the agent
	// understands them. The orders then have none.
	Payloads map[string]string `json:"payloads,omitempty"`
	// Interference is the utilization that one processor of a best-effort
	// image adds to a serving image of the worker, by serving and best-effort
	// image.
	Interference map[string]map[string]float64 `json:"pressures,omitempty"`
	// InterferenceVersion identifies the table of interference that the agent should
	// hold. Interference is absent if that is the version that the report named. It is 0
	// if there is no table or the agent does not send delta reports.
	InterferenceVersion uint64 `json:"interference-version,omitempty"`
	// Traits are the traits of the listed tasks by name; a former process of
	// the agent may have started them. After a delta report, they are those of the tasks
	// that it names.
	Traits map[string]TaskTraits `json:"traits,omitempty"`
	// Freshness is nil in a reply of an owner of an earlier build.
	Freshness *Freshness `json:"freshness,omitempty"`
	// EndsDurable is true if the report has ends of workers that are gone, and these are
	// durable. An owner of an earlier build does not tell.
	EndsDurable bool `json:"ends-durable,omitempty"`
	// Base is the number of the report if the owner holds it as the base of delta
	// reports.
	Base int64 `json:"base,omitempty"`
	// Whole is true if the report was not applied and the agent must send a whole one at
	// once. All other fields but Epoch and Generation are then empty.
	Whole bool `json:"whole,omitempty"`
}

// Freshness tells how old the knowledge is on which the orders of a reply depend. The
// agent starts a run only while this knowledge is recent enough, however long the
// order, the reply or the call to the worker take on their way.
type Freshness struct {
	// Held is how long the owner held the report before it made the reply.
	Held time.Duration `json:"held-ns"`
	// CancellationsAge is how long before the reply the owner last knew all
	// acknowledged cancellations.
	CancellationsAge time.Duration `json:"cancellations-age-ns"`
	// Partial is true if there are orders for the agent that are not in the reply.
	Partial bool `json:"partial,omitempty"`
	// EvacuationsAge is how long before the reply the owner last knew all evacuations
	// of zones. It is nil if zones cannot be evacuated.
	EvacuationsAge *time.Duration `json:"evacuations-age-ns,omitempty"`
	// ZoneEvacuated is true if the zone of the agent's worker was evacuated then.
	ZoneEvacuated bool `json:"zone-evacuated,omitempty"`
}
