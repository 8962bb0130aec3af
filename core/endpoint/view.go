package endpoint

import (
	"slices"
	"strings"
	"time"
)

// Candidate is an endpoint that may receive requests.
type Candidate struct {
	Announcement
	// Load is shared by all views that contain the incarnation. It is nil for
	// an endpoint that is known without an announcement, as in a guard, which
	// knows its endpoint from its settings.
	Load *Load
}

// View is an immutable set of candidates for each service.
type View struct {
	services map[string][]Candidate
	byID     map[string]*Candidate
}

// EmptyView returns a view without candidates.
func EmptyView() *View { return &View{} }

// Candidates returns the candidates of a service, in order of their IDs. The
// slice must not be changed.
func (v *View) Candidates(service string) []Candidate { return v.services[service] }

// Find returns the candidate with the given id, or nil. The candidate must not
// be changed.
func (v *View) Find(id string) *Candidate { return v.byID[id] }

// Services returns the names of the services that have candidates, sorted.
func (v *View) Services() []string {
	names := make([]string, 0, len(v.services))
	for s := range v.services {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// hasLapsed reports whether the announcement of any candidate has expired.
func (v *View) hasLapsed(now time.Time) bool {
	for _, cs := range v.services {
		for i := range cs {
			if cs[i].Load.expires.Expired(now) {
				return true
			}
		}
	}
	return false
}

// View returns a view of the endpoints that are usable at now.
func (m *Membership) View(now time.Time) *View {
	v := &View{services: make(map[string][]Candidate), byID: make(map[string]*Candidate)}
	for _, e := range m.members.All {
		if !m.usable(e, now) {
			continue
		}
		c := Candidate{e.latest, e.load}
		v.services[c.Service] = append(v.services[c.Service], c)
	}
	for _, cs := range v.services {
		slices.SortFunc(cs, func(a, b Candidate) int { return strings.Compare(a.ID, b.ID) })
		for i := range cs {
			v.byID[cs[i].ID] = &cs[i]
		}
	}
	return v
}
