package event

import "github.com/hashicorp/go-hclog"

// Events of batch work, 3000 to 3999.
var (
	JobAccepted = Event{3001, "job-accepted", hclog.Info,
		[]string{"job", "cell"}, "A submitted job is durable.", "None."}
	TaskPlaced = Event{3002, "task-placed", hclog.Info,
		[]string{"job", "attempt", "worker", "cell"},
		"An attempt was journaled and will be started on a worker.", "None."}
	TaskFinished = Event{3003, "task-finished", hclog.Info,
		[]string{"job", "attempt", "worker", "cell"},
		"The current attempt finished and its result is durable.", "None."}
	TaskInterrupted = Event{3004, "task-interrupted", hclog.Warn,
		[]string{"job", "attempt", "worker", "cell", "reason"},
		"An attempt ended without a result; the job is queued again.",
		"If it repeats for one worker, drain that worker."}
	WorkerAdded = Event{3005, "worker-added", hclog.Info,
		[]string{"worker", "cell", "address"},
		"A worker announced itself to the owner of its cell.", "None."}
	WorkerLost = Event{3006, "worker-lost", hclog.Warn,
		[]string{"worker", "cell"},
		"A worker's lease has certainly ended without an answer.",
		"Check whether its VM failed."}
	JobCancelled = Event{3007, "job-cancelled", hclog.Info,
		[]string{"job", "cell"}, "A cancellation is durable.", "None."}
	JobParked = Event{3008, "job-parked", hclog.Warn,
		[]string{"job", "cell", "reason"}, "A job waits because it cannot run.",
		"See its limit or failed-on: cancel it, or add a worker that it fits on."}
	JobUnparked = Event{3009, "job-unparked", hclog.Info,
		[]string{"job", "cell"}, "A worker appeared that a parked job fits on.", "None."}
	WorkerOnProbation = Event{3010, "worker-on-probation", hclog.Warn,
		[]string{"worker", "cell", "level"},
		"A worker failed several jobs in a row and gets no task for a while.",
		"If the level rises, replace that worker."}
	QuotaLent = Event{3051, "quota-lent", hclog.Info, []string{"team", "cell", "other"},
		"A cell gave a part of a team's quota to another cell.", "None."}
	TaskThrottled = Event{3053, "task-throttled", hclog.Info, []string{"job", "cell", "throttle"},
		"A task is limited to a share of its processors, in thousandths, to spare a service; 0 ends the limit.",
		"None."}
	TaskEvicting = Event{3054, "task-evicting", hclog.Warn, []string{"job", "cell"},
		"A task will be stopped with a checkpoint, because throttling it did not spare a service.",
		"If it repeats, keep the job's class off the service's VMs by a placement rule."}
	QuotaBorrowed = Event{3052, "quota-borrowed", hclog.Info, []string{"team", "cell", "other"},
		"A cell took a part of a team's quota that another cell gave.", "None."}
)

var workerEvents = []Event{JobAccepted, TaskPlaced, TaskFinished,
	TaskInterrupted, WorkerAdded, WorkerLost, JobCancelled, JobParked, JobUnparked,
	WorkerOnProbation, QuotaLent, QuotaBorrowed, TaskThrottled, TaskEvicting}
