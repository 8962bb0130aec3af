package operator

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Bounds of the document's values.
const (
	MaxCells    = 64
	MinTick     = 50 * time.Millisecond
	MaxTick     = 2 * time.Second
	MinGrant    = time.Second
	MaxGrant    = 5 * time.Minute
	MaxHold     = 2 * time.Hour
	MinTTL      = time.Second
	MaxTTL      = 3 * time.Second
	MaxDeadline = 10 * time.Minute
	MaxQueue    = 100_000
	MaxBody     = 64 << 20
)

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
	c.services(d)
	c.teams(d)
	c.classes(d)
	c.rules(d)
	c.timings(&d.Timings)
	return c.faults
}

func (c *checker) services(d *Document) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		p := fmt.Sprintf("services[%d].", i)
		c.name(p+"name", s.Name, seen)
		c.period(p+"latency-target", s.LatencyTarget, time.Millisecond, MaxDeadline)
		c.period(p+"deadline", s.Deadline, time.Millisecond, MaxDeadline)
		c.number(p+"queue-limit", int64(s.QueueLimit), 1, MaxQueue)
		c.number(p+"max-body-bytes", s.MaxBody, 1, MaxBody)
	}
}

func (c *checker) teams(d *Document) {
	seen := map[string]bool{}
	for i, t := range d.Teams {
		p := fmt.Sprintf("teams[%d].", i)
		c.name(p+"name", t.Name, seen)
		c.number(p+"quota.processors-milli", int64(t.Quota.Processors), 0, 1<<40)
		c.number(p+"quota.memory-mib", t.Quota.Memory, 0, 1<<40)
		c.number(p+"quota.accelerators", int64(t.Quota.Accelerators), 0, 1<<40)
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
	}
}

func (c *checker) timings(t *Timings) {
	c.period("timings.tick", t.Tick, MinTick, MaxTick)
	c.period("timings.lease-grant", t.LeaseGrant, MinGrant, MaxGrant)
	c.period("timings.outage-hold", t.OutageHold, t.LeaseGrant.Std(), MaxHold)
	c.period("timings.announcement-ttl", t.AnnouncementTTL, MinTTL, MaxTTL)
}
