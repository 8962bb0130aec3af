package job

import (
	"net/netip"
	"time"
)

// Worker is what a worker's heartbeat says of itself.
type Worker struct {
	ID string `json:"id"`
	// Incarnation rises with each start of the worker under this id.
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
	// Clock is the worker's own steady clock.
	Clock time.Duration `json:"clock-ns"`
}

// How tells how a run ended.
type Outcome string

// Ends of a run.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	EndLapsed  Outcome = "lapsed"
	EndBroken  Outcome = "broken"
	EndAlone   Outcome = "alone"
)

// Run is a run at work on a worker.
type Run struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is how much of the task is done; 100 means at work for a task
	// that lasts.
	Percent int `json:"percent"`
	// Load is the tail latency in milliseconds of a serving task, and the
	// thousandths of a processor in use of any other.
	Load int `json:"load,omitempty"`
	// Throttled is true while the agent holds the task below its full share.
	Throttled bool `json:"throttled,omitempty"`
}

// Processors returns what a run without a tail target uses.
func (r *Run) ProcessorUse() float64 { return float64(r.Load) / processorUnit }

// Busy returns the utilization that the tail latency of a serving run shows.
func (r *Run) Utilization(target time.Duration) float64 {
	return Utilization(float64(time.Duration(r.Load)*time.Millisecond) / float64(target))
}

// End is the end of a run, listed by its worker until it is acknowledged.
type End struct {
	Number     int64   `json:"number"`
	Task       string  `json:"task"`
	Run        int64   `json:"run"`
	Outcome    Outcome `json:"how"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}

// Runs is a worker's answer about all that runs and ended on it.
type RunList struct {
	Incarnation int64
	Clock       time.Duration
	Running     []Run
	Ended       []End
}

// Absent names a run that certainly is not on a worker and never starts there.
type AbsentRun struct {
	Task string `json:"task"`
	Run  int64  `json:"run"`
	// Reason is the code of the refusal.
	Reason string `json:"reason"`
}

// Report is what an agent tells the owner about its worker.
type Report struct {
	// Agent and Process name the agent and one life of its process.
	Agent   string `json:"agent"`
	Process int64  `json:"process"`
	// Epoch is the newest ownership that the agent knows.
	Epoch int64 `json:"epoch"`
	// Wait is true for a request that waits for orders and has no state.
	LongPoll bool `json:"wait,omitempty"`
	// Applied is the sequence up to which orders of Epoch have been received.
	Applied int64 `json:"applied"`
	// Worker is nil until a heartbeat arrived in this life of the agent.
	Worker *Worker `json:"worker,omitempty"`
	// Clock is the worker's clock in its newest answer.
	Clock time.Duration `json:"clock-ns,omitempty"`
	// Listed is true if the lists below are an answer of Worker's
	// incarnation to a call with Epoch as fencing token.
	Listed  bool        `json:"listed,omitempty"`
	Running []Run       `json:"running,omitempty"`
	Ended   []End       `json:"ended,omitempty"`
	Absent  []AbsentRun `json:"absent,omitempty"`
	// Unreachable is how long the worker has not answered.
	Unreachable time.Duration `json:"unreachable-ns,omitempty"`
	// LeaseEnded is true once everything on the worker has certainly ended.
	LeaseEnded bool `json:"lease-ended,omitempty"`
	// Left is true once the worker said that it is gone.
	Left bool `json:"left,omitempty"`
}

// OrderKind is what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order asks an agent to change what runs on its worker.
type Order struct {
	Sequence int64     `json:"sequence"`
	Kind     OrderKind `json:"kind"`
	Task     string    `json:"task"`
	Run      int64     `json:"run"`
	// Worker and Incarnation name the addressee.
	Worker      string     `json:"worker"`
	Incarnation int64      `json:"incarnation"`
	Payload     string     `json:"payload,omitempty"`
	Checkpoint  string     `json:"checkpoint,omitempty"`
	Ticket      string     `json:"ticket,omitempty"`
	Traits      TaskTraits `json:"traits,omitzero"`
}

// Traits are what an agent must know of a task to share its worker fairly.
type TaskTraits struct {
	BestEffort bool `json:"fills,omitempty"`
	// TailTarget is the tail latency that a serving task must stay below.
	TailTarget time.Duration `json:"tail-target-ns,omitempty"`
	// Image names what the task runs; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
}

// Reply is the owner's answer to a report.
type Reply struct {
	Epoch int64 `json:"epoch"`
	// Worker and Incarnation are whom Acknowledged and LeaseUntil are for.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// Acknowledged is the number up to which ends are durable.
	Acknowledged int64 `json:"acknowledged,omitempty"`
	// LeaseUntil bounds the worker's lease on the worker's own clock.
	LeaseUntil time.Duration `json:"lease-until-ns,omitempty"`
	Orders     []Order       `json:"orders,omitempty"`
	// Pressures tells how much utilization one processor of a filling image
	// adds to a serving image of the worker, by serving and filling image.
	Interference map[string]map[string]float64 `json:"pressures,omitempty"`
	// Traits tells of runs that a former process of the agent started.
	Traits map[string]TaskTraits `json:"traits,omitempty"`
}
