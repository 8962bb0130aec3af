package event

import "github.com/hashicorp/go-hclog"

// Events of scheduling on the users' platform, 7000 to 7999.
var (
	SubmissionAccepted = Event{7001, "submission-accepted", hclog.Info,
		[]string{"job", "queue", "elapsed", "revision"},
		"A job is stored; revision is that of the configuration that was in force.", "None."}
	SubmissionRefused = Event{7002, "submission-refused", hclog.Info,
		[]string{"job", "queue", "elapsed", "reason"},
		"A job was not accepted; with the reason unknown-outcome it may be stored all the same.",
		"Look the reason up in docs/OPERATIONS.md."}
	CancellationAnswered = Event{7003, "cancellation-answered", hclog.Info,
		[]string{"job", "elapsed", "outcome"}, "A client account cancelled a job.", "None."}
	StateUnknown = Event{7004, "state-unknown", hclog.Info,
		[]string{"job", "reason"}, "A job's state was asked for and could not be told.",
		"Look the reason up in docs/OPERATIONS.md."}
	TaskDecided = Event{7010, "task-decided", hclog.Info,
		[]string{"task", "attempt", "worker", "decision", "reason", "age", "elapsed", "epoch"},
		"The owner decided about a task; age is that of the newest report of the worker, elapsed the time from the job's acceptance to its first start or its end, else 0.", "None."}
	WorkerDecided = Event{7011, "worker-decided", hclog.Info,
		[]string{"worker", "decision", "reason", "age", "epoch"},
		"The owner changed what it believes of a worker.",
		"If it repeats for one worker, look at its VM."}
	OwnershipTaken = Event{7020, "ownership-taken", hclog.Info,
		[]string{"entry", "epoch", "count"},
		"This entry schedules from now on; count is the number of live jobs.", "None."}
	OwnershipLost = Event{7021, "ownership-lost", hclog.Warn,
		[]string{"entry", "epoch", "reason"}, "This entry no longer schedules.",
		"If it repeats within a minute, check the entries' links to the store."}
	DependencyLost = Event{7022, "dependency-lost", hclog.Warn,
		[]string{"dependency", "reason"}, "A peer stopped answering.",
		"Check the named peer and the link to it."}
	DependencyRegained = Event{7023, "dependency-regained", hclog.Info,
		[]string{"dependency", "elapsed"}, "A peer answers again after the elapsed time.", "None."}
	ConfigurationInForce = Event{7024, "configuration-in-force", hclog.Info,
		[]string{"revision", "count"}, "A configuration with a number of queues is in force here.", "None."}
	SettingsReloaded = Event{7025, "settings-reloaded", hclog.Info,
		[]string{"reason"}, "The settings file was read again; an error names the field at fault.",
		"If an error is given, correct the settings file."}
	MessageRefused = Event{7026, "message-refused", hclog.Warn,
		[]string{"dependency", "reason"}, "A message or stored value could not be used.",
		"Find its writer by the reason; the rest is unaffected."}
	LogLinesDropped = Event{7027, "log-lines-dropped", hclog.Warn,
		[]string{"count"}, "Log lines were left out, because they were too many or their reader too slow.",
		"Look for the event that repeats; see that the reader of the standard output keeps up."}
	OrderCarriedOut = Event{7030, "order-carried-out", hclog.Info,
		[]string{"task", "attempt", "worker", "decision", "outcome", "elapsed", "epoch"},
		"The agent carried out an order at its worker.", "None."}
	WorkerSeen = Event{7031, "worker-seen", hclog.Info,
		[]string{"worker", "state", "incarnation"},
		"The agent changed what it believes of its worker.", "None."}
	OwnerFollowed = Event{7032, "owner-followed", hclog.Info,
		[]string{"epoch", "address"}, "The agent takes orders of another owner.", "None."}
	TasksThrottled = Event{7033, "tasks-throttled", hclog.Info,
		[]string{"worker", "count", "throttle"},
		"Filling tasks were told to work at a share of their processors, in percent.", "None."}
)

var jobEvents = []Event{SubmissionAccepted, SubmissionRefused, CancellationAnswered, StateUnknown,
	TaskDecided, WorkerDecided, OwnershipTaken, OwnershipLost, DependencyLost, DependencyRegained,
	ConfigurationInForce, SettingsReloaded, MessageRefused, LogLinesDropped, OrderCarriedOut, WorkerSeen, OwnerFollowed,
	TasksThrottled}
