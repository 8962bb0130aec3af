package event

import "github.com/hashicorp/go-hclog"

// Events of the request path have the numbers 1000 to 1999.
var (
	RequestRouted = Event{1001, "request-routed", hclog.Info,
		[]string{"request", "service", "endpoint", "attempt"},
		"An entry dispatched a request to an endpoint.", "None."}
	RequestEnded = Event{1002, "request-ended", hclog.Info,
		[]string{"request", "service", "outcome", "reason", "attempt", "elapsed"},
		"A request received its final response.", "None."}
	AnswerDropped = Event{1003, "answer-dropped", hclog.Warn,
		[]string{"request", "endpoint", "reason"},
		"An endpoint's response was dropped because it belonged to another request or was truncated.",
		"Inspect the endpoint if the event repeats."}
	ClaimDenied = Event{1004, "claim-denied", hclog.Info,
		[]string{"request", "service", "reason"},
		"A non-idempotent request was not dispatched because its id is or may be a duplicate.",
		"None; if the event persists, check that the entries can reach one another and the key-value service."}
)

// Events of a guard, the sidecar of an endpoint, have the numbers 1100 to 1199.
var (
	GuardStarted = Event{1101, "guard-started", hclog.Info,
		[]string{"endpoint", "address"},
		"A guard started to announce its endpoint.", "None."}
	GuardStopped = Event{1102, "guard-stopped", hclog.Info,
		[]string{"endpoint"},
		"A guard stopped, and its endpoint is no longer announced.", "None."}
	AnnouncementFailed = Event{1103, "announcement-failed", hclog.Warn,
		[]string{"endpoint", "address", "reason"},
		"An entry did not accept a guard's announcement.",
		"Check the network to the entries if the event persists."}
	RepeatDropped = Event{1104, "repeat-dropped", hclog.Warn,
		[]string{"request", "endpoint"},
		"A guard dropped a non-idempotent request because it had already forwarded one with the same id.",
		"Find the caller or load balancer that sends duplicates; if the entries let them through, check how they claim request ids."}
)

var callerEvents = []Event{RequestRouted, RequestEnded, AnswerDropped, ClaimDenied,
	GuardStarted, GuardStopped, AnnouncementFailed, RepeatDropped}
