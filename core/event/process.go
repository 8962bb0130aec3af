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
	ConnectionsClosed = Event{6004, "connections-closed", hclog.Warn,
		[]string{"listener", "closed", "refused", "count"},
		"In the last second, connections of clients were closed and requests refused to bound what all connections hold, or because they made no progress. The listener is the one with the most, which has this number of connections.",
		"See \"Clients that do not behave\" in docs/OPERATIONS.md."}
)

var processEvents = []Event{ProcessStarted, ProcessStopping, ProcessStopped, ConnectionsClosed}
