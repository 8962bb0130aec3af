// Package job schedules jobs with several steps: it decides where and when
// their tasks run.
//
// A job consists of steps, and a step of identical tasks. Each attempt to
// execute a task on a worker is a run. A job with a schedule executes its steps
// several times; each execution is an occurrence. Each worker has an agent, a
// process that carries out the orders of the scheduler and reports on the
// worker. One of several schedulers is the owner: only its orders count. Each
// ownership has a higher epoch than those before it, which is the fencing token
// of its orders. The stored roster lists the agents that may have received
// orders. A worker ends its runs when its lease expires; the agent renews the
// lease up to the limit that the owner grants.
//
// A serving task is a long-running task with a tail latency target. A best-effort
// task runs on processors that other tasks leave unused. The platform is the
// system of VMs, store and operator on which the scheduler runs.
//
// Invariant: a task has at most one run that may be executing, or two on different
// workers if it has a copy (WithCopies). The capacity
// reserved for a run is held from the start order until the worker lists the
// end of the run or refuses the start, a later incarnation of the worker
// appears, or the worker's lease has certainly expired. A Cell belongs to the
// control goroutine of the scheduler that is the owner; it does no I/O and takes
// the time as an argument.
package job

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/worker"

	"github.com/pkg/errors"
)

// Resources is an amount of the resources of a VM, such as processors and
// memory.
type Resources = worker.Resources

// Job is a job as its client account submitted it. A Job is immutable.
type Job struct {
	ID string `json:"id"`
	// Queue is the ID of the queue that accepted the job.
	Queue string `json:"queue"`
	// Payload is opaque data that is passed to the workers.
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// Accepted is when the job was accepted, by the wall clock of the entry, the
	// process that accepted it.
	Accepted time.Time `json:"accepted"`
	// AcceptedQueue is a copy of the queue at acceptance. It applies once the
	// configuration no longer has the queue.
	AcceptedQueue Queue `json:"terms,omitzero"`
	// Zone is the availability zone of the entry that accepted the job. It is set only
	// with fair shares; jobs without it were stored without, or by an earlier build.
	Zone string `json:"zone,omitempty"`
}

// Schedule makes the steps of a job run several times; each time is an
// occurrence, numbered from 0. The zero value means once, immediately.
type Schedule struct {
	// First is when occurrence 0 is due, and Period the time between two
	// occurrences.
	First  time.Time     `json:"first,omitzero"`
	Period time.Duration `json:"period-ns,omitempty"`
	// Times is the number of occurrences, or 0 without a schedule.
	Times int `json:"times,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Schedule) Occurrences() int { return max(s.Times, 1) }

// Due returns when occurrence k is due; the zero time means immediately.
func (s Schedule) Due(k int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(k) * s.Period)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int       `json:"tasks"`
	Need  Resources `json:"need"`
	// Estimate is the duration of one task as the client account estimates it.
	Estimate time.Duration `json:"estimate-ns,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is true if a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is true if the tasks can make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is true if a gang should start on workers of one rack when a
	// rack has room.
	SameRack bool `json:"one-rack,omitempty"`
	// Label is a label that the worker must have, or empty.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the input data, or empty.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative is true if a task may run on two workers at a time, which it does
	// only in a cell with the option WithCopies.
	Speculative bool `json:"may-copy,omitempty"`
	// LongRunning is true for tasks that run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency that a serving task must stay below; only
	// serving tasks have one.
	TailTarget time.Duration `json:"tail-target-ns,omitempty"`
	// BestEffort is true for tasks that run on processors that other tasks
	// leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many long-running tasks of the step may be unavailable
	// when the scheduler stops a ready one by its own decision, that one included.
	// 0 counts as 1.
	MaxUnavailable int `json:"may-be-away,omitempty"`
}

// Limits on the values of a job.
const (
	maxPayloadBytes = 4000
	maxSteps        = 64
	maxStepTasks    = 4096
	maxOccurrences  = 100000
	idDigits        = 16
)

// Limits on the values of a submitted job. They are far above any real value. Sums
// over all tasks of a job cannot overflow below them.
const (
	maxProcessors   = 1_000_000_000
	maxMemory       = 1_000_000_000_000
	maxAccelerators = 1_000_000
	// maxYear is the last year that a time in JSON can have.
	maxYear = 9999
)

// ValidID reports whether id is a well-formed job ID: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// Validate returns an error with a status code if a value of the job is
// missing, malformed or out of range.
func (j *Job) Validate() error {
	switch {
	case !ValidID(j.ID):
		return status.At(status.ErrBadName, "id", j.ID)
	case len(j.Payload) > maxPayloadBytes:
		return status.At(status.ErrOutOfRange, "payload", strconv.Itoa(len(j.Payload)))
	case len(j.Steps) == 0:
		return status.At(status.ErrMissingField, "steps", "")
	case len(j.Steps) > maxSteps:
		return status.At(status.ErrOutOfRange, "steps", strconv.Itoa(len(j.Steps)))
	case j.Schedule.Times < 0 || j.Schedule.Times > maxOccurrences || j.Schedule.Period < 0:
		return status.At(status.ErrOutOfRange, "schedule", strconv.Itoa(j.Schedule.Times))
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

// ValidateSubmission is Validate with further limits on the values of a job that is
// not stored yet. Jobs that earlier builds have accepted may exceed these limits.
func (j *Job) ValidateSubmission() error {
	if err := j.Validate(); err != nil {
		return err
	}
	s := &j.Schedule
	if year := s.First.UTC().Year(); year < 0 || year > maxYear || s.Times > 0 && s.Period > math.MaxInt64/time.Duration(s.Times) {
		return status.At(status.ErrOutOfRange, "schedule", s.First.UTC().String()+", "+s.Period.String())
	}
	for i := range j.Steps {
		if err := j.Steps[i].checkLimits(i); err != nil {
			return err
		}
	}
	return nil
}

// DecodeJob decodes the value of JobKey(id). The error says that the value is not that
// of a valid job with this ID.
func DecodeJob(id string, value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, errors.Wrap(err, "decode job")
	}
	if j.ID != id {
		return Job{}, status.At(status.ErrUnknownRef, "id", j.ID)
	}
	return j, j.Validate()
}

// checkLimits checks the limits of ValidateSubmission.
func (s *Step) checkLimits(number int) error {
	at := func(field, v string) error {
		return status.At(status.ErrOutOfRange, fmt.Sprintf("steps.%d.%s", number, field), v)
	}
	switch {
	case s.Need.Processors > maxProcessors:
		return at("need.processors-milli", strconv.Itoa(s.Need.Processors))
	case s.Need.Memory > maxMemory:
		return at("need.memory-mib", strconv.FormatInt(s.Need.Memory, 10))
	case s.Need.Accelerators > maxAccelerators:
		return at("need.accelerators", strconv.Itoa(s.Need.Accelerators))
	}
	return nil
}

func (s *Step) check(number int) error {
	at := func(field string, v int) error {
		return status.At(status.ErrOutOfRange, fmt.Sprintf("steps.%d.%s", number, field), strconv.Itoa(v))
	}
	switch {
	case s.Tasks < 1 || s.Tasks > maxStepTasks:
		return at("tasks", s.Tasks)
	case s.Need.Processors < 0:
		return at("need.processors-milli", s.Need.Processors)
	case s.Need.Memory < 0:
		return at("need.memory-mib", int(s.Need.Memory))
	case s.Need.Accelerators < 0:
		return at("need.accelerators", s.Need.Accelerators)
	case s.MaxPerWorker < 0:
		return at("max-per-worker", s.MaxPerWorker)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return at("after", a)
		}
	}
	return nil
}

// Task identifies one task.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name under which workers know the task.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// stepName returns the name of a step, which the names of its tasks begin with. The advisor
// knows it by that name.
func stepName(j *jobRow, o *occurrenceRow, step int) string {
	return j.ID + "." + strconv.Itoa(o.number) + "." + strconv.Itoa(step)
}

// ErrTaskName is the error for a malformed task name.
var ErrTaskName = errors.New("malformed task name")

// ParseTask parses a name that String returned.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, errors.WithMessagef(ErrTaskName, "%q", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Task{}, errors.WithMessagef(ErrTaskName, "%q", name)
		}
		n[i] = v
	}
	return Task{parts[0], n[0], n[1], n[2]}, nil
}

// State is the state of a job as reported to its client account.
type State string

// States of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether s is a state that a job never leaves.
func (s State) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// Queue is a job queue of a configuration.
type Queue struct {
	Name string `json:"name,omitempty"`
	// Host and Prefix are the host and the path prefix of the requests that
	// submit jobs to the queue.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Service is the service whose workers run the tasks.
	Service string `json:"service"`
	// Priority 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxFailures is the number of failed runs of one task at which its job
	// fails; 0 means no limit. It does not apply to long-running tasks.
	MaxFailures int `json:"max-failures,omitempty"`
	// The latency objective of a job is Stretch times its critical path, plus
	// Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target-ns,omitempty"`
	// RequiresTicket is true if each start needs a ticket from the advisor, an
	// external service that decides which workers may run a step.
	RequiresTicket bool          `json:"advised,omitempty"`
	AdvisorTiming  AdvisorTiming `json:"advice,omitzero"`
	// Weight is the weight of the queue's accounts where shares are fair; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// BaseValue is the part of a job's value that does not depend on its work, where
	// the value of a job of mean work is 1, and at most 1; 0 means 0.3. MaxValue limits the value of
	// a job; 0 means 4.
	BaseValue float64 `json:"base-value,omitempty"`
	MaxValue  float64 `json:"max-value,omitempty"`
}

// AdvisorTiming describes how long an advisor takes to answer, which limits the workers in a
// request.
type AdvisorTiming struct {
	// PerCall is the fixed part of the duration of a call; each worker in the
	// request adds PerWorker.
	PerCall   time.Duration `json:"per-call-ns,omitempty"`
	PerWorker time.Duration `json:"per-worker-ns,omitempty"`
	// TicketTTL is how long a ticket is valid.
	TicketTTL time.Duration `json:"valid-ns,omitempty"`
}

// ID returns the ID of a queue, which stays the same across configurations.
func (q *Queue) ID() string { return q.Host + q.Prefix }

// Configuration is the part of the platform's configuration that the scheduler
// uses.
type Configuration struct {
	Version int64
	Queues  []Queue
	// ReserveServices are the standby services, whose VMs are powered off.
	ReserveServices []string
	// MaxBody and MaxHeader limit the body and the header of a request, in
	// bytes.
	MaxBody   int64
	MaxHeader int
}

// Match returns the queue of host with the longest prefix of path, or nil.
func (c *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
