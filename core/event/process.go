package event

import "github.com/hashicorp/go-hclog"

// Events of the process lifecycle have the numbers 6000 to 6999.
var (
	ProcessStarted = Event{6001, "process-started", hclog.Info,
		[]string{"entry", "address"}, "The process is ready to serve requests.", "None."}
	ProcessStopping = Event{6002, "process-stopping", hclog.Info,
		[]string{"entry"}, "A graceful shutdown started.", "None."}
	ProcessStopped = Event{6003, "process-stopped", hclog.Info,
		[]string{"entry", "reason"}, "The process stopped.",
		"If a reason is given, look it up in docs/INTERFACES.md."}
)

var processEvents = []Event{ProcessStarted, ProcessStopping, ProcessStopped}
