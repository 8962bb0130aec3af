// Package job decides where and when the tasks of jobs with several steps
// run.
//
// Invariant: a task has at most one run that may be at work. Its room stays
// reserved from the order to start it until an end was listed, the worker
// refused the start, a later incarnation appeared, or the worker's lease has
// certainly ended. A Cell belongs to the control goroutine of the scheduler
// that owns the claim; it does no I/O and takes the time as an argument.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/worker"

	"github.com/pkg/errors"
)

// Resources are an amount of what a VM offers.
type Resources = worker.Resources

// Job is a job as its client account submits it. Its content never changes.
type Job struct {
	ID string `json:"id"`
	// Queue is the identity of the queue that took the job.
	Queue string `json:"queue"`
	// Payload is handed to workers unread.
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// Accepted is when an entry took the job, by its wall clock.
	Accepted time.Time `json:"accepted"`
	// Terms are the queue as it was then; they hold once no configuration has
	// the queue any more.
	AcceptedQueue Queue `json:"terms,omitzero"`
}

// Schedule makes the steps of a job run several times. The zero value means
// once, at once.
type Schedule struct {
	First  time.Time     `json:"first,omitzero"`
	Period time.Duration `json:"period-ns,omitempty"`
	Times  int           `json:"times,omitempty"`
}

// Occurrences returns how often the steps run.
func (s Schedule) Occurrences() int { return max(s.Times, 1) }

// Due returns when occurrence k is due; the zero time means at once.
func (s Schedule) Due(k int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(k) * s.Period)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks int       `json:"tasks"`
	Need  Resources `json:"need"`
	// Estimate is the client account's guess of one task's duration.
	Estimate time.Duration `json:"estimate-ns,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them run.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"one-rack,omitempty"`
	// Label must be among a worker's labels, unless it is empty.
	Label string `json:"label,omitempty"`
	// Rack is where the data is, or empty.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means none.
	MaxPerWorker int  `json:"max-per-worker,omitempty"`
	Speculative  bool `json:"may-copy,omitempty"`
	// Lasting tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// TailTarget is the tail latency that a serving task must stay below.
	TailTarget time.Duration `json:"tail-target-ns,omitempty"`
	// Fills is true for tasks that use what other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MayBeAway is how many lasting tasks the scheduler may stop at a time.
	MaxUnavailable int `json:"may-be-away,omitempty"`
}

// Bounds of a job's values.
const (
	maxPayload     = 4000
	maxSteps       = 64
	maxStepTasks   = 4096
	maxOccurrences = 100000
	idDigits       = 16
)

// ValidID reports whether id is a job id: 16 hexadecimal digits.
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

// Check returns a coded error if the job's own values are out of bounds.
func (j *Job) Validate() error {
	switch {
	case !ValidID(j.ID):
		return status.At(status.ErrBadName, "id", j.ID)
	case len(j.Payload) > maxPayload:
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

// Task names one task.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name that workers know the task by.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ErrTaskName marks a task's name that cannot be read.
var ErrTaskName = errors.New("unreadable task name")

// ParseTask reads the name that String returns.
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

// State is what a client account is told about a job.
type State string

// States of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s never changes again.
func (s State) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// Queue is one queue of a configuration.
type Queue struct {
	Name    string `json:"name,omitempty"`
	Host    string `json:"host,omitempty"`
	Prefix  string `json:"prefix,omitempty"`
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxFailures is how many failed runs of one task fail its job.
	MaxFailures int `json:"max-failures,omitempty"`
	// Stretch times the longest chain of work, and Target more, is the
	// latency objective of the queue's jobs.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target-ns,omitempty"`
	// Advised queues need an advisor's ticket for each start.
	RequiresTicket bool          `json:"advised,omitempty"`
	AdvisorTiming  AdvisorTiming `json:"advice,omitzero"`
}

// Advice tells how long an advisor takes.
type AdvisorTiming struct {
	// PerCall and PerWorker add up to the duration of one call.
	PerCall   time.Duration `json:"per-call-ns,omitempty"`
	PerWorker time.Duration `json:"per-worker-ns,omitempty"`
	// Valid is how long a ticket counts.
	TicketTTL time.Duration `json:"valid-ns,omitempty"`
}

// ID returns the identity of a queue, which outlives its configuration.
func (q *Queue) ID() string { return q.Host + q.Prefix }

// Configuration is one accepted configuration.
type Configuration struct {
	Version int64
	Queues  []Queue
	// Reserves are the services whose VMs are switched off.
	ReserveServices []string
	MaxBody         int64
	// MaxHeader is in bytes.
	MaxHeader int
}

// Match returns the queue with the longest prefix of path at host, or nil.
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
