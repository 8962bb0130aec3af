package endpoint

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/wire"
)

// Lapsed is the state of an endpoint whose announcement expired without a
// refresh. No endpoint announces this state.
const Lapsed State = "lapsed"

// Row describes a known endpoint in the operators' interface.
type Row struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	State    State          `json:"state"`
	Slots    int            `json:"slots"`
	InFlight int64          `json:"in-flight"`
	// Age is the time since the newest announcement was made.
	Age wire.Duration `json:"announcement-age"`
}

// Rows returns all known endpoints, sorted by service and id. They include
// endpoints that left or lapsed and whose tombstones have not expired.
func (m *Membership) Rows(now time.Time) []Row {
	out := make([]Row, 0, m.members.Len())
	for _, e := range m.members.All {
		a := e.latest
		r := Row{ID: a.ID, Service: a.Service, Zone: a.Zone, Address: a.Address, State: a.State,
			Slots: a.Slots, InFlight: e.load.InFlight(), Age: wire.Duration(now.Sub(e.announcedAt))}
		if a.State == Ready && !m.usable(e, now) {
			r.State = Lapsed
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return strings.Compare(a.Service+"/"+a.ID, b.Service+"/"+b.ID)
	})
	return out
}
