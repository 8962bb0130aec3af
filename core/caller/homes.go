package caller

import (
	"slices"
	"time"

	"rosemarygap/core/rendezvous"
)

// Homes is one entry's part in the rule that a caller's id is dispatched
// once. Each id has a home, by rendezvous hashing over the registered
// entries, that grants its only claim. Its owner serialises calls.
//
// Invariant: a claim is granted only while every other entry that could grant
// one either knows of it, is asked, or can grant none any more; and two
// entries know of it.
type Deduplicator struct {
	self Member
	// validFor is how long a verified view of the members may be acted on
	// alone; it is shorter than the lease of a member.
	validFor time.Duration
	// hold is how long after its last verification an entry may still act
	// with the consent of all members that it knew.
	hold time.Duration

	view     []Member
	verified time.Time
	changed  time.Time
	changes  int64
	joined   time.Time
	// entering is true from a registration to the first reading after it.
	entering bool
	// unmet is set while the only other member may still act alone.
	unmet time.Time
	// contact is true once no entry that lost sight of the store before
	// this one joined can still act without asking this one.
	contact bool
	known   MembershipHistory
	ledger  *Ledger
	// pending are this entry's own claims, by key, that it has not dispatched.
	pending map[string]Claim
	// left is true from the start of a planned stop; inherited are the
	// members whose claims this entry took over when they left.
	left      bool
	inherited map[Member]bool
}

// NewHomes returns the part of entry self, which may not grant claims yet.
func NewDeduplicator(self Member, validFor, hold time.Duration) *Deduplicator {
	return &Deduplicator{self: self, validFor: validFor, hold: hold, ledger: NewLedger(),
		pending: make(map[string]Claim), inherited: make(map[Member]bool)}
}

// SetHold changes the hold.
func (h *Deduplicator) SetOutageHold(d time.Duration) { h.hold = d }

// Join notes that this entry was registered, anew or for the first time.
// latest is the Change read after the registration; its zero value means that
// no entry was registered before.
func (h *Deduplicator) Join(latest ViewChange, now time.Time) {
	changes := latest.Seq
	h.contact = changes == 0 || latest.Closed || h.contact && changes == h.changes
	if changes != h.changes {
		// Entries may have come and gone unseen.
		h.known.CompleteSince = now
	}
	h.joined, h.changed, h.changes, h.entering = now, now, changes, true
}

// Change is what the store keeps of the members that entries act on: an entry
// replaces it before it acts on another set of members.
type ViewChange struct {
	// Seq rises by one with each replacement; 0 means none yet.
	Seq int64 `json:"seq"`
	// View identifies the set of members.
	ViewDigest uint64 `json:"view"`
	// Closed tells that the last member stopped as planned, so that no entry
	// acts on any members.
	Closed bool `json:"closed,omitempty"`
}

// Next returns the change that this entry must write to the store before it
// acts on members, and must then read the members once more; false if it need
// not.
func (h *Deduplicator) NextChange(members []Member, latest ViewChange) (ViewChange, bool) {
	d := digest(members)
	return ViewChange{Seq: latest.Seq + 1, ViewDigest: d}, d != digest(h.view) && d != latest.ViewDigest
}

// Reading is what an entry read of the members in the store.
type MembersSnapshot struct {
	Members []Member
	// Before is the number of the change that the entry found, and Changes
	// the number after it wrote its own, if it did.
	SeqBefore, SeqAfter int64
	// Begun is when the reading began.
	StartedAt time.Time
}

// Verify takes in the registered members.
func (h *Deduplicator) UpdateMembers(r MembersSnapshot, now time.Time) {
	members := r.Members
	if !slices.Contains(members, h.self) || h.joined.IsZero() {
		return
	}
	h.known.forget(now)
	if len(h.view) > 0 && r.StartedAt.Sub(h.verified) > h.validFor && r.SeqBefore != h.changes {
		h.known.CompleteSince = now
	}
	if len(members) == 2 && h.entering {
		// The other one may grant claims that it alone knows, until it
		// shows that it acts on the same members.
		h.unmet = h.joined
	}
	h.entering = false
	if digest(members) != digest(h.view) {
		h.changed = now
		for _, m := range h.view {
			if !slices.Contains(members, m) && !h.inherited[m] {
				h.known.departed(Departure{m, now})
			}
		}
		h.view = slices.Clone(members)
	}
	h.verified, h.changes = r.StartedAt, r.SeqAfter
}

// Begin notes at the dispatching entry that it claims c, and returns the
// verdict if it is known without asking, else Granted.
func (h *Deduplicator) Begin(c Claim, now time.Time) Verdict {
	if !h.acceptable(c.ID, now) {
		return Unsure
	}
	v := h.ledger.Record(c, now)
	if v == Granted {
		h.pending[c.key()] = c
	}
	return v
}

// Dispatch ends the wait for the verdict on this entry's own claim c, which
// was granted. It returns Repeated if the claim has yielded to another one.
func (h *Deduplicator) ConfirmDispatch(c Claim) Verdict {
	if h.pending[c.key()].Token != c.Token {
		return Repeated
	}
	delete(h.pending, c.key())
	return Granted
}

// yield gives up this entry's own claim in favour of c, the claim of another
// entry that a home has noted. Both homes would refuse otherwise: each finds
// the other one's claim, and no attempt of the id is ever dispatched.
func (h *Deduplicator) yield(c Claim) {
	own, ok := h.pending[c.key()]
	if ok && own.Token != c.Token {
		h.Release(own)
	}
}

// acceptable reports whether the time that an id tells, if it does, is
// neither ahead of the clock nor older than what is remembered.
func (h *Deduplicator) acceptable(id string, now time.Time) bool {
	made, ok := idTime(id)
	return !ok || !made.After(now.Add(MaxClockSkew)) && now.Sub(made) < ClaimRetention-time.Minute
}

// Release forgets c, whose request was not run.
func (h *Deduplicator) Release(c Claim) {
	if h.pending[c.key()].Token == c.Token {
		delete(h.pending, c.key())
	}
	h.ledger.Release(c)
}

// Home returns the member that decides on c, as far as this entry knows.
func (h *Deduplicator) Coordinator(c Claim) (Member, bool) {
	ids := make([]string, len(h.view))
	for i, m := range h.view {
		ids[i] = m.ID
	}
	id := rendezvous.Preferred("claim/"+c.key(), ids)
	i := slices.IndexFunc(h.view, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return h.view[i], true
}

// Plan is what a home must do before it may grant a claim.
type GrantPlan struct {
	// Verdict is final unless it is Granted.
	Verdict     Verdict
	Coordinator Member
	// Ask are the members to send a note to.
	Peers []Member
	// All tells that each of them must consent; else one is enough.
	RequireAll bool

	sameView bool
	// view identifies the members that the plan was made for.
	view uint64
}

// Decide returns what this entry must do to grant c as its home.
func (h *Deduplicator) PlanGrant(c Claim, now time.Time) GrantPlan {
	home, ok := h.Coordinator(c)
	if !ok || h.left || elapsed(h.verified, now) >= h.hold {
		return GrantPlan{Verdict: Unsure}
	}
	h.contact = h.contact || elapsed(h.joined, now) >= h.hold
	if home != h.self {
		return GrantPlan{Verdict: NotCoordinator, Coordinator: home}
	}
	if !h.acceptable(c.ID, now) {
		return GrantPlan{Verdict: Unsure}
	}
	if v := h.ledger.Record(c, now); v != Granted {
		return GrantPlan{Verdict: v}
	}
	others := slices.DeleteFunc(slices.Clone(h.view), func(m Member) bool { return m == h.self })
	p := GrantPlan{Verdict: Granted, Coordinator: h.self, Peers: others, RequireAll: true, view: digest(h.view),
		sameView: elapsed(h.verified, now) >= h.validFor}
	if h.contact && !p.sameView && h.settled(c, now) {
		p.RequireAll = false
		if slices.Contains(others, c.From) {
			p.Peers = nil
		}
	}
	return p
}

// quiet returns when all entries that act alone act on the present members.
func (h *Deduplicator) quiet() time.Time { return h.changed.Add(h.validFor + 2*MaxClockSkew) }

// elapsed returns the time since t by whichever of the monotonic and the wall
// clock moved further: one of them may stand still while a VM is paused.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// settled reports whether no other entry can have granted c under an earlier
// view of the members.
func (h *Deduplicator) settled(c Claim, now time.Time) bool {
	quiet := h.quiet()
	if made, ok := idTime(c.ID); ok {
		return made.After(quiet)
	}
	return now.After(quiet.Add(ClaimRetention))
}

// Consent is a member's answer to a note.
type PeerReply struct {
	From    Member  `json:"from"`
	Verdict Verdict `json:"verdict"`
	// View identifies the set of members that the answering entry knows.
	ViewDigest uint64            `json:"view"`
	Synced     bool              `json:"contact"`
	History    MembershipHistory `json:"known"`
}

// Note takes in another entry's claim, addressed to the run to of this entry.
func (h *Deduplicator) RecordPeerClaim(c Claim, to Member, now time.Time) PeerReply {
	if to != h.self {
		return PeerReply{Verdict: Unsure}
	}
	a := h.ReportState(to)
	if a.Verdict == Granted {
		h.yield(c)
		a.Verdict = h.ledger.Record(c, now)
	}
	return a
}

// Settle returns the final verdict on c after the consents to its plan; a
// member that did not answer counts as Unsure. Unless it is Granted, the
// claim is forgotten here.
func (h *Deduplicator) Resolve(c Claim, p GrantPlan, consents []PeerReply, now time.Time) Verdict {
	v := h.settle(c, p, consents, now)
	if v != Granted {
		h.Release(c)
	}
	return v
}

func (h *Deduplicator) settle(c Claim, p GrantPlan, consents []PeerReply, now time.Time) Verdict {
	if p.view != digest(h.view) {
		// The members changed meanwhile: others may act on the new ones alone.
		return Unsure
	}
	missing := slices.Clone(p.Peers)
	for _, a := range consents {
		if a.Verdict == Repeated {
			return Repeated
		}
		if a.Verdict != Granted {
			continue
		}
		if p.sameView && a.ViewDigest != digest(h.view) {
			return Unsure
		}
		missing = slices.DeleteFunc(missing, func(m Member) bool { return m == a.From })
		h.MergeState(a)
	}
	granted := len(p.Peers) - len(missing)
	switch {
	case !p.RequireAll && len(p.Peers) > 0 && granted == 0:
		return Unsure
	case p.RequireAll && len(missing) > 0 && !h.mayMiss(c, p, len(missing), granted, now):
		return Unsure
	case !p.RequireAll:
		missing = nil
	}
	if !h.contact || h.maybeLost(c, missing, now) {
		return Unsure
	}
	if len(h.view) == 1 {
		h.known.LastSoleGrant = now
	}
	return Granted
}

// mayMiss reports whether a claim may be granted although one member did not
// answer. Whatever that member granted under the present members has a copy
// at another one, so it must be the only one, nobody may act on earlier
// members any more, and the new claim needs two copies as well.
func (h *Deduplicator) mayMiss(c Claim, p GrantPlan, missing, granted int, now time.Time) bool {
	copies := granted > 0 || c.From != h.self && slices.Contains(h.view, c.From)
	return missing == 1 && copies && !p.sameView && h.contact && now.After(h.quiet())
}

// maybeLost reports whether an earlier claim of c's id may have been known to
// departed entries alone; the missing ones may have departed just now.
func (h *Deduplicator) maybeLost(c Claim, missing []Member, now time.Time) bool {
	gone := MembershipHistory{CompleteSince: h.known.CompleteSince, LastSoleGrant: h.known.LastSoleGrant}
	if h.unmet.After(gone.LastSoleGrant) {
		gone.LastSoleGrant = h.unmet
	}
	for _, d := range h.known.Departures {
		if !slices.Contains(h.view, d.Member) {
			gone.departed(d)
		}
	}
	for _, m := range missing {
		gone.departed(Departure{m, now})
	}
	lost := gone.lostBefore()
	if lost.IsZero() {
		return false
	}
	lost = lost.Add(h.validFor + 2*MaxClockSkew)
	if made, ok := idTime(c.ID); ok {
		return !made.After(lost)
	}
	return now.Before(lost.Add(ClaimRetention))
}

// RetryIn returns when an unsure claim of id makes sense again.
func (h *Deduplicator) RetryDelay(id string, now time.Time) time.Duration {
	if made, ok := idTime(id); ok && made.After(now) {
		return made.Sub(now)
	}
	return h.validFor
}
