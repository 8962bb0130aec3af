package caller

import (
	"slices"
	"time"
)

// PeersToQuery returns the members to query for their state. It returns none once
// this entry is synced, its membership history is complete, and a member that may
// have been alone has shown that it uses the same view.
func (d *Deduplicator) PeersToQuery() []Member {
	if d.synced && d.history.CompleteSince.IsZero() && d.peerSoleGrantAt.IsZero() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.view), func(m Member) bool { return m == d.self })
}

// ReportState answers another entry's query of this entry's state. The query
// was addressed to member to.
func (d *Deduplicator) ReportState(to Member) PeerReply {
	if to != d.self || d.leaving {
		return PeerReply{Verdict: Unsure}
	}
	return PeerReply{From: d.self, Verdict: Granted, ViewDigest: digest(d.view), Synced: d.synced, History: d.history}
}

// MergeState merges the state that another entry reported.
func (d *Deduplicator) MergeState(reply PeerReply) {
	if reply.Verdict != Granted {
		return
	}
	d.history.merge(reply.History)
	if reply.ViewDigest == digest(d.view) {
		d.synced = d.synced || reply.Synced
		d.peerSoleGrantAt = time.Time{}
	}
}

// HandoverClaim is a claim that a leaving entry hands over.
type HandoverClaim struct {
	Key   string `json:"key"`
	Token string `json:"token"`
}

// Handover is one part of the claims that a leaving entry sends to each of the
// other entries.
type Handover struct {
	From   Member          `json:"from"`
	Claims []HandoverClaim `json:"claims"`
	// Last is true for the final part. Once it has arrived, the departure of
	// the entry loses no claim.
	Last bool `json:"last"`
}

// maxHandoverClaims is the maximum number of claims in one part. It keeps each
// message below the size limit of control messages.
const maxHandoverClaims = 2000

// Leave begins a planned stop, after which this entry grants no claims and records
// none of other entries. It returns the parts to hand over to each other member.
func (d *Deduplicator) Leave() []Handover {
	d.leaving = true
	var all []HandoverClaim
	for k, r := range d.ledger.claims {
		for _, t := range r.tokens {
			all = append(all, HandoverClaim{k, t})
		}
	}
	var out []Handover
	for part := range slices.Chunk(all, maxHandoverClaims) {
		out = append(out, Handover{From: d.self, Claims: part})
	}
	return append(out, Handover{From: d.self, Last: true})
}

// FinalChange returns the change that this entry must write at the end of a
// planned stop, given the latest change. It returns false unless this entry is
// certain to be the last member.
func (d *Deduplicator) FinalChange(latest ViewChange, now time.Time) (ViewChange, bool) {
	last := d.leaving && d.synced && len(d.view) == 1 && latest.Seq == d.changeSeq &&
		elapsed(d.verifiedAt, now) < d.viewTTL
	return ViewChange{Seq: latest.Seq + 1, Closed: true}, last
}

// AcceptHandover adds one part of another entry's claims to this entry's
// ledger.
func (d *Deduplicator) AcceptHandover(part Handover, now time.Time) {
	for _, r := range part.Claims {
		d.ledger.add(r.Key, r.Token, now)
	}
	if part.Last {
		d.handedOver[part.From] = true
	}
}
