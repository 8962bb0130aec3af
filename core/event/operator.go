package event

import "github.com/hashicorp/go-hclog"

// Events of the operator interface have the numbers 5000 to 5999.
var (
	ConfigAccepted = Event{5001, "config-accepted", hclog.Info,
		[]string{"revision"}, "A configuration document of an operator was accepted.", "None."}
	ConfigRefused = Event{5002, "config-refused", hclog.Warn,
		[]string{"reason"}, "A configuration document of an operator was rejected.",
		"The response lists each invalid field with its code, path and value."}
	ConfigUnusable = Event{5003, "config-unusable", hclog.Error,
		[]string{"revision", "reason"},
		"A stored configuration fails validation in this version and did not take effect.",
		"Apply a document that this version accepts, or install the version that wrote it."}
	AccessRefused = Event{5004, "access-refused", hclog.Warn,
		[]string{"reason", "address"},
		"A change was rejected because its request lacked the operator token or came from another web site.",
		"If the event repeats, find out who sends requests from that address; replace the token if it leaked."}
	LatencyTargetMissed = Event{5005, "latency-target-missed", hclog.Warn,
		[]string{"service", "elapsed"},
		"The 99th percentile latency that callers of this entry saw in the last 10 s, given in elapsed, is above the service's target.",
		"See \"When a target is missed\" in docs/OPERATING.md."}
	LatencyTargetMet = Event{5006, "latency-target-met", hclog.Info,
		[]string{"service", "elapsed"},
		"After a miss, the 99th percentile latency, given in elapsed, is within the service's target again.", "None."}
)

var operatorEvents = []Event{ConfigAccepted, ConfigRefused, ConfigUnusable, AccessRefused,
	LatencyTargetMissed, LatencyTargetMet}
