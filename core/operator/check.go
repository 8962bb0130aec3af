package operator

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Bounds of the document's values.
const (
	MaxCells           = 64
	MinTick            = 50 * time.Millisecond
	MaxTick            = 2 * time.Second
	MinLeaseGrant      = time.Second
	MaxLeaseGrant      = 5 * time.Minute
	MaxOutageHold      = 2 * time.Hour
	MinAnnouncementTTL = time.Second
	MaxAnnouncementTTL = 3 * time.Second
	MaxDeadline        = 10 * time.Minute
	MaxQueueLimit      = 100_000
	MaxBodyBytes       = 64 << 20
	MaxQuota           = 1 << 40
)

// minTicksPerGrant leaves room for two lost renewals within a lease.
const minTicksPerGrant = 3

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s is a kebab-case name of at most 63 characters.
func ValidName(s string) bool { return nameForm.MatchString(s) }

// Fault is one reason why a document is refused.
type Fault struct {
	Code  status.Code `json:"code"`
	Path  string      `json:"path"`
	Value string      `json:"value"`
}

type checker struct {
	faults []Fault
}

func (c *checker) add(err *status.Error, path, value string) {
	c.faults = append(c.faults, Fault{err.Code(), path, value})
}

func (c *checker) name(path, s string, seen map[string]bool) {
	if !ValidName(s) {
		c.add(status.ErrBadName, path, s)
	}
	if seen[s] {
		c.add(status.ErrDuplicateID, path, s)
	}
	seen[s] = true
}

func (c *checker) number(path string, v, low, high int64) {
	if v < low || v > high {
		c.add(status.ErrOutOfRange, path, strconv.FormatInt(v, 10))
	}
}

func (c *checker) period(path string, d wire.Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.add(status.ErrOutOfRange, path, d.Std().String())
	}
}

// Check returns every fault of d; a document without faults may take effect.
func Check(d *Document) []Fault {
	c := &checker{}
	if d.Format != Format {
		c.add(status.ErrOutOfRange, "format", d.Format)
	}
	c.number("cells", int64(d.Cells), 1, MaxCells)
	if d.Capacity != nil {
		c.quota("capacity.", *d.Capacity)
	}
	c.services(d)
	c.teams(d)
	c.classes(d)
	c.rules(d)
	c.zones(d)
	c.timings(&d.Timings)
	c.names("draining-workers", d.Draining)
	return c.faults
}

// names checks a list of distinct names.
func (c *checker) names(path string, names []string) {
	seen := map[string]bool{}
	for i, s := range names {
		c.name(element(path, i), s, seen)
	}
}

func (c *checker) quota(path string, q Quota) {
	c.number(path+"processors-milli", int64(q.Processors), 0, MaxQuota)
	c.number(path+"memory-mib", q.Memory, 0, MaxQuota)
	c.number(path+"accelerators", int64(q.Accelerators), 0, MaxQuota)
}

func (c *checker) services(d *Document) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		p := fmt.Sprintf("services[%d].", i)
		c.name(p+"name", s.Name, seen)
		c.period(p+"latency-target", s.LatencyTarget, time.Millisecond, MaxDeadline)
		c.period(p+"deadline", s.Deadline, time.Millisecond, MaxDeadline)
		if s.Deadline > 0 && s.LatencyTarget > s.Deadline {
			c.add(status.ErrContradiction, p+"latency-target", s.LatencyTarget.Std().String())
		}
		c.number(p+"queue-limit", int64(s.QueueLimit), 1, MaxQueueLimit)
		c.number(p+"max-body-bytes", s.MaxBodyBytes, 1, MaxBodyBytes)
	}
}

func (c *checker) teams(d *Document) {
	seen := map[string]bool{}
	for i, t := range d.Teams {
		p := fmt.Sprintf("teams[%d].", i)
		c.name(p+"name", t.Name, seen)
		c.quota(p+"quota.", t.Quota)
		if d.Capacity != nil {
			c.within(p+"quota.", t.Quota, *d.Capacity)
		}
	}
}

// within checks that a quota is no larger than the capacity.
func (c *checker) within(path string, q, capacity Quota) {
	c.above(path+"processors-milli", int64(q.Processors), int64(capacity.Processors))
	c.above(path+"memory-mib", q.Memory, capacity.Memory)
	c.above(path+"accelerators", int64(q.Accelerators), int64(capacity.Accelerators))
}

func (c *checker) above(path string, v, capacity int64) {
	if v > capacity {
		c.add(status.ErrAboveCapacity, path, strconv.FormatInt(v, 10))
	}
}

func (c *checker) classes(d *Document) {
	seen := map[string]bool{}
	for i, b := range d.Classes {
		c.name(fmt.Sprintf("batch-classes[%d].name", i), b.Name, seen)
	}
}

func (c *checker) rules(d *Document) {
	seen := map[string]bool{}
	for i, r := range d.Rules {
		p := fmt.Sprintf("placement-rules[%d].", i)
		c.name(p+"name", r.Name, seen)
		if d.Class(r.Class) == nil {
			c.add(status.ErrUnknownRef, p+"batch-class", r.Class)
		}
		if r.AvoidService != "" && d.Service(r.AvoidService) == nil {
			c.add(status.ErrUnknownRef, p+"avoid-service", r.AvoidService)
		}
		if r.AvoidService == "" && len(r.Zones) == 0 {
			c.add(status.ErrMissingField, p+"avoid-service", "")
		}
		c.names(p+"zones", r.Zones)
	}
}

// zones finds rules of one class that together leave it no availability zone.
func (c *checker) zones(d *Document) {
	left := map[string][]string{}
	for i, r := range d.Rules {
		if len(r.Zones) == 0 {
			continue
		}
		old, ok := left[r.Class]
		if !ok {
			left[r.Class] = r.Zones
			continue
		}
		both := slices.DeleteFunc(slices.Clone(old), func(z string) bool { return !slices.Contains(r.Zones, z) })
		if len(both) == 0 && len(old) > 0 {
			c.add(status.ErrContradiction, fmt.Sprintf("placement-rules[%d].zones", i), strings.Join(r.Zones, ","))
		}
		left[r.Class] = both
	}
}

func (c *checker) timings(t *Timings) {
	c.period("timings.tick", t.Tick, MinTick, MaxTick)
	c.period("timings.lease-grant", t.LeaseGrant, MinLeaseGrant, MaxLeaseGrant)
	if t.LeaseGrant < t.Tick*minTicksPerGrant {
		c.add(status.ErrContradiction, "timings.lease-grant", t.LeaseGrant.Std().String())
	}
	c.period("timings.outage-hold", t.OutageHold, t.LeaseGrant.Std(), MaxOutageHold)
	c.period("timings.announcement-ttl", t.AnnouncementTTL, MinAnnouncementTTL, MaxAnnouncementTTL)
}
