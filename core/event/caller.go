package event

import "github.com/hashicorp/go-hclog"

// Events of the request path, 1000 to 1999.
var (
	RequestRouted = Event{1001, "request-routed", hclog.Info,
		[]string{"request", "service", "endpoint", "attempt"},
		"An entry dispatched a request to an endpoint.", "None."}
	RequestEnded = Event{1002, "request-ended", hclog.Info,
		[]string{"request", "service", "outcome", "reason", "attempt", "elapsed"},
		"A request got its final answer.", "None."}
	AnswerDropped = Event{1003, "answer-dropped", hclog.Warn,
		[]string{"request", "endpoint", "reason"},
		"An endpoint's answer was dropped because it was foreign or cut off.",
		"Inspect the endpoint if it repeats."}
	ClaimDenied = Event{1004, "claim-denied", hclog.Info,
		[]string{"request", "service", "reason"},
		"A non-idempotent request was not dispatched because its id is a repeat or may be one.",
		"None; if it lasts, check that the entries reach one another and the key-value service."}
)

// Events of a guard, 1100 to 1199.
var (
	GuardStarted = Event{1101, "guard-started", hclog.Info,
		[]string{"endpoint", "address"},
		"A guard began to announce its endpoint.", "None."}
	GuardStopped = Event{1102, "guard-stopped", hclog.Info,
		[]string{"endpoint"},
		"A guard ended; its endpoint has left.", "None."}
	AnnouncementFailed = Event{1103, "announcement-failed", hclog.Warn,
		[]string{"endpoint", "address", "reason"},
		"An entry did not take a guard's announcement.",
		"Check the network to the entries if it lasts."}
	RepeatDropped = Event{1104, "repeat-dropped", hclog.Warn,
		[]string{"request", "endpoint"},
		"A guard dropped a non-idempotent request whose id it had passed on before.",
		"Find the caller or balancer that repeats; if the entries let it through, look at their claims."}
)

var callerEvents = []Event{RequestRouted, RequestEnded, AnswerDropped, ClaimDenied,
	GuardStarted, GuardStopped, AnnouncementFailed, RepeatDropped}
