package caller

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Times of the simulated deployment.
const (
	testLease  = 5 * time.Second
	testValid  = 4 * time.Second
	testHold   = time.Hour
	testVerify = time.Second
	testLimit  = 10 * time.Minute
)

// node is one entry; a restart replaces its member and its homes.
type node struct {
	member       Member
	homes        *Deduplicator
	offset       time.Duration
	up, frozen   bool
	cutFromStore bool
	// slow makes the next answer of the store late; delayed is that answer.
	slow    bool
	delayed func()
}

// try is a request on its way: each step runs at one node.
type try struct {
	claim    Claim
	at       int
	from     *node
	arrived  time.Time
	home     *node
	plan     GrantPlan
	asked    int
	consents []PeerReply
	stage    int
	hops     int
}

// Stages of a try.
const (
	asking = iota
	deciding
	noting
	settling
	dispatching
)

// world is the deployment with the store's truth.
type world struct {
	now    time.Time
	nodes  []*node
	cut    map[[2]int]bool
	leases map[Member]time.Time
	latest ViewChange
	down   bool
	tries  []*try
	ran    map[string][]time.Time
	ids    []string
	serial int64
	denied []Verdict
	log    []string
}

func newWorld(n int) *world {
	w := &world{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), cut: map[[2]int]bool{},
		leases: map[Member]time.Time{}, ran: map[string][]time.Time{}}
	for i := range n {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
	}
	return w
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.offset) }

func (w *world) start(i int) {
	w.serial++
	old := w.nodes[i]
	m := Member{fmt.Sprint("entry-", i), w.serial}
	w.nodes[i] = &node{member: m, homes: NewDeduplicator(m, testValid, testHold), up: true,
		offset: old.offset, cutFromStore: old.cutFromStore}
	w.verify(w.nodes[i])
}

// verify is one keep-alive of a node and its reading of the members.
func (w *world) verify(n *node) {
	if !n.up || n.frozen || n.cutFromStore || w.down {
		return
	}
	for m, end := range w.leases {
		if w.now.After(end) || m.ID == n.member.ID && m != n.member {
			delete(w.leases, m)
		}
	}
	if n.delayed != nil {
		n.delayed()
		n.delayed = nil
	}
	_, registered := w.leases[n.member]
	w.leases[n.member] = w.now.Add(testLease)
	if !registered {
		n.homes.Join(w.latest, w.clock(n))
	}
	r := MembersSnapshot{Members: w.members(), SeqBefore: w.latest.Seq, StartedAt: w.clock(n)}
	if c, ok := n.homes.NextChange(r.Members, w.latest); ok {
		w.latest = c
	}
	r.SeqAfter = w.latest.Seq
	apply := func() {
		n.homes.UpdateMembers(r, w.clock(n))
		for _, m := range n.homes.PeersToQuery() {
			if to := w.reach(n, m); to != nil {
				n.homes.MergeState(to.homes.ReportState(m))
			}
		}
	}
	if n.slow {
		n.delayed, n.slow = apply, false
		return
	}
	apply()
}

func (w *world) members() []Member {
	var out []Member
	for m := range w.leases {
		out = append(out, m)
	}
	return out
}

func (w *world) advance(d time.Duration) {
	for d > 0 {
		step := min(d, testVerify)
		d -= step
		w.now = w.now.Add(step)
		for _, n := range w.nodes {
			w.verify(n)
		}
	}
}

// newTimedID returns a UUIDv7 made at t.
func (w *world) newTimedID(t time.Time) string {
	u := uuid.UUID{}
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	w.serial++
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(w.serial>>8), byte(w.serial)
	return u.String()
}

func (w *world) request(id string, at int) {
	w.serial++
	n := w.nodes[at]
	if !n.up || n.frozen {
		return
	}
	t := &try{claim: Claim{"booking", id, fmt.Sprint(w.serial), n.member}, at: at, from: n, arrived: w.now}
	if v := n.homes.Begin(t.claim, w.clock(n)); v != Granted {
		w.denied = append(w.denied, v)
		return
	}
	w.tries = append(w.tries, t)
}

// reach returns the node that runs as m if a message from one node gets
// there, or nil.
func (w *world) reach(from *node, m Member) *node {
	for j, n := range w.nodes {
		i := slices.Index(w.nodes, from)
		if n.member.ID == m.ID && n.up && !n.frozen && !w.cut[[2]int{min(i, j), max(i, j)}] {
			return n
		}
	}
	return nil
}

// step runs the next stage of try k; it drops the try when it ends.
func (w *world) step(k int) {
	t := w.tries[k]
	n := t.from
	if t.stage == noting || t.stage == settling {
		n = t.home
	}
	if n.frozen {
		return
	}
	v := Unsure
	if n.up {
		v = w.stage(t)
	}
	if v == "" {
		return
	}
	w.tries = slices.Delete(w.tries, k, k+1)
	if v != Granted {
		w.denied = append(w.denied, v)
		w.release(t)
	}
}

func (w *world) release(t *try) {
	if !t.from.up {
		return
	}
	t.from.homes.Release(t.claim)
	for _, n := range w.nodes {
		if to := w.reach(t.from, n.member); to != nil {
			to.homes.Release(t.claim)
		}
	}
}

// stage runs one stage and returns the final verdict, or "" if t goes on.
func (w *world) stage(t *try) Verdict {
	switch t.stage {
	case asking:
		m, _ := t.from.homes.Coordinator(t.claim)
		t.home = w.reach(t.from, m)
		if t.home == nil {
			return Unsure
		}
		t.stage = deciding
	case deciding:
		if !t.home.up || t.home.frozen {
			return Unsure
		}
		t.plan = t.home.homes.PlanGrant(t.claim, w.clock(t.home))
		if t.plan.Verdict == NotCoordinator && t.hops < 2 {
			t.hops++
			t.home = w.reach(t.from, t.plan.Coordinator)
			if t.home == nil {
				return Unsure
			}
			return ""
		}
		if t.plan.Verdict != Granted {
			return t.plan.Verdict
		}
		t.stage = noting
	case noting:
		if t.asked == len(t.plan.Peers) {
			t.stage = settling
			return ""
		}
		m := t.plan.Peers[t.asked]
		t.asked++
		if to := w.reach(t.home, m); to != nil {
			t.consents = append(t.consents, to.homes.RecordPeerClaim(t.claim, m, w.clock(to)))
		}
	case settling:
		if v := t.home.homes.Resolve(t.claim, t.plan, t.consents, w.clock(t.home)); v != Granted {
			return v
		}
		t.stage = dispatching
	case dispatching:
		if v := t.from.homes.ConfirmDispatch(t.claim); v != Granted {
			return v
		}
		w.log = append(w.log, fmt.Sprintf("%v dispatch %s by %v, plan %+v, home %+v, consents %+v", w.now.Format("15:04:05.000"), t.claim.ID, t.from.member, t.plan, *t.home.homes, t.consents))
		if w.now.Sub(t.arrived) < testLimit {
			w.ran[t.claim.ID] = append(w.ran[t.claim.ID], t.arrived)
		}
		return Granted
	}
	return ""
}

// leave stops a node as planned: it hands its claims over where it can.
func (w *world) leave(n *node) {
	if !n.up || n.frozen {
		return
	}
	for _, l := range n.homes.Leave() {
		for _, o := range w.nodes {
			if to := w.reach(n, o.member); to != nil && to != n {
				to.homes.AcceptHandover(l, w.clock(to))
			}
		}
	}
	n.up = false
	if !n.cutFromStore && !w.down {
		if c, ok := n.homes.FinalChange(w.latest, w.clock(n)); ok {
			w.latest = c
		}
		delete(w.leases, n.member)
	}
}
