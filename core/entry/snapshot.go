// Package entry defines the immutable snapshot of an entry's state that its request
// goroutines and handlers read, and the states of entries and workers that are
// reported to operators. An entry is a process that accepts the requests of callers.
//
// Invariant: a Snapshot is immutable after it is published. Only the control
// goroutine builds and publishes snapshots.
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

// Snapshot is the state of an entry at one point in time.
type Snapshot struct {
	// Config is the configuration in force, or nil before the first one.
	Config *operator.AcceptedConfig
	// Endpoints are the endpoints that may receive requests.
	Endpoints *endpoint.View
	// Members are the registered entries, including this one, in no fixed order.
	Members []peer.Member
	// Owners maps cell numbers to the owners of the cells.
	Owners map[int]platform.Owner
	// EndpointWeights holds the weights of endpoints, which depend on the interference
	// on their VMs.
	EndpointWeights *interference.EndpointWeights
	// HasShares is true while this entry may use its shares of the endpoints.
	HasShares bool
	// Stopping is true from the start of a graceful shutdown.
	Stopping bool
}

// EmptySnapshot returns the snapshot of an entry that has no state yet.
func EmptySnapshot() *Snapshot {
	return &Snapshot{Endpoints: endpoint.EmptyView()}
}

// Ready reports whether the entry may receive traffic from callers.
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

// Status is the state of an entry as reported to operators.
type Status struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Revision int64  `json:"config-revision"`
	Cells    []int  `json:"cells"`
	Ready    bool   `json:"ready"`
	// Operator is the address at which this entry serves operators.
	Operator netip.AddrPort `json:"operator-address,omitzero"`
	// Services holds the latency of requests by service, as seen by the callers of
	// this entry.
	Services []latency.Service `json:"services,omitempty"`
	// Code is the error code if the entry didn't respond. Of the other fields only ID
	// and Zone are then set.
	Code string `json:"code,omitempty"`
}
