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

// Aged is an announcement with the time since the endpoint made it, as far
// as the sender knows.
type Aged struct {
	Announcement Announcement  `json:"announcement"`
	Age          wire.Duration `json:"age"`
}

type member struct {
	latest Announcement
	made   time.Time
	load   *Load
}

// Membership is the table of known endpoints.
type Membership struct {
	members *table.Table[string, member]
	ttl     time.Duration
}

// NewMembership returns an empty table whose announcements count for ttl.
func NewMembership(ttl time.Duration) *Membership {
	return &Membership{members: table.New[string, member](), ttl: ttl}
}

// SetTTL changes how long announcements count.
func (m *Membership) SetTTL(ttl time.Duration) { m.ttl = ttl }

// Apply takes in an announcement that was made age before now and reports
// whether it changed who may receive requests.
func (m *Membership) Apply(a Announcement, age time.Duration, now time.Time) bool {
	made := now.Add(-age)
	old := m.members.Get(a.ID)
	if old == nil {
		e := m.members.Put(a.ID, member{a, made, NewLoad(a.Slots)})
		e.load.setExpires(made.Add(m.ttl))
		return m.usable(e, now)
	}
	if !newer(&a, &old.latest) {
		return false
	}
	was := m.usable(old, now)
	load := old.load
	if a.Incarnation != old.latest.Incarnation || a.Slots != old.latest.Slots {
		load = NewLoad(a.Slots)
	}
	moved := a.Address != old.latest.Address || load != old.load
	*old = member{a, made, load}
	load.setExpires(made.Add(m.ttl))
	return moved || was != m.usable(old, now)
}

// newer reports whether a replaces b. Within an incarnation nothing follows
// a leaving announcement.
func newer(a, b *Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if b.State == Leaving {
		return false
	}
	return a.State == Leaving || a.Seq > b.Seq
}

func (m *Membership) usable(e *member, now time.Time) bool {
	return e.latest.State == Ready && now.Sub(e.made) < m.ttl
}

// Expire forgets old departures and reports whether any endpoint lapsed
// since the view was built.
func (m *Membership) Expire(view *View, now time.Time) bool {
	var forget []string
	for id, e := range m.members.All {
		if now.Sub(e.made) > tombstoneLife {
			forget = append(forget, id)
		}
	}
	for _, id := range forget {
		m.members.Delete(id)
	}
	return view.lapsed(now)
}

// Aged returns the announcements made within the last window, for peers.
func (m *Membership) Aged(window time.Duration, now time.Time) []Aged {
	var out []Aged
	for _, e := range m.members.All {
		age := now.Sub(e.made)
		if age <= window {
			out = append(out, Aged{e.latest, wire.Duration(age)})
		}
	}
	return out
}
