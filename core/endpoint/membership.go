// Package endpoint decides which endpoints may receive requests and which of
// them receives the next one.
//
// Invariants: leaving is final for an incarnation; an announcement counts only
// for its time to live from the moment the endpoint made it, however often it
// is passed on. The Membership belongs to the control goroutine; a View is
// immutable and shared with traffic goroutines, which change only the atomic
// counters of a Load.
package endpoint

import (
	"net/netip"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/status"
	"rosemarygap/core/table"
	"rosemarygap/core/wire"
)

// State is what an endpoint says of itself.
type State string

// States of an endpoint.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// tombstoneLife is how long a departed incarnation is remembered.
const tombstoneLife = 10 * time.Minute

// Announcement is what an endpoint says of itself.
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
	// VM names the VM, if it cannot be told by the IP address.
	VM string `json:"vm,omitempty"`
	// Uptime is the time since the incarnation began, on the endpoint's own
	// clock. It dates an announcement that was long under way; 0 if unknown.
	Uptime wire.Duration `json:"uptime,omitempty"`
}

// Same reports whether a and b differ only in what every refresh changes.
func (a Announcement) EqualExceptRefresh(b Announcement) bool {
	a.Seq, a.Uptime = b.Seq, b.Uptime
	return a == b
}

// Bounds of an announcement's numbers.
const (
	maxSlots       = 4096
	maxConnections = 65536
)

// Check returns a coded error if a is not acceptable.
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
	}
	return nil
}

type member struct {
	latest Announcement
	// made is the latest time at which the newest announcement may have been
	// made.
	made time.Time
	// began is the latest time at which the incarnation may have begun, and
	// falls with each announcement that came quicker than all before; zero
	// while none told its uptime.
	began time.Time
	load  *Load
}

// Membership is the table of known endpoints.
type Membership struct {
	members *table.Table[string, member]
	ttl     time.Duration
	gate    *SendLease
	share   func(id string, slots int) int
}

// Option changes how a Membership behaves.
type Option func(*Membership)

// WithGate makes the endpoints usable only while g is open.
func WithSendLease(g *SendLease) Option { return func(m *Membership) { m.gate = g } }

// WithShare sets how many of an endpoint's slots this entry may use.
func WithShare(f func(id string, slots int) int) Option {
	return func(m *Membership) { m.share = f }
}

// NewMembership returns an empty table whose announcements count for ttl.
func NewMembership(ttl time.Duration, opts ...Option) *Membership {
	m := &Membership{members: table.New[string, member](), ttl: ttl}
	m.share = func(_ string, slots int) int { return slots }
	for _, o := range opts {
		o(m)
	}
	return m
}

// SetTTL changes how long announcements count.
func (m *Membership) SetTTL(ttl time.Duration) { m.ttl = ttl }

// Apply takes in an announcement that was made age before now or earlier, and
// reports whether it changed who may receive requests.
func (m *Membership) Apply(a Announcement, age time.Duration, now time.Time) bool {
	made := now.Add(-age)
	old := m.members.Get(a.ID)
	if old == nil || a.Incarnation > old.latest.Incarnation {
		e := m.members.Put(a.ID, member{latest: a, made: made, load: m.newLoad(&a)})
		e.date(made)
		e.load.setExpires(made.Add(m.ttl))
		return old != nil || m.usable(e, now)
	}
	if !newer(&a, &old.latest) {
		return false
	}
	return m.renew(old, a, made, now)
}

// date takes in that the latest announcement was made no later than made and
// returns when it was made at the latest. One that was long under way is dated
// by the quickest one of its incarnation.
func (e *member) date(made time.Time) time.Time {
	up := e.latest.Uptime.Std()
	if up <= 0 {
		return made
	}
	if began := made.Add(-up); e.began.IsZero() || began.Before(e.began) {
		e.began = began
	}
	return e.began.Add(up)
}

// renew takes in a newer announcement of a known incarnation.
func (m *Membership) renew(e *member, a Announcement, made, now time.Time) bool {
	was := m.usable(e, now)
	moved := a.Address != e.latest.Address || a.Slots != e.latest.Slots
	e.latest = a
	e.load.SetLimit(m.share(a.ID, a.Slots))
	m.refresh(e, e.date(made))
	return moved || was != m.usable(e, now)
}

// Refresh takes in that an incarnation was alive at made. It reports whether
// that is news, and whether it changed who may receive requests.
func (m *Membership) Refresh(id string, incarnation int64, made, now time.Time) (news, changed bool) {
	e := m.members.Get(id)
	if e == nil || !made.After(e.made) || e.latest.Incarnation != incarnation || e.latest.State != Ready {
		return false, false
	}
	was := m.usable(e, now)
	m.refresh(e, made)
	return true, was != m.usable(e, now)
}

func (m *Membership) refresh(e *member, made time.Time) {
	if made.After(e.made) {
		e.made = made
		e.load.setExpires(made.Add(m.ttl))
	}
}

func (m *Membership) newLoad(a *Announcement) *Load {
	l := NewLoad(m.share(a.ID, a.Slots))
	l.gate = m.gate
	return l
}

// newer reports whether a replaces b, which is of the same or a later
// incarnation. Within an incarnation nothing follows a leaving announcement.
func newer(a, b *Announcement) bool {
	if a.Incarnation != b.Incarnation || b.State == Leaving {
		return false
	}
	return a.State == Leaving || a.Seq > b.Seq
}

func (m *Membership) usable(e *member, now time.Time) bool {
	return e.latest.State == Ready && !clock.Expired(e.made.Add(m.ttl), now)
}

// ApplyShares brings every endpoint's limit in line with this entry's share.
func (m *Membership) ApplyShares() {
	for id, e := range m.members.All {
		e.load.SetLimit(m.share(id, e.latest.Slots))
	}
}

// Over returns the endpoints at which more requests are in progress than this
// entry's share, because the share shrank.
func (m *Membership) OverLimit() []string {
	var out []string
	for id, e := range m.members.All {
		if e.load.Busy() > e.load.Limit() {
			out = append(out, id)
		}
	}
	return out
}

// Expire forgets old departures and reports whether any endpoint lapsed
// since the view was built.
func (m *Membership) Expire(view *View, now time.Time) bool {
	var forget []string
	for id, e := range m.members.All {
		if clock.Elapsed(e.made, now) > tombstoneLife {
			forget = append(forget, id)
		}
	}
	for _, id := range forget {
		m.members.Delete(id)
	}
	return view.lapsed(now)
}

// Latest returns the newest announcement of an endpoint and the latest time
// at which it, or a refresh of it, may have been made.
func (m *Membership) Latest(id string) (a Announcement, made time.Time, ok bool) {
	e := m.members.Get(id)
	if e == nil {
		return a, made, false
	}
	return e.latest, e.made, true
}
