package event

import "github.com/hashicorp/go-hclog"

// Events of endpoints and entry membership, 2000 to 2999.
var (
	EndpointAdded = Event{2001, "endpoint-added", hclog.Info,
		[]string{"endpoint", "service", "address"},
		"An endpoint announced itself and may receive requests.", "None."}
	EndpointRemoved = Event{2002, "endpoint-removed", hclog.Info,
		[]string{"endpoint", "service", "state"},
		"An endpoint left or its announcement lapsed.",
		"If it lapsed, check whether its VM failed."}
	PeerAdded = Event{2003, "peer-added", hclog.Info,
		[]string{"entry", "address"},
		"Another entry became known.", "None."}
	PeerRemoved = Event{2004, "peer-removed", hclog.Warn,
		[]string{"entry"},
		"Another entry's registration lapsed.", "Check whether its VM failed."}
	PeerUnreachable = Event{2005, "peer-unreachable", hclog.Warn,
		[]string{"entry", "reason"},
		"An exchange with another entry failed.",
		"Check the network between availability zones."}
)

var endpointEvents = []Event{EndpointAdded, EndpointRemoved, PeerAdded,
	PeerRemoved, PeerUnreachable}
