// Package operator defines the configuration document that operators edit, and
// its validation. The document configures the entries, which are the processes that
// accept the requests of callers and schedule batch jobs.
//
// Invariant: an AcceptedConfig is immutable after construction. Readers share
// it, and a higher revision replaces it as a whole.
package operator

import (
	"slices"

	"rosemarygap/core/wire"
)

// Format is the required value of a document's format field.
const Format = "rosemarygap-config-1"

// Document is the complete configuration that operators control.
type Document struct {
	Format string `json:"format"`
	// Cells is the number of scheduling cells among which jobs and workers are
	// divided.
	Cells int `json:"cells"`
	// Capacity is the total capacity of all workers. If it is given, no quota
	// may exceed it.
	Capacity *Quota    `json:"capacity,omitempty"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Classes  []Class   `json:"batch-classes"`
	Rules    []Rule    `json:"placement-rules"`
	Timings  Timings   `json:"timings"`
	// Draining lists the ids of the workers that admit no further batch work.
	Draining []string `json:"draining-workers,omitempty"`
}

// Service is one latency-critical service.
type Service struct {
	Name string `json:"name"`
	// LatencyTarget is the target for the 99th percentile of the latency.
	LatencyTarget wire.Duration `json:"latency-target"`
	// Deadline is the default deadline of requests that specify none.
	Deadline wire.Duration `json:"deadline"`
	// QueueLimit is the maximum number of queued requests at one entry.
	QueueLimit int `json:"queue-limit"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max-body-bytes"`
}

// Team is an owner of batch jobs with a resource quota.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota is an amount of resources: thousandths of a processor, MiB of memory,
// and whole accelerators. A team's quota limits the total that its running jobs
// may hold.
type Quota struct {
	Processors   int   `json:"processors-milli"`
	Memory       int64 `json:"memory-mib"`
	Accelerators int   `json:"accelerators"`
}

// Class is a class of batch jobs.
type Class struct {
	Name string `json:"name"`
	// Urgent is true if the jobs of the class take precedence over jobs that are
	// not urgent.
	Urgent bool `json:"urgent"`
}

// Rule is a placement rule: it restricts where the jobs of a batch class run.
type Rule struct {
	Name  string `json:"name"`
	Class string `json:"batch-class"`
	// AvoidService keeps the class off VMs with an endpoint of the service.
	AvoidService string `json:"avoid-service,omitempty"`
	// Zones lists the availability zones in which the class may run. If it is
	// empty, the class may run in every zone.
	Zones []string `json:"zones,omitempty"`
}

// Timings are the intervals and timeouts of the control plane.
type Timings struct {
	// Tick is the interval at which an entry runs its periodic work.
	Tick wire.Duration `json:"tick"`
	// LeaseGrant is the duration of a worker's lease.
	LeaseGrant wire.Duration `json:"lease-grant"`
	// OutageHold is how long leases are renewed and request ids may be claimed
	// while the store is unavailable.
	OutageHold wire.Duration `json:"outage-hold"`
	// AnnouncementTTL is how long an announcement of an endpoint is valid.
	AnnouncementTTL wire.Duration `json:"announcement-ttl"`
}

// AcceptedConfig is a document that took effect, with its revision.
type AcceptedConfig struct {
	Revision int64    `json:"revision"`
	ChangeID string   `json:"change-id"`
	Document Document `json:"document"`
	// RecentChanges lists the latest changes, including this one, newest first.
	RecentChanges []Change `json:"recent-changes,omitempty"`
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Class returns the batch class with the given name, or nil.
func (d *Document) Class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}

// Team returns the team with the given name, or nil.
func (d *Document) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// SetDraining adds a worker to the list of draining workers, or removes it.
func (d *Document) SetDraining(worker string, draining bool) {
	d.Draining = slices.DeleteFunc(slices.Clone(d.Draining), func(w string) bool { return w == worker })
	if draining {
		d.Draining = append(d.Draining, worker)
		slices.Sort(d.Draining)
	}
}
