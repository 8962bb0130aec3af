package job

import (
	"time"

	"rosemarygap/core/table"
)

// taskState is the state of a task.
type taskState int

const (
	taskWaiting taskState = iota
	// taskAssigned means that a run of the task may be executing on a worker.
	taskAssigned
	taskDone
)

// taskRow is the state of one task.
type taskRow struct {
	name  Task
	state taskState
	// step and spec are the step of the task; they are nil until the task is first
	// assigned.
	step *stepRow
	spec *Step
	// worker and run are the current assignment of an assigned task.
	worker *workerRow
	run    int64
	// orderSequence is the number of the start order, or 0 for a run that an
	// earlier owner ordered.
	orderSequence int64
	// starts counts the runs that this owner ordered.
	starts int64
	// failedRuns are the runs whose failures were counted. The failure of an
	// earlier run may become known after that of a later run.
	failedRuns []int64
	// failedOn are the IDs of the workers on which runs failed.
	failedOn   []string
	checkpoint string
	ticket     string
	// percent is how much of the task is done; it is -1 until a worker lists
	// the run.
	percent int
	// lastProgress is when percent last increased or the run was last listed
	// as throttled, or else when the run was ordered.
	lastProgress time.Time
	orderedAt    time.Time
	// waitingSince is when the task began to wait for a worker without
	// interference.
	waitingSince time.Time
	// running is true once a worker has listed the run. The run was first
	// listed at firstListed with firstPercent.
	running      bool
	firstPercent int
	firstListed  time.Time
	throttled    bool
	speed        taskSpeed
	// lastListed is when a worker last listed the run.
	lastListed time.Time
	// listedClock is the worker's clock reading at firstListed.
	listedClock time.Duration
	// crashes are the crashes of workers under runs of the task, and crashesAtStart the number
	// of those for which it may be to blame. Both are set by setCrashes.
	crashes        []Crash
	crashesAtStart int
	// partial is true if the time since orderedAt is not that of a whole task: the
	// run began from a checkpoint, or under an earlier owner.
	partial bool
	// stopping is true once the run has been ordered to stop, at stopOrderedAt.
	stopping      bool
	stopOrderedAt time.Time
	// checkpointAt is when the checkpoint was first listed, with checkpointPercent.
	checkpointAt      time.Time
	checkpointPercent int
	// succeeded is true if an earlier run of the assigned task ended as done. The
	// task counts as done; the current run only has to end.
	succeeded bool
	// notBefore is the earliest next start after a refusal.
	notBefore time.Time
	// copy is the row of the second run, or nil. In that row, original is the row of the
	// task.
	copy, original *taskRow
	// raced is true if the task had two runs during the current one. counted is true if
	// the current run was the first to end as done.
	raced, counted bool
	// race is nil unless a copy was started and no run counts yet. copies is the number
	// of copies.
	race   *copyRace
	copies int
	// speedSince and speedPercent are when the measure of the run's own speed began.
	speedSince   time.Time
	speedPercent int
	// runTime is what the run that counts took for the whole task, or 0.
	runTime time.Duration
}

// stepRow is the state of one step of one occurrence.
type stepRow struct {
	spec  *Step
	tasks []taskRow
	// done counts the tasks for which isDone is true.
	done int
	// waiting counts the tasks in state taskWaiting.
	waiting int
	blocked blockedStep
	// rackWaitSince is when a task of the step began to wait for room in the rack of
	// its data, or zero.
	rackWaitSince time.Time
	// rackClaims are the workers there whose room its tasks wait for.
	rackClaims  []*workerRow
	reservation reservation
	wait        stepWait
	// advice is that of the advisor, for queues that require tickets.
	advice advice
}

// isDone reports whether a run of the task has ended as done.
func (t *taskRow) isDone() bool { return t.state == taskDone || t.succeeded }

// occurrenceRow is the state of one execution of a job's steps.
type occurrenceRow struct {
	number int
	due    time.Time
	steps  []stepRow
	// idleSince is since when the occurrence has tasks that are ready and none that is assigned,
	// or zero. comparedAt is when it was last compared with all workers to share processors.
	idleSince, comparedAt time.Time
}

func (o *occurrenceRow) isComplete() bool {
	for i := range o.steps {
		if o.steps[i].done < len(o.steps[i].tasks) {
			return false
		}
	}
	return true
}

// isStepReady reports whether all steps that step n depends on are done.
func (o *occurrenceRow) isStepReady(n int) bool {
	for _, a := range o.steps[n].spec.After {
		if o.steps[a].done < len(o.steps[a].tasks) {
			return false
		}
	}
	return true
}

// jobRow is the state of a live job: one whose final state is not durable yet or
// that still has assigned tasks.
type jobRow struct {
	Job
	// account is the account of the job; it is nil without fair shares.
	account *accountRow
	// acceptedThisEpoch is true for a job that no earlier owner can have
	// started.
	acceptedThisEpoch bool
	state             State
	// ordered is true once a run has been ordered in this epoch. started is true
	// once a worker has listed a run: a start may be refused, or wait for long.
	ordered, started bool
	cancelled        bool
	// criticalPath is the longest chain of estimates of one occurrence.
	criticalPath time.Duration
	// outlook is the worst timeliness that was forecast for the job.
	outlook timeliness
	// work is the estimated work of one occurrence in processor seconds.
	work float64
	// occurrences are the open occurrences: those that are due and incomplete,
	// and always the single occurrence of a job without a schedule.
	// nextOccurrence is the number of the first one that has not been opened.
	occurrences    []*occurrenceRow
	nextOccurrence int
	// dirty is true while the progress or the final state has changes that are
	// still to be written.
	dirty bool
	// urgent is true if the progress must become durable without delay, as
	// acknowledgements wait for it.
	urgent bool
	// dirtySince is about when the oldest of these changes was made, or zero.
	dirtySince time.Time
	// writing is true while the progress is being written; finalDurable is
	// true once the final state is durable.
	writing, finalDurable bool
	// expectedEnd is when the forecast at the acceptance expected the end of the job.
	expectedEnd time.Time
	// evidence is the case of a job whose forecast was too late, or nil.
	evidence *evidenceCase
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

// openOccurrence adds occurrence k.
func (j *jobRow) openOccurrence(k int) *occurrenceRow {
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

// criticalPathOf returns the longest chain of estimates of steps.
func criticalPathOf(steps []Step) time.Duration {
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

// workerRow is the state of a worker as reported by its agent.
type workerRow struct {
	agent   string
	process int64
	Worker
	// listed is true once the agent has reported the worker's lists with the
	// fencing token of this owner.
	listed     bool
	lastReport time.Time
	// leaseEndsBy is when the lease has certainly ended, by the last report of the agent's
	// process, or zero.
	leaseEndsBy time.Time
	clock       time.Duration
	// unconfirmedClock is the clock reading before the ownership check in
	// progress; confirmedClock is the reading before the newest check that
	// succeeded.
	unconfirmedClock, confirmedClock clockReading
	// record is that of the agent, which outlives the row. pending are the orders that the
	// agent has not received.
	record      *agentRecord
	pending     []Order
	delivery    delivery
	unreachable time.Duration
	// left is true once the worker has announced its departure; ended is true
	// once all its runs have certainly ended. expired is true if that is so because its agent
	// is silent.
	left, ended, expired bool
	// checkStarts is true from the first report of a new process of the agent
	// until the start orders to the former process are compared with a list of
	// the worker.
	checkStarts bool
	// tasks are the tasks assigned to the worker.
	tasks map[Task]*taskRow
	// used is the reserved capacity. Best-effort tasks reserve no processors
	// in it.
	used Resources
	// bestEffortProcessors is the sum of processors that best-effort tasks
	// request, in thousandths.
	bestEffortProcessors int
	// bestEffortUse is how many processors they use, by the newest sample.
	bestEffortUse float64
	// servingProcessors is the sum of processors reserved for serving tasks, in
	// thousandths.
	servingProcessors int
	// servingTasks counts the serving tasks by job and image;
	// bestEffortByImage is what best-effort tasks request, by image, in units
	// of one processor.
	servingTasks      map[servingJob]int
	bestEffortByImage usage
	// unknownRuns counts the listed runs that are not assigned to the worker,
	// for which no capacity is reserved.
	unknownRuns int
	// processedEnds is the number up to which ends have been processed.
	processedEnds int64
	// durableEnds is the number up to which ends are durable.
	durableEnds int64
	// pendingEnds are the processed ends that are not known to be durable.
	pendingEnds []pendingEnd
	health      health
	speed       workerSpeed
	// coldUntil is when the worker stops being cold, and coldSince when this owner
	// first knew it as cold. Both are zero for a worker that was never cold.
	coldSince, coldUntil time.Time
	// coldLogged is true while the log has the worker as cold.
	coldLogged bool
	// version is that of the cell when the worker last changed in a way that may
	// make it suitable for a blocked step.
	version int64
	// predicted must be reset when the tasks of the worker change.
	predicted predictedInterference
	// releases must be reset when the tasks of the worker change.
	releases expectedReleases
	// isolated is true while only suspects of crashes start on the worker.
	isolated bool
	// lastProgress is when any task of the worker last made progress or ended.
	lastProgress time.Time
	// lastSample is when the worker last gave a sample to the interference
	// model.
	lastSample time.Time
}

// clockReading is a reading of the clock of a worker's incarnation.
type clockReading struct {
	incarnation int64
	clock       time.Duration
}

// pendingEnd is an end that becomes durable with the progress of its job. The job is empty if
// the cell does not know it: the end has no effect then, unless this owner was replaced by
// one that has accepted the job. It waits for an ownership check that begins at receivedAt or
// later.
type pendingEnd struct {
	number     int64
	job        string
	receivedAt time.Time
}

// Cell is the scheduling state of the owner of one epoch.
type Cell struct {
	epoch      int64
	ownedSince time.Time
	cfg        *Configuration
	queues     map[string]*Queue
	jobs       *table.Table[string, jobRow]
	workers    *table.Table[string, workerRow]
	roster     map[string]rosterRow
	// agents has each agent of which there was a row in this epoch.
	agents map[string]*agentRecord
	// generations is the last generation of any agent.
	generations          int64
	ownershipConfirmedAt time.Time
	// cancellationsKnownAt is a time at which the cell knew all acknowledged
	// cancellations of its jobs.
	cancellationsKnownAt time.Time
	// storedLearned are the learned parameters in the newest write;
	// learnedCheckedAt is when they were last compared with the current ones.
	storedLearned    LearnedParameters
	learnedCheckedAt time.Time
	// roomSampledAt is when the room was last logged.
	roomSampledAt time.Time
	// lastSweep is when all workers and tasks were last checked.
	lastSweep time.Time
	// lastWrite is when PendingWrites last returned changes.
	lastWrite time.Time
	// advisorRequests are the requests to the advisor that are still to be sent, and
	// openAdvice is the number of those without an answer.
	advisorRequests []AdvisorRequest
	openAdvice      int
	// adviceWishes are those of the current tick.
	adviceWishes   []adviceWish
	allowedWorkers allowedWorkers
	// incarnations counts the incarnations of workers that have reported.
	incarnations int64
	// removedAgents are agents to delete from the stored roster.
	removedAgents []string
	// endedJobs are the jobs that ended in this epoch, so that late messages
	// do not add them again.
	endedJobs map[string]bool
	// earlyCancellations are cancellations of jobs that are not known yet.
	earlyCancellations map[string]bool
	// version increases with each change of a worker.
	version       int64
	events        []Event
	runTimeRatios runTimeRatios
	meanWork      meanWork
	interference  interferenceModel
	policy        policy
	evacuations   evacuations
	forecaster    forecaster
	// bestEffortAt is when the newest job with best-effort tasks came in this epoch, or zero.
	bestEffortAt time.Time
	// shares is nil unless shares are fair.
	shares *shares
	// coldUntil is when the last worker that was cold stops being cold, and
	// coldSpeed what was learned from the tasks of cold workers.
	coldUntil time.Time
	coldSpeed coldSpeed
	// remoteDataFactor is by which factor a task takes longer on a worker outside of the
	// rack that holds its data; 0 means unknown.
	remoteDataFactor float64
	// claims is the room that waiting tasks keep from later candidates: that of rackWaits
	// tasks that wait for the racks of their data, and that of reservingSteps steps. All of
	// them are of the current or the last call of placeTasks.
	claims                    map[*workerRow]room
	rackWaits, reservingSteps int
	copies                    copies
	isolation                 isolation
	recentCrashes             []recentCrash
}

// rosterRow is the state of an agent that may have received orders.
type rosterRow struct {
	// runsEndBy is when all runs of earlier owners on its worker have
	// certainly ended.
	runsEndBy time.Time
	// resolved is true once no unknown run can be executing there.
	resolved bool
	// durable is true while the agent is in the stored roster.
	durable bool
	// writing is true while the agent is being added to the stored roster.
	writing bool
}

// maxLeaseExtension is how long after the newest ownership check that succeeded
// the lease of a worker may last. It exceeds the longest single lease because
// agents renew leases repeatedly up to this limit. Running tasks must survive the
// longest store outage on the platform, 9.5 s.
const maxLeaseExtension = 11 * time.Second

// New returns the cell of an epoch that begins at now.
func New(epoch int64, now time.Time, options ...Option) *Cell {
	c := &Cell{epoch: epoch, ownedSince: now, queues: map[string]*Queue{},
		jobs: table.New[string, jobRow](), workers: table.New[string, workerRow](),
		roster: map[string]rosterRow{}, agents: map[string]*agentRecord{}, endedJobs: map[string]bool{}, earlyCancellations: map[string]bool{},
		claims: map[*workerRow]room{}, runTimeRatios: newRunTimeRatios(), meanWork: meanWork{},
		interference: newInterferenceModel(), forecaster: newForecaster(),
		isolation: isolation{crashed: map[string]bool{}},
		policy:    policy{compare: byTimelinessAndPriority, learns: true, reserves: true, forecastsLoad: true, movesThrottled: true}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Epoch returns the epoch of this ownership, which is its fencing token.
func (c *Cell) Epoch() int64 { return c.epoch }

// SetConfiguration makes cfg the configuration in force.
func (c *Cell) SetConfiguration(cfg *Configuration) {
	c.cfg = cfg
	clear(c.queues)
	for i := range cfg.Queues {
		c.queues[cfg.Queues[i].ID()] = &cfg.Queues[i]
	}
}

// queueOf returns the queue of a job: from the configuration in force if that
// has the queue, or else as it was when the job was accepted.
func (c *Cell) queueOf(j *jobRow) *Queue {
	if q := c.queues[j.Queue]; q != nil {
		return q
	}
	if j.AcceptedQueue.Service == "" {
		return nil
	}
	return &j.AcceptedQueue
}

// driftDivisor is the inverse of the share of an interval by which two clocks
// may differ: a worker's clock may be up to 2% slow, which 1/32 covers.
const driftDivisor = 32

// AddClockDrift returns d lengthened by the maximum drift between two clocks.
func AddClockDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// BeginOwnershipCheck records the clock readings of the workers before an
// ownership check, which is a linearizable read of the owner's key in the store.
// The check succeeds if this scheduler is still the owner.
func (c *Cell) BeginOwnershipCheck() {
	for _, w := range c.workers.All {
		w.unconfirmedClock = clockReading{w.Incarnation, w.clock}
	}
}

// ConfirmOwnership records that the ownership check that began at began has
// succeeded.
func (c *Cell) ConfirmOwnership(began time.Time) {
	c.ownershipConfirmedAt = began
	for _, w := range c.workers.All {
		w.confirmedClock = w.unconfirmedClock
		c.acknowledgeEnds(w)
	}
}
