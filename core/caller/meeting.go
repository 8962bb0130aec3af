package caller

import (
	"slices"
	"time"
)

// Unacquainted returns the members to greet: those whose consent tells whether
// this entry may act, and what came before it. There are none in the end.
func (h *Deduplicator) PeersToQuery() []Member {
	if h.contact && h.known.CompleteSince.IsZero() && h.unmet.IsZero() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.view), func(m Member) bool { return m == h.self })
}

// Greet answers another entry's greeting.
func (h *Deduplicator) ReportState(to Member) PeerReply {
	if to != h.self || h.left {
		return PeerReply{Verdict: Unsure}
	}
	return PeerReply{From: h.self, Verdict: Granted, ViewDigest: digest(h.view), Synced: h.contact, History: h.known}
}

// Meet takes in what another entry told of itself.
func (h *Deduplicator) MergeState(a PeerReply) {
	if a.Verdict != Granted {
		return
	}
	h.known.merge(a.History)
	if a.ViewDigest == digest(h.view) {
		h.contact = h.contact || a.Synced
		h.unmet = time.Time{}
	}
}

// Remembered is a claim that a leaving entry hands over.
type HandoverClaim struct {
	Key   string `json:"key"`
	Token string `json:"token"`
}

// Legacy is what a leaving entry hands over to each of the others, in parts.
type Handover struct {
	From   Member          `json:"from"`
	Claims []HandoverClaim `json:"claims"`
	// Last marks the part after which the entry's departure loses nothing.
	Last bool `json:"last"`
}

// maxLegacyPart is the number of claims in one part, which keeps a message
// below the largest control message.
const maxLegacyPart = 2000

// Leave begins a planned stop: this entry grants and notes no more claims. It
// returns what to hand over to each other member.
func (h *Deduplicator) Leave() []Handover {
	h.left = true
	var all []HandoverClaim
	for k, r := range h.ledger.claims {
		for _, t := range r.tokens {
			all = append(all, HandoverClaim{k, t})
		}
	}
	var out []Handover
	for part := range slices.Chunk(all, maxLegacyPart) {
		out = append(out, Handover{From: h.self, Claims: part})
	}
	return append(out, Handover{From: h.self, Last: true})
}

// Close returns the change that this entry must write at the end of a planned
// stop, given the latest one; false unless it is the last member.
func (h *Deduplicator) FinalChange(latest ViewChange, now time.Time) (ViewChange, bool) {
	last := h.left && h.contact && len(h.view) == 1 && latest.Seq == h.changes &&
		elapsed(h.verified, now) < h.validFor
	return ViewChange{Seq: latest.Seq + 1, Closed: true}, last
}

// Inherit takes in a part of another entry's legacy.
func (h *Deduplicator) AcceptHandover(l Handover, now time.Time) {
	for _, r := range l.Claims {
		h.ledger.remember(r.Key, r.Token, now)
	}
	if l.Last {
		h.inherited[l.From] = true
	}
}
