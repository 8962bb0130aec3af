package caller

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Member is one incarnation of an entry process. A restarted entry is another
// member, because it has lost the claims that it held in memory.
type Member struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Claim is a request for the exclusive right to dispatch a request id.
type Claim struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Token identifies the request that claims the id. A repeated request
	// with the same id has another token.
	Token string `json:"token"`
	// From is the entry that dispatches the request once the claim is granted.
	From Member `json:"from"`
}

func (c *Claim) key() string { return c.Service + "\x00" + c.ID }

// Verdict is the answer to a claim.
type Verdict string

// Verdicts.
const (
	// Granted means that no other claim of the id exists or will be granted.
	// In a PeerReply it means that the peer knows of no other claim.
	Granted Verdict = "granted"
	// Repeated means that another claim of the id exists.
	Repeated Verdict = "repeated"
	// Unsure means that another claim may have been granted and its record
	// lost, or that the entry cannot verify its membership.
	Unsure Verdict = "unsure"
	// NotCoordinator means that another entry coordinates the id.
	NotCoordinator Verdict = "elsewhere"
)

// Time limits of the detection of repeated ids.
const (
	// ClaimRetention is how long a claim is kept: the longest request
	// deadline, 10 minutes, and a margin for messages in transit.
	ClaimRetention = 11 * time.Minute
	// MaxClockSkew bounds the difference between the clocks of two entries,
	// and how far in the future the timestamp of a UUIDv7 may be.
	MaxClockSkew = 2 * time.Second
)

// idTime returns the timestamp of a UUIDv7, or false for any other id.
func idTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// Departure records that a member left the registered members without handing
// over its claims, and when this was observed.
type Departure struct {
	Member Member    `json:"member"`
	At     time.Time `json:"at"`
}

// MembershipHistory is what an entry knows of past members: every departure
// since CompleteSince that has not expired. A zero CompleteSince means that no
// entry existed before those that this entry knows of.
type MembershipHistory struct {
	CompleteSince time.Time `json:"since"`
	// LastSoleGrant is the latest time at which an entry granted a claim that
	// no other entry holds a copy of.
	LastSoleGrant time.Time   `json:"alone"`
	Departures    []Departure `json:"departures,omitempty"`
}

// merge adds the history of another entry to h.
func (h *MembershipHistory) merge(o MembershipHistory) {
	if o.CompleteSince.Before(h.CompleteSince) {
		h.CompleteSince = o.CompleteSince
	}
	if o.LastSoleGrant.After(h.LastSoleGrant) {
		h.LastSoleGrant = o.LastSoleGrant
	}
	for _, d := range o.Departures {
		h.recordDeparture(d)
	}
}

func (h *MembershipHistory) recordDeparture(d Departure) {
	i := slices.IndexFunc(h.Departures, func(e Departure) bool { return e.Member == d.Member })
	if i < 0 {
		h.Departures = append(h.Departures, d)
		return
	}
	if d.At.After(h.Departures[i].At) {
		h.Departures[i].At = d.At
	}
}

// expire removes departures that are so old that every claim of the departed
// member has passed its retention. earlierClaimMayBeLost considers a departure
// for ClaimRetention, the view TTL and the clock skew, which together are less
// than twice ClaimRetention.
func (h *MembershipHistory) expire(now time.Time) {
	h.Departures = slices.DeleteFunc(h.Departures, func(d Departure) bool {
		return now.Sub(d.At) > 2*ClaimRetention
	})
}

// lostBefore returns a time such that all copies of a claim that was granted
// before it may have been lost, or zero if there is none. Each claim has two
// copies, so two departures are needed to lose it. A claim that was granted by the
// only member has one copy, so one departure is enough.
func (h *MembershipHistory) lostBefore() time.Time {
	var last, second time.Time
	for _, d := range h.Departures {
		switch {
		case d.At.After(last):
			last, second = d.At, last
		case d.At.After(second):
			second = d.At
		}
	}
	if len(h.Departures) > 0 && h.LastSoleGrant.After(second) {
		second = h.LastSoleGrant
	}
	if h.CompleteSince.After(second) {
		return h.CompleteSince
	}
	return second
}

// digest returns a hash of a set of members that does not depend on their
// order.
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
