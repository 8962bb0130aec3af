// Package operator holds the configuration document and its checks.
//
// Invariant: an Accepted value is never changed after it is built; readers
// share it, and a higher revision replaces it whole.
package operator

import (
	"slices"

	"rosemarygap/core/wire"
)

// Format is the format name that every document carries.
const Format = "rosemarygap-config-1"

// Document is the operators' whole configuration.
type Document struct {
	Format string `json:"format"`
	Cells  int    `json:"cells"`
	// Capacity, if given, is what all workers offer together.
	Capacity *Quota    `json:"capacity,omitempty"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Classes  []Class   `json:"batch-classes"`
	Rules    []Rule    `json:"placement-rules"`
	Timings  Timings   `json:"timings"`
	Draining []string  `json:"draining-workers,omitempty"`
}

// Service is one latency-critical service.
type Service struct {
	Name string `json:"name"`
	// LatencyTarget is the 99th percentile that the service must meet.
	LatencyTarget wire.Duration `json:"latency-target"`
	// Deadline applies to requests that carry none.
	Deadline wire.Duration `json:"deadline"`
	// QueueLimit bounds the requests that wait at one entry.
	QueueLimit int `json:"queue-limit"`
	// MaxBody is the largest accepted request body, in bytes.
	MaxBodyBytes int64 `json:"max-body-bytes"`
}

// Team owns jobs and has a quota.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota bounds what the running jobs of a team may hold together.
type Quota struct {
	Processors   int   `json:"processors-milli"`
	Memory       int64 `json:"memory-mib"`
	Accelerators int   `json:"accelerators"`
}

// Class is a kind of batch job with one urgency.
type Class struct {
	Name   string `json:"name"`
	Urgent bool   `json:"urgent"`
}

// Rule restricts where the jobs of a class run.
type Rule struct {
	Name  string `json:"name"`
	Class string `json:"batch-class"`
	// AvoidService keeps the class off VMs with an endpoint of the service.
	AvoidService string `json:"avoid-service,omitempty"`
	// Zones, if any, are the only availability zones for the class.
	Zones []string `json:"zones,omitempty"`
}

// Timings are the periods of control work.
type Timings struct {
	Tick            wire.Duration `json:"tick"`
	LeaseGrant      wire.Duration `json:"lease-grant"`
	OutageHold      wire.Duration `json:"outage-hold"`
	AnnouncementTTL wire.Duration `json:"announcement-ttl"`
}

// Accepted is a document in force with its revision.
type AcceptedConfig struct {
	Revision int64    `json:"revision"`
	ChangeID string   `json:"change-id"`
	Document Document `json:"document"`
	// Recent are the latest changes, this one included, newest first.
	RecentChanges []Change `json:"recent-changes,omitempty"`
}

// Service returns the service called name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Class returns the batch class called name, or nil.
func (d *Document) Class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}

// Team returns the team called name, or nil.
func (d *Document) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// SetDraining adds a worker to the draining ones or removes it.
func (d *Document) SetDraining(worker string, on bool) {
	d.Draining = slices.DeleteFunc(slices.Clone(d.Draining), func(w string) bool { return w == worker })
	if on {
		d.Draining = append(d.Draining, worker)
		slices.Sort(d.Draining)
	}
}
