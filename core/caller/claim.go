package caller

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Member is one run of an entry: a restart is another member, since it has
// forgotten the claims.
type Member struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Claim asks for the only dispatch of a request id.
type Claim struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Token identifies the request that asks; a repeat has another one.
	Token string `json:"token"`
	// From is the entry that will dispatch the request.
	From Member `json:"from"`
}

func (c *Claim) key() string { return c.Service + "\x00" + c.ID }

// Verdict is the answer to a claim or to a note.
type Verdict string

// Verdicts.
const (
	// Granted means that no other claim of the id exists or will be granted.
	Granted Verdict = "granted"
	// Repeated means that another claim of the id exists.
	Repeated Verdict = "repeated"
	// Unsure means that another claim may have been granted and forgotten,
	// or that the entry cannot verify its membership.
	Unsure Verdict = "unsure"
	// Elsewhere means that another entry decides on the id.
	NotCoordinator Verdict = "elsewhere"
)

// Times of the rule for repeated ids.
const (
	// Memory is how long a claim is remembered: the longest deadline and a
	// margin for messages under way.
	ClaimRetention = 11 * time.Minute
	// ClockSkew bounds the difference between the clocks of two entries, and
	// how far in the future the time of a UUIDv7 may be.
	MaxClockSkew = 2 * time.Second
)

// idTime returns the time that a UUIDv7 was made; false for any other id.
func idTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// Departure is a member that was seen to go, and when.
type Departure struct {
	Member Member    `json:"member"`
	At     time.Time `json:"at"`
}

// Knowledge is what an entry knows of the past: every departure since Since.
// A zero Since means that nothing came before.
type MembershipHistory struct {
	CompleteSince time.Time `json:"since"`
	// Alone is the latest time at which an entry granted a claim that no
	// other entry knew.
	LastSoleGrant time.Time   `json:"alone"`
	Departures    []Departure `json:"departures,omitempty"`
}

// merge takes in what another entry knows.
func (k *MembershipHistory) merge(o MembershipHistory) {
	if o.CompleteSince.Before(k.CompleteSince) {
		k.CompleteSince = o.CompleteSince
	}
	if o.LastSoleGrant.After(k.LastSoleGrant) {
		k.LastSoleGrant = o.LastSoleGrant
	}
	for _, d := range o.Departures {
		k.departed(d)
	}
}

func (k *MembershipHistory) departed(d Departure) {
	i := slices.IndexFunc(k.Departures, func(e Departure) bool { return e.Member == d.Member })
	if i < 0 {
		k.Departures = append(k.Departures, d)
		return
	}
	if d.At.After(k.Departures[i].At) {
		k.Departures[i].At = d.At
	}
}

// forget drops departures whose claims nobody needs to remember any more.
func (k *MembershipHistory) forget(now time.Time) {
	k.Departures = slices.DeleteFunc(k.Departures, func(d Departure) bool {
		return now.Sub(d.At) > 2*ClaimRetention
	})
}

// lostBefore returns the time before which claims may have been forgotten by
// all who knew them: each has two copies, so it takes two departures, but for
// the claims of an entry that was alone.
func (k *MembershipHistory) lostBefore() time.Time {
	var last, second time.Time
	for _, d := range k.Departures {
		switch {
		case d.At.After(last):
			last, second = d.At, last
		case d.At.After(second):
			second = d.At
		}
	}
	if len(k.Departures) > 0 && k.LastSoleGrant.After(second) {
		second = k.LastSoleGrant
	}
	if k.CompleteSince.After(second) {
		return k.CompleteSince
	}
	return second
}

// digest identifies a set of members, whatever their order.
func digest(ms []Member) uint64 {
	sorted := slices.Clone(ms)
	slices.SortFunc(sorted, compareMembers)
	h := fnv.New64a()
	for _, m := range sorted {
		_, _ = h.Write([]byte(m.ID))
		_, _ = h.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16),
			byte(m.Incarnation >> 24), byte(m.Incarnation >> 32), byte(m.Incarnation >> 40),
			byte(m.Incarnation >> 48), byte(m.Incarnation >> 56)})
	}
	return h.Sum64()
}

func compareMembers(a, b Member) int {
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return int(max(-1, min(1, a.Incarnation-b.Incarnation)))
}
