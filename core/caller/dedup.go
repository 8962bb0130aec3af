package caller

import (
	"slices"
	"time"

	"rosemarygap/core/rendezvous"
)

// Deduplicator is one entry's part of the protocol that dispatches each
// request id chosen by a caller at most once. Each id has a coordinator, an
// entry picked by rendezvous hashing over the registered entries, which grants
// at most one claim of the id. The owner of a Deduplicator serializes calls to
// its methods.
//
// Invariant: a claim is granted only while every other entry that could grant
// a claim of the same id either knows of it, is asked, or can no longer grant
// any claim; and two entries hold a copy of it, unless the granting entry is the
// only member.
type Deduplicator struct {
	self Member
	// viewTTL is how long after its verification an entry may use a view of
	// the members without the consent of all of them. It is shorter than the
	// lease of a member.
	viewTTL time.Duration
	// outageHold is how long after its last verification an entry may still
	// grant claims with the consent of all members of its view.
	outageHold time.Duration

	// view is the set of members that this entry uses. verifiedAt is when the
	// latest read began that confirmed it, and viewChangedAt when it last
	// changed or this entry last joined. changeSeq is the sequence number of
	// the latest known ViewChange, and joinedAt the time of the latest Join.
	view          []Member
	verifiedAt    time.Time
	viewChangedAt time.Time
	changeSeq     int64
	joinedAt      time.Time
	// joining is true from a registration to the first update of the members
	// after it.
	joining bool
	// peerSoleGrantAt is the latest time at which the only other member may
	// have granted claims that no other entry holds a copy of. It is zero once
	// that member has shown that it uses the same view.
	peerSoleGrantAt time.Time
	// synced is true once no entry that lost its connection to the store
	// before this entry joined can still grant claims without asking this one.
	synced  bool
	history MembershipHistory
	ledger  *Ledger
	// pending holds this entry's own claims, by key, that it has not
	// dispatched yet.
	pending map[string]Claim
	// leaving is true from the start of a planned stop. handedOver holds the
	// members that handed all their claims over to this entry when they left.
	leaving    bool
	handedOver map[Member]bool
}

// NewDeduplicator returns a Deduplicator for entry self. It cannot grant
// claims until the entry has joined and read the members.
func NewDeduplicator(self Member, viewTTL, outageHold time.Duration) *Deduplicator {
	return &Deduplicator{self: self, viewTTL: viewTTL, outageHold: outageHold, ledger: NewLedger(),
		pending: make(map[string]Claim), handedOver: make(map[Member]bool)}
}

// SetOutageHold sets how long this entry may grant claims after its last
// verification of the members.
func (d *Deduplicator) SetOutageHold(hold time.Duration) { d.outageHold = hold }

// Join is called when this entry was registered, for the first time or again
// after its lease lapsed. latest is the ViewChange that was read after the
// registration; its zero value means that no entry was registered before.
func (d *Deduplicator) Join(latest ViewChange, now time.Time) {
	seq := latest.Seq
	d.synced = seq == 0 || latest.Closed || d.synced && seq == d.changeSeq
	if seq != d.changeSeq {
		// Entries may have joined and left unobserved.
		d.history.CompleteSince = now
	}
	d.joinedAt, d.viewChangedAt, d.changeSeq, d.joining = now, now, seq, true
}

// ViewChange is the record in the store of the view that the entries use. An
// entry replaces it before it uses another set of members.
type ViewChange struct {
	// Seq increases by one with each replacement; 0 means that none was made.
	Seq int64 `json:"seq"`
	// ViewDigest identifies the set of members.
	ViewDigest uint64 `json:"view"`
	// Closed is true if the last member completed a planned stop, so that no
	// entry uses any view.
	Closed bool `json:"closed,omitempty"`
}

// NextChange returns the change that this entry must write to the store before
// it uses members as its view, and true; after the write it must read the
// members again. NextChange returns false if no write is needed.
func (d *Deduplicator) NextChange(members []Member, latest ViewChange) (ViewChange, bool) {
	viewDigest := digest(members)
	return ViewChange{Seq: latest.Seq + 1, ViewDigest: viewDigest}, viewDigest != digest(d.view) && viewDigest != latest.ViewDigest
}

// MembersSnapshot is the result of reading the registered members from the
// store.
type MembersSnapshot struct {
	Members []Member
	// SeqBefore is the sequence number of the view change that the entry
	// found, and SeqAfter the number after it wrote its own, if it did.
	SeqBefore, SeqAfter int64
	// StartedAt is when the read began.
	StartedAt time.Time
}

// UpdateMembers applies a snapshot of the registered members. It ignores a
// snapshot that lacks this entry, and all snapshots before the first Join.
func (d *Deduplicator) UpdateMembers(r MembersSnapshot, now time.Time) {
	members := r.Members
	if !slices.Contains(members, d.self) || d.joinedAt.IsZero() {
		return
	}
	d.history.expire(now)
	// This entry's view expired before the read, and another entry has replaced
	// the view since this entry last verified it. Entries may have joined and
	// left unobserved.
	if len(d.view) > 0 && elapsed(d.verifiedAt, r.StartedAt) > d.viewTTL && r.SeqBefore != d.changeSeq {
		d.history.CompleteSince = now
	}
	if len(members) == 2 && d.joining {
		// Until the other member shows that it uses the same view, it may
		// grant claims of which this entry has no copy.
		d.peerSoleGrantAt = d.joinedAt
	}
	d.joining = false
	if digest(members) != digest(d.view) {
		d.viewChangedAt = now
		for _, m := range d.view {
			if !slices.Contains(members, m) && !d.handedOver[m] {
				d.history.recordDeparture(Departure{m, now})
			}
		}
		d.view = slices.Clone(members)
	}
	d.verifiedAt, d.changeSeq = r.StartedAt, r.SeqAfter
}

// Begin records a claim of this entry, which will dispatch the request. Begin
// returns a final verdict if local records are enough to refuse the claim, and
// Granted if the coordinator must be asked.
func (d *Deduplicator) Begin(c Claim, now time.Time) Verdict {
	if !d.hasAcceptableTime(c.ID, now) {
		return Unsure
	}
	v := d.ledger.Record(c, now)
	if v == Granted {
		d.pending[c.key()] = c
	}
	return v
}

// ConfirmDispatch is called when this entry's own claim c was granted, just
// before the request is dispatched. It returns Repeated if the entry has
// meanwhile given c up in favor of another claim.
func (d *Deduplicator) ConfirmDispatch(c Claim) Verdict {
	if d.pending[c.key()].Token != c.Token {
		return Repeated
	}
	delete(d.pending, c.key())
	return Granted
}

// yieldTo gives up this entry's own pending claim in favor of c, a claim of the
// same id by another entry that a coordinator has recorded. Otherwise each
// coordinator would find the other claim and refuse, and no request with the
// id would ever be dispatched.
func (d *Deduplicator) yieldTo(c Claim) {
	own, ok := d.pending[c.key()]
	if ok && own.Token != c.Token {
		d.Release(own)
	}
}

// hasAcceptableTime reports whether the timestamp of id is neither ahead of the
// clock nor so old that a claim of the id may have expired. The limit is a minute
// less than ClaimRetention, because the clocks of entries differ. An id without a
// timestamp is acceptable.
func (d *Deduplicator) hasAcceptableTime(id string, now time.Time) bool {
	createdAt, ok := idTime(id)
	return !ok || !createdAt.After(now.Add(MaxClockSkew)) && now.Sub(createdAt) < ClaimRetention-time.Minute
}

// Release removes c, whose request was not run, so that the id can be claimed
// again.
func (d *Deduplicator) Release(c Claim) {
	if d.pending[c.key()].Token == c.Token {
		delete(d.pending, c.key())
	}
	d.ledger.Release(c)
}

// Coordinator returns the member that coordinates the id of c according to this
// entry's view, or false if the view is empty.
func (d *Deduplicator) Coordinator(c Claim) (Member, bool) {
	ids := make([]string, len(d.view))
	for i, m := range d.view {
		ids[i] = m.ID
	}
	id := rendezvous.Preferred("claim/"+c.key(), ids)
	i := slices.IndexFunc(d.view, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return d.view[i], true
}

// GrantPlan describes what a coordinator must do before it may grant a claim.
type GrantPlan struct {
	// Verdict is final unless it is Granted.
	Verdict     Verdict
	Coordinator Member
	// Peers are the members that the claim must be sent to.
	Peers []Member
	// RequireAll is true if each of the peers must reply Granted, except for
	// one missing reply that Resolve may allow. Otherwise one such reply is
	// enough.
	RequireAll bool

	// requireSameView is true if each of the peers must use the view that the
	// plan was made for, because this entry verified it too long ago.
	requireSameView bool
	// viewDigest identifies the view that the plan was made for.
	viewDigest uint64
}

// PlanGrant returns what this entry must do to grant c as its coordinator.
func (d *Deduplicator) PlanGrant(c Claim, now time.Time) GrantPlan {
	coordinator, ok := d.Coordinator(c)
	if !ok || d.leaving || elapsed(d.verifiedAt, now) >= d.outageHold {
		return GrantPlan{Verdict: Unsure}
	}
	// An entry that lost its connection to the store before this entry joined
	// can grant claims for at most outageHold.
	d.synced = d.synced || elapsed(d.joinedAt, now) >= d.outageHold
	if coordinator != d.self {
		return GrantPlan{Verdict: NotCoordinator, Coordinator: coordinator}
	}
	if !d.hasAcceptableTime(c.ID, now) {
		return GrantPlan{Verdict: Unsure}
	}
	if v := d.ledger.Record(c, now); v != Granted {
		return GrantPlan{Verdict: v}
	}
	others := slices.DeleteFunc(slices.Clone(d.view), func(m Member) bool { return m == d.self })
	p := GrantPlan{Verdict: Granted, Coordinator: d.self, Peers: others, RequireAll: true, viewDigest: digest(d.view),
		requireSameView: elapsed(d.verifiedAt, now) >= d.viewTTL}
	if d.synced && !p.requireSameView && d.postdatesViewChange(c, now) {
		// No other entry can have granted a claim of the id, so that a second
		// copy is enough. If another member dispatches the request, it already
		// holds that copy.
		p.RequireAll = false
		if slices.Contains(others, c.From) {
			p.Peers = nil
		}
	}
	return p
}

// viewStableAt returns the time from which every entry that grants claims
// without the consent of all members uses the current view.
func (d *Deduplicator) viewStableAt() time.Time {
	return d.viewChangedAt.Add(d.viewTTL + 2*MaxClockSkew)
}

// elapsed returns the time since t by the monotonic or the wall clock,
// whichever advanced further, because one of them may stop while a VM is
// paused.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// postdatesViewChange reports whether no other entry can have granted a claim
// of c's id under an earlier view.
func (d *Deduplicator) postdatesViewChange(c Claim, now time.Time) bool {
	stableAt := d.viewStableAt()
	if createdAt, ok := idTime(c.ID); ok {
		return createdAt.After(stableAt)
	}
	return now.After(stableAt.Add(ClaimRetention))
}

// PeerReply is a member's answer to another entry's claim or to a query of its
// state.
type PeerReply struct {
	From    Member  `json:"from"`
	Verdict Verdict `json:"verdict"`
	// ViewDigest identifies the view of the answering entry.
	ViewDigest uint64            `json:"view"`
	Synced     bool              `json:"contact"`
	History    MembershipHistory `json:"known"`
}

// RecordPeerClaim records another entry's claim. The message was addressed to
// member to; if that is an earlier incarnation of this entry, the reply is
// Unsure.
func (d *Deduplicator) RecordPeerClaim(c Claim, to Member, now time.Time) PeerReply {
	if to != d.self {
		return PeerReply{Verdict: Unsure}
	}
	reply := d.ReportState(to)
	if reply.Verdict == Granted {
		d.yieldTo(c)
		reply.Verdict = d.ledger.Record(c, now)
	}
	return reply
}

// Resolve returns the final verdict on c, given the replies of the plan's peers.
// A peer that did not answer counts as Unsure. Unless the verdict is Granted,
// Resolve removes the claim from this entry.
func (d *Deduplicator) Resolve(c Claim, p GrantPlan, replies []PeerReply, now time.Time) Verdict {
	v := d.resolve(c, p, replies, now)
	if v != Granted {
		d.Release(c)
	}
	return v
}

func (d *Deduplicator) resolve(c Claim, p GrantPlan, replies []PeerReply, now time.Time) Verdict {
	if p.viewDigest != digest(d.view) {
		// The view has changed since the plan was made. Other entries may
		// already grant claims under the new view without asking this one.
		return Unsure
	}
	missing := slices.Clone(p.Peers)
	for _, reply := range replies {
		if reply.Verdict == Repeated {
			return Repeated
		}
		if reply.Verdict != Granted {
			continue
		}
		if p.requireSameView && reply.ViewDigest != digest(d.view) {
			return Unsure
		}
		missing = slices.DeleteFunc(missing, func(m Member) bool { return m == reply.From })
		d.MergeState(reply)
	}
	grants := len(p.Peers) - len(missing)
	switch {
	case !p.RequireAll && len(p.Peers) > 0 && grants == 0:
		return Unsure
	case p.RequireAll && len(missing) > 0 && !d.canGrantWithMissingReply(c, p, len(missing), grants, now):
		return Unsure
	case !p.RequireAll:
		missing = nil
	}
	if !d.synced || d.earlierClaimMayBeLost(c, missing, now) {
		return Unsure
	}
	if len(d.view) == 1 {
		d.history.LastSoleGrant = now
	}
	return Granted
}

// canGrantWithMissingReply reports whether c may be granted although one member
// did not answer. A claim that this member granted under the current view has a
// copy at another member. Therefore only one reply may be missing, no entry may
// still use an earlier view, and the new claim needs two copies as well.
func (d *Deduplicator) canGrantWithMissingReply(c Claim, p GrantPlan, missing, grants int, now time.Time) bool {
	hasSecondCopy := grants > 0 || c.From != d.self && slices.Contains(d.view, c.From)
	return missing == 1 && hasSecondCopy && !p.requireSameView && d.synced && now.After(d.viewStableAt())
}

// earlierClaimMayBeLost reports whether an earlier claim of c's id may have been
// held only by departed members. The missing members count as departed now.
func (d *Deduplicator) earlierClaimMayBeLost(c Claim, missing []Member, now time.Time) bool {
	history := MembershipHistory{CompleteSince: d.history.CompleteSince, LastSoleGrant: d.history.LastSoleGrant}
	if d.peerSoleGrantAt.After(history.LastSoleGrant) {
		history.LastSoleGrant = d.peerSoleGrantAt
	}
	for _, departure := range d.history.Departures {
		if !slices.Contains(d.view, departure.Member) {
			history.recordDeparture(departure)
		}
	}
	for _, m := range missing {
		history.recordDeparture(Departure{m, now})
	}
	lostBefore := history.lostBefore()
	if lostBefore.IsZero() {
		return false
	}
	lostBefore = lostBefore.Add(d.viewTTL + 2*MaxClockSkew)
	if createdAt, ok := idTime(c.ID); ok {
		return !createdAt.After(lostBefore)
	}
	return now.Before(lostBefore.Add(ClaimRetention))
}

// RetryDelay returns the delay after which it makes sense to repeat a claim of
// id whose verdict was Unsure.
func (d *Deduplicator) RetryDelay(id string, now time.Time) time.Duration {
	if createdAt, ok := idTime(id); ok && createdAt.After(now) {
		return createdAt.Sub(now)
	}
	return d.viewTTL
}
