package event

import "github.com/hashicorp/go-hclog"

// Events of endpoints and entry membership have the numbers 2000 to 2999.
var (
	EndpointAdded = Event{2001, "endpoint-added", hclog.Info,
		[]string{"endpoint", "service", "address"},
		"An endpoint announced itself and may receive requests.", "None."}
	EndpointRemoved = Event{2002, "endpoint-removed", hclog.Info,
		[]string{"endpoint", "service", "state"},
		"An endpoint announced that it is leaving, or its announcement expired.",
		"If the announcement expired, check whether the endpoint's VM failed."}
	PeerAdded = Event{2003, "peer-added", hclog.Info,
		[]string{"entry", "address"},
		"Another entry was discovered.", "None."}
	PeerRemoved = Event{2004, "peer-removed", hclog.Warn,
		[]string{"entry"},
		"The registration of another entry expired.", "Check whether the VM of that entry failed."}
	PeerUnreachable = Event{2005, "peer-unreachable", hclog.Warn,
		[]string{"entry", "reason"},
		"A message exchange with another entry failed.",
		"Check the network between availability zones."}
)

var endpointEvents = []Event{EndpointAdded, EndpointRemoved, PeerAdded,
	PeerRemoved, PeerUnreachable}
