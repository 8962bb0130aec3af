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
)

var callerEvents = []Event{RequestRouted, RequestEnded, AnswerDropped}
