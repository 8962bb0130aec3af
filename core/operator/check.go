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

// Bounds of the values in a configuration document.
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
	// MaxQuota applies to each resource of a Quota, in the unit of the resource.
	MaxQuota = 1 << 40
)

// minTicksPerLease is the minimum duration of a lease in ticks. A lease that is
// renewed at every tick then survives two lost renewals.
const minTicksPerLease = 3

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s consists of 1 to 63 lowercase letters, digits and
// hyphens and doesn't start with a hyphen.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Fault is one validation error of a document.
type Fault struct {
	Code status.Code `json:"code"`
	// Path identifies the invalid field, such as services[0].name. For a fault that
	// concerns no single field it is empty, document, or a word that says what
	// Value is, such as byte-offset.
	Path  string `json:"path"`
	Value string `json:"value"`
}

type checker struct {
	faults []Fault
}

func (c *checker) add(err *status.Error, path, value string) {
	c.faults = append(c.faults, Fault{err.Code(), path, value})
}

func (c *checker) checkName(path, s string, seen map[string]bool) {
	if !ValidName(s) {
		c.add(status.ErrBadName, path, s)
	}
	if seen[s] {
		c.add(status.ErrDuplicateID, path, s)
	}
	seen[s] = true
}

func (c *checker) checkRange(path string, v, low, high int64) {
	if v < low || v > high {
		c.add(status.ErrOutOfRange, path, strconv.FormatInt(v, 10))
	}
}

func (c *checker) checkDuration(path string, d wire.Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.add(status.ErrOutOfRange, path, d.Std().String())
	}
}

// Check validates the values of d and returns every fault that it finds. A
// document without faults may take effect.
func Check(d *Document) []Fault {
	c := &checker{}
	if d.Format != Format {
		c.add(status.ErrOutOfRange, "format", d.Format)
	}
	c.checkRange("cells", int64(d.Cells), 1, MaxCells)
	if d.Capacity != nil {
		c.checkQuota("capacity.", *d.Capacity)
	}
	c.checkServices(d)
	c.checkTeams(d)
	c.checkClasses(d)
	c.checkRules(d)
	c.checkZoneConflicts(d)
	c.checkTimings(&d.Timings)
	c.checkNames("draining-workers", d.Draining)
	return c.faults
}

// checkNames checks that names are valid and distinct.
func (c *checker) checkNames(path string, names []string) {
	seen := map[string]bool{}
	for i, s := range names {
		c.checkName(elementPath(path, i), s, seen)
	}
}

// checkQuota checks the quota whose fields have paths with the given prefix.
func (c *checker) checkQuota(prefix string, q Quota) {
	c.checkRange(prefix+"processors-milli", int64(q.Processors), 0, MaxQuota)
	c.checkRange(prefix+"memory-mib", q.Memory, 0, MaxQuota)
	c.checkRange(prefix+"accelerators", int64(q.Accelerators), 0, MaxQuota)
}

func (c *checker) checkServices(d *Document) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		p := fmt.Sprintf("services[%d].", i)
		c.checkName(p+"name", s.Name, seen)
		c.checkDuration(p+"latency-target", s.LatencyTarget, time.Millisecond, MaxDeadline)
		c.checkDuration(p+"deadline", s.Deadline, time.Millisecond, MaxDeadline)
		if s.Deadline > 0 && s.LatencyTarget > s.Deadline {
			c.add(status.ErrContradiction, p+"latency-target", s.LatencyTarget.Std().String())
		}
		c.checkRange(p+"queue-limit", int64(s.QueueLimit), 1, MaxQueueLimit)
		c.checkRange(p+"max-body-bytes", s.MaxBodyBytes, 1, MaxBodyBytes)
	}
}

func (c *checker) checkTeams(d *Document) {
	seen := map[string]bool{}
	for i, t := range d.Teams {
		p := fmt.Sprintf("teams[%d].", i)
		c.checkName(p+"name", t.Name, seen)
		c.checkQuota(p+"quota.", t.Quota)
		if d.Capacity != nil {
			c.checkQuotaWithin(p+"quota.", t.Quota, *d.Capacity)
		}
	}
}

// checkQuotaWithin checks that a quota doesn't exceed the capacity.
func (c *checker) checkQuotaWithin(prefix string, q, capacity Quota) {
	c.checkAtMost(prefix+"processors-milli", int64(q.Processors), int64(capacity.Processors))
	c.checkAtMost(prefix+"memory-mib", q.Memory, capacity.Memory)
	c.checkAtMost(prefix+"accelerators", int64(q.Accelerators), int64(capacity.Accelerators))
}

func (c *checker) checkAtMost(path string, v, capacity int64) {
	if v > capacity {
		c.add(status.ErrAboveCapacity, path, strconv.FormatInt(v, 10))
	}
}

func (c *checker) checkClasses(d *Document) {
	seen := map[string]bool{}
	for i, b := range d.Classes {
		c.checkName(fmt.Sprintf("batch-classes[%d].name", i), b.Name, seen)
	}
}

func (c *checker) checkRules(d *Document) {
	seen := map[string]bool{}
	for i, r := range d.Rules {
		p := fmt.Sprintf("placement-rules[%d].", i)
		c.checkName(p+"name", r.Name, seen)
		if d.Class(r.Class) == nil {
			c.add(status.ErrUnknownRef, p+"batch-class", r.Class)
		}
		if r.AvoidService != "" && d.Service(r.AvoidService) == nil {
			c.add(status.ErrUnknownRef, p+"avoid-service", r.AvoidService)
		}
		if r.AvoidService == "" && len(r.Zones) == 0 {
			c.add(status.ErrMissingField, p+"avoid-service", "")
		}
		c.checkNames(p+"zones", r.Zones)
	}
}

// checkZoneConflicts reports placement rules of one class whose zone lists have
// no availability zone in common. It reports only the first such conflict of a
// class.
func (c *checker) checkZoneConflicts(d *Document) {
	allowed := map[string][]string{}
	for i, r := range d.Rules {
		if len(r.Zones) == 0 {
			continue
		}
		previous, ok := allowed[r.Class]
		if !ok {
			allowed[r.Class] = r.Zones
			continue
		}
		common := slices.DeleteFunc(slices.Clone(previous), func(z string) bool { return !slices.Contains(r.Zones, z) })
		if len(common) == 0 && len(previous) > 0 {
			c.add(status.ErrContradiction, fmt.Sprintf("placement-rules[%d].zones", i), strings.Join(r.Zones, ","))
		}
		allowed[r.Class] = common
	}
}

func (c *checker) checkTimings(t *Timings) {
	c.checkDuration("timings.tick", t.Tick, MinTick, MaxTick)
	c.checkDuration("timings.lease-grant", t.LeaseGrant, MinLeaseGrant, MaxLeaseGrant)
	if t.LeaseGrant < t.Tick*minTicksPerLease {
		c.add(status.ErrContradiction, "timings.lease-grant", t.LeaseGrant.Std().String())
	}
	c.checkDuration("timings.outage-hold", t.OutageHold, t.LeaseGrant.Std(), MaxOutageHold)
	c.checkDuration("timings.announcement-ttl", t.AnnouncementTTL, MinAnnouncementTTL, MaxAnnouncementTTL)
}
