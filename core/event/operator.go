package event

import "github.com/hashicorp/go-hclog"

// Events of the operators' interface, 5000 to 5999.
var (
	ConfigAccepted = Event{5001, "config-accepted", hclog.Info,
		[]string{"revision"}, "An operator's document was accepted.", "None."}
	ConfigRefused = Event{5002, "config-refused", hclog.Warn,
		[]string{"reason"}, "An operator's document was refused.",
		"The answer lists each fault with its code, path and value."}
	ConfigUnusable = Event{5003, "config-unusable", hclog.Error,
		[]string{"revision", "reason"},
		"A stored configuration fails the checks of this version and was not put in force.",
		"Apply a document that this version accepts, or install the version that wrote it."}
	AccessRefused = Event{5004, "access-refused", hclog.Warn,
		[]string{"reason", "address"},
		"A change was refused since it lacked the operator token or came from another site.",
		"If it repeats, find out who sends from that address; replace the token if it leaked."}
	LatencyTargetMissed = Event{5005, "latency-target-missed", hclog.Warn,
		[]string{"service", "elapsed"},
		"The 99th percentile that callers of this entry saw in 10 s is above the service's target.",
		"See \"When a target is missed\" in docs/OPERATING.md."}
	LatencyTargetMet = Event{5006, "latency-target-met", hclog.Info,
		[]string{"service", "elapsed"},
		"After a miss, the 99th percentile is within the target again.", "None."}
)

var operatorEvents = []Event{ConfigAccepted, ConfigRefused, ConfigUnusable, AccessRefused,
	LatencyTargetMissed, LatencyTargetMet}
