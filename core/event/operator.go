package event

import "github.com/hashicorp/go-hclog"

// Events of the operators' interface, 5000 to 5999.
var (
	ConfigAccepted = Event{5001, "config-accepted", hclog.Info,
		[]string{"revision"}, "An operator's document was accepted.", "None."}
	ConfigRefused = Event{5002, "config-refused", hclog.Warn,
		[]string{"reason"}, "An operator's document was refused.",
		"The answer lists each fault with its code, path and value."}
)

var operatorEvents = []Event{ConfigAccepted, ConfigRefused}
