package caller

import (
	"slices"
	"time"
)

// Unacquainted returns the members to greet: those whose consent tells whether
// this entry may act, and what came before it. There are none in the end.
func (h *Homes) Unacquainted() []Member {
	if h.contact && h.known.Since.IsZero() && h.unmet.IsZero() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.view), func(m Member) bool { return m == h.self })
}

// Greet answers another entry's greeting.
func (h *Homes) Greet(to Member) Consent {
	if to != h.self || h.left {
		return Consent{Verdict: Unsure}
	}
	return Consent{From: h.self, Verdict: Granted, View: digest(h.view), Contact: h.contact, Known: h.known}
}

// Meet takes in what another entry told of itself.
func (h *Homes) Meet(a Consent) {
	if a.Verdict != Granted {
		return
	}
	h.known.merge(a.Known)
	if a.View == digest(h.view) {
		h.contact = h.contact || a.Contact
		h.unmet = time.Time{}
	}
}

// Remembered is a claim that a leaving entry hands over.
type Remembered struct {
	Key   string `json:"key"`
	Token string `json:"token"`
}

// Legacy is what a leaving entry hands over to each of the others, in parts.
type Legacy struct {
	From   Member       `json:"from"`
	Claims []Remembered `json:"claims"`
	// Last marks the part after which the entry's departure loses nothing.
	Last bool `json:"last"`
}

// maxLegacyPart is the number of claims in one part, which keeps a message
// below the largest control message.
const maxLegacyPart = 2000

// Leave begins a planned stop: this entry grants and notes no more claims. It
// returns what to hand over to each other member.
func (h *Homes) Leave() []Legacy {
	h.left = true
	var all []Remembered
	for k, r := range h.ledger.claims {
		for _, t := range r.tokens {
			all = append(all, Remembered{k, t})
		}
	}
	var out []Legacy
	for part := range slices.Chunk(all, maxLegacyPart) {
		out = append(out, Legacy{From: h.self, Claims: part})
	}
	return append(out, Legacy{From: h.self, Last: true})
}

// Inherit takes in a part of another entry's legacy.
func (h *Homes) Inherit(l Legacy, now time.Time) {
	for _, r := range l.Claims {
		h.ledger.remember(r.Key, r.Token, now)
	}
	if l.Last {
		h.inherited[l.From] = true
	}
}
