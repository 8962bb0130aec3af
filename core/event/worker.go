package event

import "github.com/hashicorp/go-hclog"

// Events of batch work have the numbers 3000 to 3999.
var (
	JobAccepted = Event{3001, "job-accepted", hclog.Info,
		[]string{"job", "cell"}, "A submitted job was stored durably.", "None."}
	TaskPlaced = Event{3002, "task-placed", hclog.Info,
		[]string{"job", "attempt", "worker", "cell"},
		"An attempt was written to the journal and will be started on a worker.", "None."}
	TaskFinished = Event{3003, "task-finished", hclog.Info,
		[]string{"job", "attempt", "worker", "cell"},
		"The current attempt finished and its result was stored durably.", "None."}
	TaskInterrupted = Event{3004, "task-interrupted", hclog.Warn,
		[]string{"job", "attempt", "worker", "cell", "reason"},
		"An attempt ended without a result; the job was queued again.",
		"If the event repeats for one worker, drain that worker."}
	WorkerAdded = Event{3005, "worker-added", hclog.Info,
		[]string{"worker", "cell", "address"},
		"A worker announced itself to the owner of its cell.", "None."}
	WorkerLost = Event{3006, "worker-lost", hclog.Warn,
		[]string{"worker", "cell"},
		"A worker did not respond and can no longer hold a lease.",
		"Check whether its VM failed."}
	JobCancelled = Event{3007, "job-cancelled", hclog.Info,
		[]string{"job", "cell"}, "A cancellation was stored durably.", "None."}
	JobParked = Event{3008, "job-parked", hclog.Warn,
		[]string{"job", "cell", "reason"}, "A job is on hold because it cannot run.",
		"Check the fields limit and failed-on of the job; cancel the job, or add a worker with enough capacity for it."}
	JobUnparked = Event{3009, "job-unparked", hclog.Info,
		[]string{"job", "cell"}, "A parked job was queued again because a worker now has enough capacity for it.", "None."}
	WorkerOnProbation = Event{3010, "worker-on-probation", hclog.Warn,
		[]string{"worker", "cell", "level"},
		"A worker failed several consecutive jobs and gets no tasks for a while; level is the number of its probations since its last success.",
		"If the level rises, replace that worker."}
	QuotaLent = Event{3051, "quota-lent", hclog.Info, []string{"team", "cell", "other"},
		"A cell transferred a part of a team's quota to another cell.", "None."}
	TaskThrottled = Event{3053, "task-throttled", hclog.Info, []string{"job", "cell", "throttle"},
		"A task was limited to a share of its processors, in thousandths, to protect a service from interference; 0 removes the limit.",
		"None."}
	TaskEvicting = Event{3054, "task-evicting", hclog.Warn, []string{"job", "cell"},
		"A task will be stopped with a checkpoint, because throttling it did not protect a service from interference.",
		"If the event repeats, add a placement rule that keeps the job's class off the service's VMs."}
	QuotaBorrowed = Event{3052, "quota-borrowed", hclog.Info, []string{"team", "cell", "other"},
		"A cell received a part of a team's quota from another cell.", "None."}
)

var workerEvents = []Event{JobAccepted, TaskPlaced, TaskFinished,
	TaskInterrupted, WorkerAdded, WorkerLost, JobCancelled, JobParked, JobUnparked,
	WorkerOnProbation, QuotaLent, QuotaBorrowed, TaskThrottled, TaskEvicting}
