// Package entry holds the immutable picture that traffic goroutines and
// handlers of an entry read.
//
// Invariant: a Snapshot never changes after it is published. The control
// goroutine builds each one and is its only publisher.
package entry

import (
	"net/netip"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/interference"
	"rosemarygap/core/latency"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	"rosemarygap/core/platform"
)

// Snapshot is what an entry knows at one time.
type Snapshot struct {
	// Config is the configuration in force, or nil before the first one.
	Config *operator.AcceptedConfig
	// Endpoints are the endpoints that may receive requests.
	Endpoints *endpoint.View
	// Members are the registered entries, this one included, by id.
	Members []peer.Member
	// Owners are the owners of cells by cell number.
	Owners map[int]platform.Owner
	// Advice weighs endpoints by the interference on their VMs.
	Advice *interference.EndpointWeights
	// Sharing is true while this entry may use its shares of the endpoints.
	HasShares bool
	// Stopping is true from the start of a planned stop.
	Stopping bool
}

// Empty returns the picture of an entry that knows nothing yet.
func EmptySnapshot() *Snapshot {
	return &Snapshot{Endpoints: endpoint.EmptyView()}
}

// Ready reports whether callers may be sent here.
func (s *Snapshot) Ready() bool { return s.Config != nil && s.HasShares && !s.Stopping }

// Revision returns the revision of the configuration in force, or 0.
func (s *Snapshot) Revision() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Revision
}

// Member returns the registered entry with the given id, or nil.
func (s *Snapshot) Member(id string) *peer.Member {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

// Status is what an entry says of itself to operators.
type Status struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Revision int64  `json:"config-revision"`
	Cells    []int  `json:"cells"`
	Ready    bool   `json:"ready"`
	// Operator is where this entry serves operators.
	Operator netip.AddrPort `json:"operator-address,omitzero"`
	// Services is the latency that callers of this entry saw.
	Services []latency.Service `json:"services,omitempty"`
	// Code is set instead of the other values if the entry did not answer.
	Code string `json:"code,omitempty"`
}
