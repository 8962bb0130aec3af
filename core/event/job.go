package event

import "github.com/hashicorp/go-hclog"

// Events of scheduling on the users' platform have the numbers 7000 to 7999.
var (
	SubmissionAccepted = Event{7001, "submission-accepted", hclog.Info,
		[]string{"job", "queue", "elapsed", "revision", "objective"},
		"A job was stored; revision is that of the configuration in force at that time, and objective the job's latency objective.", "None."}
	SubmissionRefused = Event{7002, "submission-refused", hclog.Info,
		[]string{"job", "queue", "elapsed", "reason"},
		"A job was not accepted; if the reason is unknown-outcome, it may have been stored nevertheless.",
		"Look the reason up in docs/OPERATIONS.md."}
	CancellationAnswered = Event{7003, "cancellation-answered", hclog.Info,
		[]string{"job", "elapsed", "outcome"}, "A client account cancelled a job.", "None."}
	StateUnknown = Event{7004, "state-unknown", hclog.Info,
		[]string{"job", "reason"}, "A job's state was requested but could not be determined.",
		"Look the reason up in docs/OPERATIONS.md."}
	RequestRelayed = Event{7005, "request-relayed", hclog.Info,
		[]string{"job", "address", "outcome"},
		"This entry is cut off from the store and passed a request of a client account on to the owner.",
		"If the event lasts, check the network between this entry and the store."}
	TaskDecided = Event{7010, "task-decided", hclog.Info,
		[]string{"task", "attempt", "worker", "decision", "reason", "age", "elapsed", "epoch"},
		"The owner, which is the entry that schedules, made a decision about a task; age is the age of the worker's newest report; elapsed is the time from the job's acceptance to its first start or its end, and 0 for other decisions. The reason of a start is `placed`, or `placed-in-rack`, `placed-off-rack` or `placed-cold` where placement depends on the rack of the data or a cold worker, `placed-shared` for a best-effort task of a job that was idle, beside others that use all processors, or `isolated` for a task under which workers have crashed.", "None."}
	WorkerDecided = Event{7011, "worker-decided", hclog.Info,
		[]string{"worker", "decision", "reason", "age", "epoch"},
		"The owner, which is the entry that schedules, changed its view of a worker's state.",
		"If the event repeats for one worker, inspect its VM."}
	WorkerColdChanged = Event{7042, "worker-cold", hclog.Info,
		[]string{"worker", "state", "elapsed", "slowdown", "epoch"},
		"A worker became `cold` by its own heartbeat, for the elapsed time from now, or is `warm` again; slowdown is the factor, in percent, by which the owner expects tasks to take longer on cold workers.",
		"If a worker stays cold for minutes, or becomes cold without a restart, inspect its VM."}
	OwnershipTaken = Event{7020, "ownership-taken", hclog.Info,
		[]string{"entry", "epoch", "count"},
		"This entry became the owner and started to schedule; count is the number of jobs that have not ended.", "None."}
	OwnershipLost = Event{7021, "ownership-lost", hclog.Warn,
		[]string{"entry", "epoch", "reason"}, "This entry is no longer the owner and stopped scheduling.",
		"If the event repeats within a minute, check the network between the entries and the store."}
	OwnerEnded = Event{7049, "owner-ended", hclog.Info,
		[]string{"entry", "epoch"}, "The process of the owner, entry, has ended, and this entry removed its lease so that it is replaced at once.",
		"Look for the cause in the log of that entry: a stop signal, a panic or its memory limit."}
	WorkerCrashed = Event{7050, "worker-crashed", hclog.Warn,
		[]string{"worker", "count", "starting", "jobs", "age", "epoch"},
		"A worker that had not announced a departure was replaced by a new incarnation; count is the number of its runs, starting the number of those that had only just started, and jobs the number of the jobs of these; age is the age of its newest report.",
		"If several workers crash within a minute, look for a task with a rising count in 7051."}
	RunCrashed = Event{7051, "run-crashed", hclog.Info,
		[]string{"task", "attempt", "worker", "state", "elapsed", "count", "epoch"},
		"A run ended with the crash of its worker; state is `starting` if it had only just started, or else `running`; elapsed is how long it had certainly been executing; count is the number of workers that have crashed under the task.", "None."}
	JobGivenUp = Event{7052, "job-given-up", hclog.Warn,
		[]string{"task", "attempt", "worker", "reason", "count", "epoch"},
		"The job of a task was given up, because the task crashes the workers that start it; count is the number of workers that have crashed under it. The reason is `only-suspect` if only tasks of the job were starting at the last crash, or `many-crashes` if the count is too high whatever else was starting.",
		"Tell the client account which task it is; the same job would crash workers again."}
	IsolationChanged = Event{7053, "worker-isolated", hclog.Info,
		[]string{"worker", "state", "count", "age", "epoch"},
		"The isolation of a worker `began` or `ended`: only tasks under which workers have crashed start there meanwhile, those of one job at a time; count is the number of steps that wait for such a worker.",
		"If the count rises, see docs/OPERATIONS.md."}
	DependencyLost = Event{7022, "dependency-lost", hclog.Warn,
		[]string{"dependency", "reason"}, "A process or service that this process calls stopped responding.",
		"Check the named dependency and the network to it."}
	DependencyRegained = Event{7023, "dependency-regained", hclog.Info,
		[]string{"dependency", "elapsed"}, "A process or service that this process calls responds again after the elapsed time.", "None."}
	ConfigurationInForce = Event{7024, "configuration-in-force", hclog.Info,
		[]string{"revision", "count"}, "A configuration took effect in this process; count is its number of queues.", "None."}
	SettingsReloaded = Event{7025, "settings-reloaded", hclog.Info,
		[]string{"reason"}, "The settings file was read again; reason is the error, if any, and names the invalid field.",
		"If a reason is given, correct the settings file."}
	MessageRefused = Event{7026, "message-refused", hclog.Warn,
		[]string{"dependency", "reason"}, "A message or stored value could not be used.",
		"Use the reason to find the process that wrote it; other messages and values are unaffected."}
	LogLinesDropped = Event{7027, "log-lines-dropped", hclog.Warn,
		[]string{"count"}, "Log lines were dropped, because there were too many or their reader was too slow.",
		"Look for an event that repeats often, and check that the reader of the standard output keeps up."}
	OrderCarriedOut = Event{7030, "order-carried-out", hclog.Info,
		[]string{"task", "attempt", "worker", "decision", "outcome", "waited", "elapsed", "epoch"},
		"The agent executed an order on its worker; waited is the time from receiving the order to its first call, elapsed the time from there to the outcome.",
		"If waited is above 0.5 s, look for an order with a long elapsed time before it: the worker does not answer."}
	WorkerSeen = Event{7031, "worker-seen", hclog.Info,
		[]string{"worker", "state", "incarnation"},
		"The agent changed its view of its worker's state.", "None."}
	OwnerFollowed = Event{7032, "owner-followed", hclog.Info,
		[]string{"epoch", "address"}, "The agent now accepts orders from another owner.", "None."}
	CancellationsRead = Event{7034, "cancellations-read", hclog.Info,
		[]string{"count", "elapsed", "reason"},
		"Before it started a task, the agent read the cancelled jobs and, if zones can be evacuated, the evacuated zones from the store, because the owner had not for too long; count is the number of the jobs. If a reason is given, it could not, and started the task.",
		"If the event repeats, look for 7022 of the store at the owner."}
	ScarcityBegan = Event{7045, "scarcity-began", hclog.Info,
		[]string{"kind", "count", "epoch"},
		"More tasks of a kind are ready than can get room soon, so that the owner divides the room by fair shares; count is the number of accounts, each a queue and a zone, with waiting tasks.",
		"If the event lasts, compare rosemarygap_account_share of the accounts, and add workers or ask the account with the largest share to send less."}
	ScarcityEnded = Event{7046, "scarcity-ended", hclog.Info,
		[]string{"kind", "elapsed", "epoch"},
		"There is enough room for the tasks of a kind again, after the elapsed time.", "None."}
	CopyStarted = Event{7047, "copy-started", hclog.Info,
		[]string{"task", "attempt", "worker", "other-worker", "reason", "gain", "epoch"},
		"The owner started a copy of a task on worker; its present run is on other-worker and is `slow`, on a `silent` worker or on one that is `failing` tasks; gain is by how much sooner the copy is expected to end. Event 7010 with decision start and reason copy comes before it.",
		"None."}
	CopyEnded = Event{7048, "copy-ended", hclog.Info,
		[]string{"task", "attempt", "worker", "outcome", "epoch"},
		"It is known what became of a copy: it `won`, it `lost` to the other run or to the end of the job, or it `failed`; attempt and worker are those of the run that counts, or 0 and empty if none does.",
		"If most copies are lost or failed, see docs/OPERATIONS.md."}
	StepWaited = Event{7054, "step-waited", hclog.Info,
		[]string{"step", "reason", "count", "elapsed", "epoch"},
		"Tasks of a step that was ready waited for the elapsed time up to now; count is their number at the begin. The reason is `no-room`, `reserved` (the only room is kept for others, or its worker has just restarted), `interference` (with serving tasks), `rack`, `isolation`, `ticket` or `retry`. A wait of over 5 s is logged in parts, one of under 0.1 s is not.",
		"`rosemarygap delays` adds them up."}
	RoomSampled = Event{7055, "room-sampled", hclog.Info,
		[]string{"capacity", "free", "reserved", "count", "epoch"},
		"Tasks wait, count in all; capacity are the processors of all workers, free those that their tasks are expected to leave unused, and reserved those that their tasks reserve, in thousandths. Best-effort tasks use what is free, and reserve none. At most once a second.", "None."}
	OutlookWorsened = Event{7056, "outlook-worsened", hclog.Info,
		[]string{"job", "reason", "epoch"},
		"By the estimates of its remaining steps, a job can no longer meet its latency objective (`late`) or end while its result has a value (`too-late`).",
		"`rosemarygap delays` tells what it waited for."}
	AdviceReceived = Event{7057, "advice-received", hclog.Info,
		[]string{"step", "count", "allowed", "elapsed", "reason", "epoch"},
		"The owner asked the advisor which of count workers may run a step, and allowed of them may. If a reason is given, the call failed.",
		"If allowed stays 0, the policy of the queue allows none of its workers: ask whoever sets it."}
	EndsUndelivered = Event{7058, "ends-undelivered", hclog.Info,
		[]string{"worker", "incarnation", "count", "reason"},
		"The worker has announced its departure (`left`) or another incarnation has taken its place (`replaced`) while its newest list had ended runs that no owner had received; count is their number.",
		"None: the agent reports them to the next owner."}
	AcknowledgementMisdirected = Event{7059, "acknowledgement-misdirected", hclog.Info,
		[]string{"worker", "incarnation", "count"},
		"A renewal that acknowledged ended runs of an earlier incarnation of the worker, up to the number count, had no answer and may still reach this incarnation, which would forget those of its own ended runs that have no higher number. It gets no tasks for up to 15 s.",
		"If the event repeats, look for why the worker answers no renewals: 7022 `worker` of the agent."}
	EndsUnordered = Event{7060, "ends-unordered", hclog.Info,
		[]string{"worker", "incarnation", "count"},
		"The worker listed its ended runs, count in all, in another order than that of their numbers.", "None."}
	ReportOutdated = Event{7061, "report-outdated", hclog.Info,
		[]string{"worker", "incarnation", "process", "generation", "epoch"},
		"The owner ignored a report that tells of another process of the agent or another incarnation of the worker than it knows, or of a worker that it has removed, and that may have been made before it knew. The fields are those of the report. An agent that is right about itself reports again at once, with the generation in the reply.",
		"One for each restart of an agent is normal. If the event repeats for one worker, look for two VMs with the same name."}
	TasksThrottled = Event{7033, "tasks-throttled", hclog.Info,
		[]string{"worker", "count", "throttle"},
		"Best-effort tasks were limited to a share of their processors, in percent.", "None."}
	ZoneEvacuated = Event{7040, "zone-evacuated", hclog.Info,
		[]string{"zone", "count", "reason", "epoch"},
		"The owner, which is the entry that schedules, learned that a zone is evacuated and starts nothing there; count is the number of tasks still there. The reason no-worker means that no worker is in the zone.",
		"If the reason is no-worker, check the name of the zone."}
	ZoneReopened = Event{7041, "zone-reopened", hclog.Info,
		[]string{"zone", "count", "epoch"},
		"The owner learned that the evacuation of a zone has ended, so that tasks may start there; count is the number of tasks still there.", "None."}
	ForecastIgnored = Event{7043, "forecast-ignored", hclog.Info,
		[]string{"epoch", "age", "reason"},
		"This entry ignored the owner's forecast of the end of new jobs, or its record of a queue that is gone, and accepts the jobs.",
		"If the event lasts, compare the configuration revisions (7024) and the clocks of the entries."}
	RoomAfterRefusal = Event{7044, "room-after-refusal", hclog.Info,
		[]string{"queue", "epoch"},
		"Within a second of a forecast that refuses jobs of the queue, the owner had room for them.",
		"If the event repeats, compare rosemarygap_forecast_error_seconds with the latency objectives."}
)

var jobEvents = []Event{SubmissionAccepted, SubmissionRefused, CancellationAnswered, StateUnknown, RequestRelayed,
	TaskDecided, WorkerDecided, WorkerColdChanged, OwnershipTaken, OwnershipLost, OwnerEnded, WorkerCrashed, RunCrashed, JobGivenUp, IsolationChanged, DependencyLost, DependencyRegained,
	ConfigurationInForce, SettingsReloaded, MessageRefused, LogLinesDropped, OrderCarriedOut, WorkerSeen, OwnerFollowed,
	TasksThrottled, CancellationsRead, ZoneEvacuated, ZoneReopened, ForecastIgnored, RoomAfterRefusal, ScarcityBegan, ScarcityEnded,
	CopyStarted, CopyEnded, StepWaited, AdviceReceived, EndsUndelivered, AcknowledgementMisdirected, EndsUnordered, ReportOutdated, RoomSampled, OutlookWorsened}
