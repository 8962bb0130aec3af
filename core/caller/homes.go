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
type Homes struct {
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
	known   Knowledge
	ledger  *Ledger
	// pending are this entry's own claims, by key, that it has not dispatched.
	pending map[string]Claim
	// left is true from the start of a planned stop; inherited are the
	// members whose claims this entry took over when they left.
	left      bool
	inherited map[Member]bool
}

// NewHomes returns the part of entry self, which may not grant claims yet.
func NewHomes(self Member, validFor, hold time.Duration) *Homes {
	return &Homes{self: self, validFor: validFor, hold: hold, ledger: NewLedger(),
		pending: make(map[string]Claim), inherited: make(map[Member]bool)}
}

// SetHold changes the hold.
func (h *Homes) SetHold(d time.Duration) { h.hold = d }

// Join notes that this entry was registered, anew or for the first time.
// latest is the Change read after the registration; its zero value means that
// no entry was registered before.
func (h *Homes) Join(latest Change, now time.Time) {
	changes := latest.Seq
	h.contact = changes == 0 || latest.Closed || h.contact && changes == h.changes
	if changes != h.changes {
		// Entries may have come and gone unseen.
		h.known.Since = now
	}
	h.joined, h.changed, h.changes, h.entering = now, now, changes, true
}

// Change is what the store keeps of the members that entries act on: an entry
// replaces it before it acts on another set of members.
type Change struct {
	// Seq rises by one with each replacement; 0 means none yet.
	Seq int64 `json:"seq"`
	// View identifies the set of members.
	View uint64 `json:"view"`
	// Closed tells that the last member stopped as planned, so that no entry
	// acts on any members.
	Closed bool `json:"closed,omitempty"`
}

// Next returns the change that this entry must write to the store before it
// acts on members, and must then read the members once more; false if it need
// not.
func (h *Homes) Next(members []Member, latest Change) (Change, bool) {
	d := digest(members)
	return Change{Seq: latest.Seq + 1, View: d}, d != digest(h.view) && d != latest.View
}

// Reading is what an entry read of the members in the store.
type Reading struct {
	Members []Member
	// Before is the number of the change that the entry found, and Changes
	// the number after it wrote its own, if it did.
	Before, Changes int64
	// Begun is when the reading began.
	Begun time.Time
}

// Verify takes in the registered members.
func (h *Homes) Verify(r Reading, now time.Time) {
	members := r.Members
	if !slices.Contains(members, h.self) || h.joined.IsZero() {
		return
	}
	h.known.forget(now)
	if len(h.view) > 0 && r.Begun.Sub(h.verified) > h.validFor && r.Before != h.changes {
		h.known.Since = now
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
	h.verified, h.changes = r.Begun, r.Changes
}

// Begin notes at the dispatching entry that it claims c, and returns the
// verdict if it is known without asking, else Granted.
func (h *Homes) Begin(c Claim, now time.Time) Verdict {
	if !h.acceptable(c.ID, now) {
		return Unsure
	}
	v := h.ledger.Note(c, now)
	if v == Granted {
		h.pending[c.key()] = c
	}
	return v
}

// Dispatch ends the wait for the verdict on this entry's own claim c, which
// was granted. It returns Repeated if the claim has yielded to another one.
func (h *Homes) Dispatch(c Claim) Verdict {
	if h.pending[c.key()].Token != c.Token {
		return Repeated
	}
	delete(h.pending, c.key())
	return Granted
}

// yield gives up this entry's own claim in favour of c, the claim of another
// entry that a home has noted. Both homes would refuse otherwise: each finds
// the other one's claim, and no attempt of the id is ever dispatched.
func (h *Homes) yield(c Claim) {
	own, ok := h.pending[c.key()]
	if ok && own.Token != c.Token {
		h.Release(own)
	}
}

// acceptable reports whether the time that an id tells, if it does, is
// neither ahead of the clock nor older than what is remembered.
func (h *Homes) acceptable(id string, now time.Time) bool {
	made, ok := idTime(id)
	return !ok || !made.After(now.Add(ClockSkew)) && now.Sub(made) < Memory-time.Minute
}

// Release forgets c, whose request was not run.
func (h *Homes) Release(c Claim) {
	if h.pending[c.key()].Token == c.Token {
		delete(h.pending, c.key())
	}
	h.ledger.Release(c)
}

// Home returns the member that decides on c, as far as this entry knows.
func (h *Homes) Home(c Claim) (Member, bool) {
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
type Plan struct {
	// Verdict is final unless it is Granted.
	Verdict Verdict
	Home    Member
	// Ask are the members to send a note to.
	Ask []Member
	// All tells that each of them must consent; else one is enough.
	All bool

	sameView bool
	// view identifies the members that the plan was made for.
	view uint64
}

// Decide returns what this entry must do to grant c as its home.
func (h *Homes) Decide(c Claim, now time.Time) Plan {
	home, ok := h.Home(c)
	if !ok || h.left || elapsed(h.verified, now) >= h.hold {
		return Plan{Verdict: Unsure}
	}
	h.contact = h.contact || elapsed(h.joined, now) >= h.hold
	if home != h.self {
		return Plan{Verdict: Elsewhere, Home: home}
	}
	if !h.acceptable(c.ID, now) {
		return Plan{Verdict: Unsure}
	}
	if v := h.ledger.Note(c, now); v != Granted {
		return Plan{Verdict: v}
	}
	others := slices.DeleteFunc(slices.Clone(h.view), func(m Member) bool { return m == h.self })
	p := Plan{Verdict: Granted, Home: h.self, Ask: others, All: true, view: digest(h.view),
		sameView: elapsed(h.verified, now) >= h.validFor}
	if h.contact && !p.sameView && h.settled(c, now) {
		p.All = false
		if slices.Contains(others, c.From) {
			p.Ask = nil
		}
	}
	return p
}

// quiet returns when all entries that act alone act on the present members.
func (h *Homes) quiet() time.Time { return h.changed.Add(h.validFor + 2*ClockSkew) }

// elapsed returns the time since t by whichever of the monotonic and the wall
// clock moved further: one of them may stand still while a VM is paused.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// settled reports whether no other entry can have granted c under an earlier
// view of the members.
func (h *Homes) settled(c Claim, now time.Time) bool {
	quiet := h.quiet()
	if made, ok := idTime(c.ID); ok {
		return made.After(quiet)
	}
	return now.After(quiet.Add(Memory))
}

// Consent is a member's answer to a note.
type Consent struct {
	From    Member  `json:"from"`
	Verdict Verdict `json:"verdict"`
	// View identifies the set of members that the answering entry knows.
	View    uint64    `json:"view"`
	Contact bool      `json:"contact"`
	Known   Knowledge `json:"known"`
}

// Note takes in another entry's claim, addressed to the run to of this entry.
func (h *Homes) Note(c Claim, to Member, now time.Time) Consent {
	if to != h.self {
		return Consent{Verdict: Unsure}
	}
	a := h.Greet(to)
	if a.Verdict == Granted {
		h.yield(c)
		a.Verdict = h.ledger.Note(c, now)
	}
	return a
}

// Settle returns the final verdict on c after the consents to its plan; a
// member that did not answer counts as Unsure. Unless it is Granted, the
// claim is forgotten here.
func (h *Homes) Settle(c Claim, p Plan, consents []Consent, now time.Time) Verdict {
	v := h.settle(c, p, consents, now)
	if v != Granted {
		h.Release(c)
	}
	return v
}

func (h *Homes) settle(c Claim, p Plan, consents []Consent, now time.Time) Verdict {
	if p.view != digest(h.view) {
		// The members changed meanwhile: others may act on the new ones alone.
		return Unsure
	}
	missing := slices.Clone(p.Ask)
	for _, a := range consents {
		if a.Verdict == Repeated {
			return Repeated
		}
		if a.Verdict != Granted {
			continue
		}
		if p.sameView && a.View != digest(h.view) {
			return Unsure
		}
		missing = slices.DeleteFunc(missing, func(m Member) bool { return m == a.From })
		h.Meet(a)
	}
	granted := len(p.Ask) - len(missing)
	switch {
	case !p.All && len(p.Ask) > 0 && granted == 0:
		return Unsure
	case p.All && len(missing) > 0 && !h.mayMiss(c, p, len(missing), granted, now):
		return Unsure
	case !p.All:
		missing = nil
	}
	if !h.contact || h.maybeLost(c, missing, now) {
		return Unsure
	}
	if len(h.view) == 1 {
		h.known.Alone = now
	}
	return Granted
}

// mayMiss reports whether a claim may be granted although one member did not
// answer. Whatever that member granted under the present members has a copy
// at another one, so it must be the only one, nobody may act on earlier
// members any more, and the new claim needs two copies as well.
func (h *Homes) mayMiss(c Claim, p Plan, missing, granted int, now time.Time) bool {
	copies := granted > 0 || c.From != h.self && slices.Contains(h.view, c.From)
	return missing == 1 && copies && !p.sameView && h.contact && now.After(h.quiet())
}

// maybeLost reports whether an earlier claim of c's id may have been known to
// departed entries alone; the missing ones may have departed just now.
func (h *Homes) maybeLost(c Claim, missing []Member, now time.Time) bool {
	gone := Knowledge{Since: h.known.Since, Alone: h.known.Alone}
	if h.unmet.After(gone.Alone) {
		gone.Alone = h.unmet
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
	lost = lost.Add(h.validFor + 2*ClockSkew)
	if made, ok := idTime(c.ID); ok {
		return !made.After(lost)
	}
	return now.Before(lost.Add(Memory))
}

// RetryIn returns when an unsure claim of id makes sense again.
func (h *Homes) RetryIn(id string, now time.Time) time.Duration {
	if made, ok := idTime(id); ok && made.After(now) {
		return made.Sub(now)
	}
	return h.validFor
}
