// Package endpoint decides which endpoints may receive requests and which of
// them receives the next one.
//
// Invariants: the leaving state is final for an incarnation; an announcement is
// valid only for its time to live, counted from when the endpoint made it,
// however often it is forwarded. A Membership belongs to the control goroutine.
// A View is immutable and shared with the goroutines that serve requests, which
// change only the atomic counters of a Load.
package endpoint

import (
	"net/netip"
	"strconv"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/status"
	"rosemarygap/core/table"
	"rosemarygap/core/wire"
)

// State is the state that an endpoint announces.
type State string

// States of an endpoint.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// tombstoneTTL is how long a departed incarnation is kept.
const tombstoneTTL = 10 * time.Minute

// Announcement is an endpoint's description of itself, which it sends
// periodically.
type Announcement struct {
	ID          string         `json:"id"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	Seq         int64          `json:"seq"`
	State       State          `json:"state"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// VM names the VM if the IP address does not identify it.
	VM string `json:"vm,omitempty"`
	// Uptime is the time since the incarnation began, by the endpoint's own
	// clock. It bounds when an announcement that was long in transit was made.
	// 0 means unknown.
	Uptime wire.Duration `json:"uptime,omitempty"`
}

// EqualExceptRefresh reports whether a and b are equal except for the fields that
// every refresh changes.
func (a Announcement) EqualExceptRefresh(b Announcement) bool {
	a.Seq, a.Uptime = b.Seq, b.Uptime
	return a == b
}

// Upper limits of an announcement's numbers.
const (
	maxSlots       = 4096
	maxConnections = 65536
	// maxIncarnation is the Unix time in nanoseconds of about the year 2116.
	maxIncarnation = 1 << 62
	maxSeq         = 1 << 53
)

// Check returns an error with a status code if a is invalid.
func (a *Announcement) Check() error {
	switch {
	case a.ID == "":
		return status.At(status.ErrMissingField, "id", "")
	case a.Service == "":
		return status.At(status.ErrMissingField, "service", "")
	case !a.Address.IsValid():
		return status.At(status.ErrMissingField, "address", a.Address.String())
	case a.State != Ready && a.State != Leaving:
		return status.At(status.ErrOutOfRange, "state", string(a.State))
	case a.Slots < 1 || a.Slots > maxSlots:
		return status.At(status.ErrOutOfRange, "slots", "")
	case a.Connections < 1 || a.Connections > maxConnections:
		return status.At(status.ErrOutOfRange, "connections", "")
	case a.Incarnation < 0 || a.Incarnation > maxIncarnation:
		return status.At(status.ErrOutOfRange, "incarnation", strconv.FormatInt(a.Incarnation, 10))
	case a.Seq < 0 || a.Seq > maxSeq:
		return status.At(status.ErrOutOfRange, "seq", strconv.FormatInt(a.Seq, 10))
	}
	return nil
}

// member is the state of one known endpoint.
type member struct {
	latest Announcement
	// announcedAt is the latest time at which the newest announcement, or a
	// refresh of it, may have been made.
	announcedAt time.Time
	// beganAt is the latest time at which the incarnation may have begun. It
	// becomes earlier with each announcement that arrived faster than all
	// before it, and is zero while no announcement had an uptime.
	beganAt time.Time
	load    *Load
}

// Membership is the table of known endpoints.
type Membership struct {
	members *table.Table[string, member]
	ttl     time.Duration
	lease   *SendLease
	share   func(id string, slots int) int
}

// Option configures a Membership.
type Option func(*Membership)

// WithSendLease makes the endpoints usable only while lease is valid.
func WithSendLease(lease *SendLease) Option { return func(m *Membership) { m.lease = lease } }

// WithShare sets how many of an endpoint's slots this entry may use.
func WithShare(f func(id string, slots int) int) Option {
	return func(m *Membership) { m.share = f }
}

// NewMembership returns an empty table with time to live ttl for announcements.
func NewMembership(ttl time.Duration, opts ...Option) *Membership {
	m := &Membership{members: table.New[string, member](), ttl: ttl}
	m.share = func(_ string, slots int) int { return slots }
	for _, o := range opts {
		o(m)
	}
	return m
}

// SetTTL changes the time to live of announcements.
func (m *Membership) SetTTL(ttl time.Duration) { m.ttl = ttl }

// Apply applies an announcement that was made at least age before now, and
// reports whether a new view is needed.
func (m *Membership) Apply(a Announcement, age time.Duration, now time.Time) bool {
	announcedAt := now.Add(-age)
	old := m.members.Get(a.ID)
	if old == nil || a.Incarnation > old.latest.Incarnation {
		e := m.members.Put(a.ID, member{latest: a, announcedAt: announcedAt, load: m.newLoad(&a)})
		e.boundAnnounceTime(announcedAt)
		e.load.setExpires(announcedAt.Add(m.ttl))
		return old != nil || m.usable(e, now)
	}
	if !supersedes(&a, &old.latest) {
		return false
	}
	return m.update(old, a, announcedAt, now)
}

// boundAnnounceTime returns the latest time at which the newest announcement may
// have been made, given that it was not made after announcedAt. It lowers beganAt
// if the announcement's uptime implies an earlier start. For an announcement that
// was long in transit, beganAt plus the uptime is an earlier bound than
// announcedAt.
func (e *member) boundAnnounceTime(announcedAt time.Time) time.Time {
	uptime := e.latest.Uptime.Std()
	if uptime <= 0 {
		return announcedAt
	}
	if beganAt := announcedAt.Add(-uptime); e.beganAt.IsZero() || beganAt.Before(e.beganAt) {
		e.beganAt = beganAt
	}
	return e.beganAt.Add(uptime)
}

// update applies a newer announcement of a known incarnation.
func (m *Membership) update(e *member, a Announcement, announcedAt, now time.Time) bool {
	wasUsable := m.usable(e, now)
	candidateChanged := a.Address != e.latest.Address || a.Slots != e.latest.Slots
	e.latest = a
	e.load.SetLimit(m.share(a.ID, a.Slots))
	m.refresh(e, e.boundAnnounceTime(announcedAt))
	return candidateChanged || wasUsable != m.usable(e, now)
}

// Refresh records that an incarnation was alive at aliveAt. It reports whether
// this extended the announcement, and whether it changed which endpoints may
// receive requests.
func (m *Membership) Refresh(id string, incarnation int64, aliveAt, now time.Time) (refreshed, changed bool) {
	e := m.members.Get(id)
	if e == nil || !aliveAt.After(e.announcedAt) || e.latest.Incarnation != incarnation || e.latest.State != Ready {
		return false, false
	}
	wasUsable := m.usable(e, now)
	m.refresh(e, aliveAt)
	return true, wasUsable != m.usable(e, now)
}

func (m *Membership) refresh(e *member, announcedAt time.Time) {
	if announcedAt.After(e.announcedAt) {
		e.announcedAt = announcedAt
		e.load.setExpires(announcedAt.Add(m.ttl))
	}
}

func (m *Membership) newLoad(a *Announcement) *Load {
	l := NewLoad(m.share(a.ID, a.Slots))
	l.lease = m.lease
	return l
}

// supersedes reports whether a replaces b, which is of the same or a later
// incarnation. Within an incarnation nothing replaces a leaving announcement.
func supersedes(a, b *Announcement) bool {
	if a.Incarnation != b.Incarnation || b.State == Leaving {
		return false
	}
	return a.State == Leaving || a.Seq > b.Seq
}

func (m *Membership) usable(e *member, now time.Time) bool {
	return e.latest.State == Ready && !clock.Expired(e.announcedAt.Add(m.ttl), now)
}

// ApplyShares sets every endpoint's limit to this entry's share of its slots.
func (m *Membership) ApplyShares() {
	for id, e := range m.members.All {
		e.load.SetLimit(m.share(id, e.latest.Slots))
	}
}

// OverLimit returns the ids of the endpoints that have more requests of this
// entry in progress than its share, because the share shrank.
func (m *Membership) OverLimit() []string {
	var out []string
	for id, e := range m.members.All {
		if e.load.Busy() > e.load.Limit() {
			out = append(out, id)
		}
	}
	return out
}

// Expire deletes endpoints whose tombstones have expired and reports whether any
// announcement expired since view was built.
func (m *Membership) Expire(view *View, now time.Time) bool {
	var expired []string
	for id, e := range m.members.All {
		if clock.Elapsed(e.announcedAt, now) > tombstoneTTL {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		m.members.Delete(id)
	}
	return view.hasLapsed(now)
}

// Latest returns the newest announcement of an endpoint and the latest time at
// which that announcement, or a refresh of it, may have been made.
func (m *Membership) Latest(id string) (a Announcement, announcedAt time.Time, ok bool) {
	e := m.members.Get(id)
	if e == nil {
		return a, announcedAt, false
	}
	return e.latest, e.announcedAt, true
}
