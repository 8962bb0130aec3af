package event

import "github.com/hashicorp/go-hclog"

// Events of a process's own life, 6000 to 6999.
var (
	ProcessStarted = Event{6001, "process-started", hclog.Info,
		[]string{"entry", "address"}, "The process serves.", "None."}
	ProcessStopping = Event{6002, "process-stopping", hclog.Info,
		[]string{"entry"}, "A graceful stop began.", "None."}
	ProcessStopped = Event{6003, "process-stopped", hclog.Info,
		[]string{"entry", "reason"}, "The process ended.",
		"If a reason is given, look it up in docs/INTERFACES.md."}
)

var processEvents = []Event{ProcessStarted, ProcessStopping, ProcessStopped}
