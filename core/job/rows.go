package job

import (
	"time"

	"rosemarygap/core/table"
)

// taskState is where a task stands.
type taskState int

const (
	taskWaiting taskState = iota
	// taskAssigned has a run that may be at work on a worker.
	taskAssigned
	taskDone
)

// taskRow is one task.
type taskRow struct {
	name  Task
	state taskState
	// spec is the step of a task that was ever assigned.
	spec *Step
	// worker and run are the assignment of an assigned task.
	worker *workerRow
	run    int64
	// starts counts the runs that this owner ordered.
	starts int64
	// failedRuns are the runs whose failure is counted; the failure of an
	// earlier run may become known after that of a later one.
	failedRuns []int64
	failedOn   []string
	checkpoint string
	ticket     string
	percent    int
	// moved is when percent last rose, or when the run was ordered.
	moved   time.Time
	ordered time.Time
	// waits is since when the task waits for a worker that it does not strain.
	waits time.Time
	// running is true once a worker listed the run, which was at first percent
	// done at seen.
	running   bool
	first     int
	seen      time.Time
	throttled bool
	progress  progress
	// listed is when a worker last listed the run.
	listed time.Time
	// stopping is true once the run was ordered to stop.
	stopping bool
	// notBefore delays the next start after a refusal.
	notBefore time.Time
}

// stepRow is one step of one occurrence.
type stepRow struct {
	spec  *Step
	tasks []taskRow
	done  int
	// waiting counts the tasks in taskWaiting.
	waiting int
	// advice is what the advisor said, for queues that need tickets.
	advice advice
}

// occurrenceRow is one execution of a job's steps.
type occurrenceRow struct {
	number int
	due    time.Time
	steps  []stepRow
}

func (o *occurrenceRow) complete() bool {
	for i := range o.steps {
		if o.steps[i].done < len(o.steps[i].tasks) {
			return false
		}
	}
	return true
}

// ready reports whether all steps that step n waits for are done.
func (o *occurrenceRow) ready(n int) bool {
	for _, a := range o.steps[n].spec.After {
		if o.steps[a].done < len(o.steps[a].tasks) {
			return false
		}
	}
	return true
}

// jobRow is a live job.
type jobRow struct {
	Job
	// fresh is true for a job that no earlier owner can have started.
	fresh     bool
	state     State
	started   bool
	cancelled bool
	// chain is the longest chain of estimated work of one occurrence.
	chain time.Duration
	// occurrences are those that are due and incomplete; next is the first
	// that is not due yet.
	occurrences []*occurrenceRow
	next        int
	// dirty is true while the progress differs from what is durable.
	dirty bool
	// urgent is true if others wait for the progress to become durable.
	urgent bool
	// writing is true while the progress is being written; recorded once the
	// final state is durable.
	writing, recorded bool
}

func (j *jobRow) occurrence(k int) *occurrenceRow {
	for _, o := range j.occurrences {
		if o.number == k {
			return o
		}
	}
	return nil
}

func (j *jobRow) task(t Task) (*stepRow, *taskRow) {
	o := j.occurrence(t.Occurrence)
	if o == nil || t.Step >= len(o.steps) || t.Index >= len(o.steps[t.Step].tasks) {
		return nil, nil
	}
	s := &o.steps[t.Step]
	return s, &s.tasks[t.Index]
}

// tasks yields the tasks of all open occurrences with their steps, in order.
func (j *jobRow) tasks(yield func(*stepRow, *taskRow) bool) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			s := &o.steps[i]
			for n := range s.tasks {
				if !yield(s, &s.tasks[n]) {
					return
				}
			}
		}
	}
}

// open adds occurrence k.
func (j *jobRow) open(k int) *occurrenceRow {
	o := &occurrenceRow{number: k, due: j.Schedule.Due(k), steps: make([]stepRow, len(j.Steps))}
	for i := range j.Steps {
		s := &o.steps[i]
		s.spec = &j.Steps[i]
		s.tasks = make([]taskRow, s.spec.Tasks)
		s.waiting = s.spec.Tasks
		for n := range s.tasks {
			s.tasks[n].name = Task{j.ID, k, i, n}
		}
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// chainOf returns the longest chain of estimates of steps.
func chainOf(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var begin time.Duration
		for _, a := range steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// workerRow is a worker as its agent reports it.
type workerRow struct {
	agent   string
	process int64
	Worker
	// listed is true once the agent reported the worker's lists with this
	// owner's fencing token.
	listed bool
	heard  time.Time
	clock  time.Duration
	// echo is the clock that precedes the proof of ownership under way;
	// proved is the one that precedes the newest proof.
	echo, proved echo
	// sequence numbers orders; pending are those not yet received.
	sequence    int64
	pending     []Order
	unreachable time.Duration
	// left is true once the worker said that it is gone; ended once nothing
	// runs on it for good.
	left, ended bool
	// recheck is true until the orders of an agent's former process were
	// compared with a list.
	recheck bool
	// tasks are the assigned ones.
	tasks map[Task]*taskRow
	// used is the room that is taken; fills use only their memory of it.
	used Resources
	// filling is the processors that filling tasks ask for.
	filling int
	// serving is the processors reserved by tasks with a tail target.
	serving int
	// serves counts the serving tasks by job and image, fills are the
	// processors that filling tasks ask for by image.
	serves map[servingJob]int
	fills  usage
	// foreign counts listed runs of unknown tasks, which take unknown room.
	foreign int
	// processed is the number up to which ends were taken in.
	processed int64
	// durable is the number up to which ends are durable.
	durable int64
	// unsettled are the ends whose job's progress is not durable yet.
	unsettled []settlement
	health    health
	pace      pace
	// moved is when any task of the worker last came further or ended.
	moved time.Time
	// learnt is when the worker's figures were last learnt from.
	learnt time.Time
}

// echo is a point in a worker's own time.
type echo struct {
	incarnation int64
	clock       time.Duration
}

// settlement ties an end to the write that makes it durable.
type settlement struct {
	number int64
	job    string
}

// Cell is all that the owner knows.
type Cell struct {
	epoch    int64
	opened   time.Time
	cfg      *Configuration
	queues   map[string]*Queue
	jobs     *table.Table[string, jobRow]
	workers  *table.Table[string, workerRow]
	roster   map[string]rosterRow
	verified time.Time
	// stored are the newest lessons that were written, at taught.
	stored LearnedParameters
	taught time.Time
	// swept is when all workers were last looked through.
	swept time.Time
	// written is when the newest write was due.
	written   time.Time
	questions []AdvisorRequest
	// forget are agents whose place in the stored roster is to be deleted.
	forget []string
	// over are the jobs that ended in this ownership, so that late news of
	// them adds nothing.
	over map[string]bool
	// cancelled are cancellations of jobs that are not known yet.
	cancelled map[string]bool
	log       []Event
	rates     rates
	pressure  pressureModel
	policy    policy
}

// rosterRow is an agent that an earlier owner may have sent orders to.
type rosterRow struct {
	// until is when everything on its worker has certainly ended.
	until time.Time
	// resolved is true once nothing unknown can run there.
	resolved bool
	// durable is true once the agent is in the stored roster.
	durable bool
	writing bool
}

// hold is how long workers run on after the newest proof of ownership. It
// exceeds the longest lease because agents renew leases meanwhile; the sheet's
// longest outage of the store is 9.5 s.
const hold = 11 * time.Second

// New returns the cell of an ownership that begins at now.
func New(epoch int64, now time.Time, options ...Option) *Cell {
	c := &Cell{epoch: epoch, opened: now, queues: map[string]*Queue{},
		jobs: table.New[string, jobRow](), workers: table.New[string, workerRow](),
		roster: map[string]rosterRow{}, over: map[string]bool{}, cancelled: map[string]bool{}, rates: newRates(), pressure: newPressureModel(),
		policy: policy{compare: byWorth, learns: true}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Epoch returns the number of this ownership, its fencing token.
func (c *Cell) Epoch() int64 { return c.epoch }

// SetConfiguration makes cfg the one that decisions follow.
func (c *Cell) SetConfiguration(cfg *Configuration) {
	c.cfg = cfg
	clear(c.queues)
	for i := range cfg.Queues {
		c.queues[cfg.Queues[i].ID()] = &cfg.Queues[i]
	}
}

// queueOf returns the queue of a job, as the configuration has it or had it
// when the job was accepted.
func (c *Cell) queueOf(j *jobRow) *Queue {
	if q := c.queues[j.Queue]; q != nil {
		return q
	}
	if j.AcceptedQueue.Service == "" {
		return nil
	}
	return &j.AcceptedQueue
}

// driftDivisor gives the share of an interval by which two clocks may differ:
// a worker's clock is up to 2% slow, so 1/32 covers it.
const driftDivisor = 32

// Drift returns d lengthened by the allowed difference of clocks.
func AddClockDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// VerifyBegin notes the reports that precede a proof of ownership.
func (c *Cell) BeginOwnershipProof() {
	for _, w := range c.workers.All {
		w.echo = echo{w.Incarnation, w.clock}
	}
}

// VerifyEnd records that the proof which began at began succeeded.
func (c *Cell) CompleteOwnershipProof(began time.Time) {
	c.verified = began
	for _, w := range c.workers.All {
		w.proved = w.echo
	}
}
