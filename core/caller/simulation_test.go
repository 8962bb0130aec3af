package caller

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Time limits of the simulated deployment.
const (
	testLeaseTTL          = 5 * time.Second
	testViewTTL           = 4 * time.Second
	testOutageHold        = time.Hour
	testKeepAliveInterval = time.Second
	testMaxDeadline       = 10 * time.Minute
)

// node is one simulated entry. A restart replaces its member and its
// deduplicator.
type node struct {
	member           Member
	dedup            *Deduplicator
	clockOffset      time.Duration
	up, frozen       bool
	storeUnreachable bool
	// slowStore delays the store's next answer until the following keep-alive;
	// delayedAnswer applies that answer.
	slowStore     bool
	delayedAnswer func()
}

// attempt is a request whose claim is in progress. Each stage runs at one node.
type attempt struct {
	claim       Claim
	nodeIndex   int
	origin      *node
	arrivedAt   time.Time
	coordinator *node
	plan        GrantPlan
	peersAsked  int
	replies     []PeerReply
	stage       int
	redirects   int
}

// Stages of an attempt.
const (
	stageLocate = iota
	stagePlan
	stageAskPeers
	stageResolve
	stageDispatch
)

// simulation is a simulated deployment with the content of the store.
type simulation struct {
	now   time.Time
	nodes []*node
	// partitioned holds the pairs of nodes, lower index first, that cannot
	// reach each other.
	partitioned  map[[2]int]bool
	leases       map[Member]time.Time
	latestChange ViewChange
	storeDown    bool
	attempts     []*attempt
	// dispatched holds the arrival times of the dispatched requests by id.
	dispatched map[string][]time.Time
	ids        []string
	serial     int64
	denied     []Verdict
	log        []string
}

func newSimulation(n int) *simulation {
	s := &simulation{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), partitioned: map[[2]int]bool{},
		leases: map[Member]time.Time{}, dispatched: map[string][]time.Time{}}
	for i := range n {
		s.nodes = append(s.nodes, &node{})
		s.startNode(i)
	}
	return s
}

func (s *simulation) localTime(n *node) time.Time { return s.now.Add(n.clockOffset) }

func (s *simulation) startNode(i int) {
	s.serial++
	previous := s.nodes[i]
	m := Member{fmt.Sprint("entry-", i), s.serial}
	s.nodes[i] = &node{member: m, dedup: NewDeduplicator(m, testViewTTL, testOutageHold), up: true,
		clockOffset: previous.clockOffset, storeUnreachable: previous.storeUnreachable}
	s.keepAlive(s.nodes[i])
}

// keepAlive renews the lease of n and makes n read the members.
func (s *simulation) keepAlive(n *node) {
	if !n.up || n.frozen || n.storeUnreachable || s.storeDown {
		return
	}
	for m, end := range s.leases {
		if s.now.After(end) || m.ID == n.member.ID && m != n.member {
			delete(s.leases, m)
		}
	}
	if n.delayedAnswer != nil {
		n.delayedAnswer()
		n.delayedAnswer = nil
	}
	_, registered := s.leases[n.member]
	s.leases[n.member] = s.now.Add(testLeaseTTL)
	if !registered {
		n.dedup.Join(s.latestChange, s.localTime(n))
	}
	r := MembersSnapshot{Members: s.members(), SeqBefore: s.latestChange.Seq, StartedAt: s.localTime(n)}
	if c, ok := n.dedup.NextChange(r.Members, s.latestChange); ok {
		s.latestChange = c
	}
	r.SeqAfter = s.latestChange.Seq
	deliver := func() {
		n.dedup.UpdateMembers(r, s.localTime(n))
		for _, m := range n.dedup.PeersToQuery() {
			if to := s.reachable(n, m); to != nil {
				n.dedup.MergeState(to.dedup.ReportState(m))
			}
		}
	}
	if n.slowStore {
		n.delayedAnswer, n.slowStore = deliver, false
		return
	}
	deliver()
}

func (s *simulation) members() []Member {
	var out []Member
	for m := range s.leases {
		out = append(out, m)
	}
	return out
}

func (s *simulation) advance(d time.Duration) {
	for d > 0 {
		step := min(d, testKeepAliveInterval)
		d -= step
		s.now = s.now.Add(step)
		for _, n := range s.nodes {
			s.keepAlive(n)
		}
	}
}

// newTimedID returns a UUIDv7 with timestamp t.
func (s *simulation) newTimedID(t time.Time) string {
	u := uuid.UUID{}
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	s.serial++
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(s.serial>>8), byte(s.serial)
	return u.String()
}

func (s *simulation) sendRequest(id string, at int) {
	s.serial++
	n := s.nodes[at]
	if !n.up || n.frozen {
		return
	}
	t := &attempt{claim: Claim{"booking", id, fmt.Sprint(s.serial), n.member}, nodeIndex: at, origin: n, arrivedAt: s.now}
	if v := n.dedup.Begin(t.claim, s.localTime(n)); v != Granted {
		s.denied = append(s.denied, v)
		return
	}
	s.attempts = append(s.attempts, t)
}

// reachable returns the node of m, or nil if the node is not running or the node
// given as from cannot send messages to it. The node may run as a later
// incarnation than m.
func (s *simulation) reachable(from *node, m Member) *node {
	for j, n := range s.nodes {
		i := slices.Index(s.nodes, from)
		if n.member.ID == m.ID && n.up && !n.frozen && !s.partitioned[[2]int{min(i, j), max(i, j)}] {
			return n
		}
	}
	return nil
}

// step runs the next stage of attempt k and removes the attempt when it ends.
func (s *simulation) step(k int) {
	t := s.attempts[k]
	n := t.origin
	if t.stage == stageAskPeers || t.stage == stageResolve {
		n = t.coordinator
	}
	if n.frozen {
		return
	}
	v := Unsure
	if n.up {
		v = s.runStage(t)
	}
	if v == "" {
		return
	}
	s.attempts = slices.Delete(s.attempts, k, k+1)
	if v != Granted {
		s.denied = append(s.denied, v)
		s.releaseClaim(t)
	}
}

func (s *simulation) releaseClaim(t *attempt) {
	if !t.origin.up {
		return
	}
	t.origin.dedup.Release(t.claim)
	for _, n := range s.nodes {
		if to := s.reachable(t.origin, n.member); to != nil {
			to.dedup.Release(t.claim)
		}
	}
}

// runStage runs one stage of t and returns the final verdict, or "" if more
// stages follow.
func (s *simulation) runStage(t *attempt) Verdict {
	switch t.stage {
	case stageLocate:
		m, _ := t.origin.dedup.Coordinator(t.claim)
		t.coordinator = s.reachable(t.origin, m)
		if t.coordinator == nil {
			return Unsure
		}
		t.stage = stagePlan
	case stagePlan:
		if !t.coordinator.up || t.coordinator.frozen {
			return Unsure
		}
		t.plan = t.coordinator.dedup.PlanGrant(t.claim, s.localTime(t.coordinator))
		if t.plan.Verdict == NotCoordinator && t.redirects < 2 {
			t.redirects++
			t.coordinator = s.reachable(t.origin, t.plan.Coordinator)
			if t.coordinator == nil {
				return Unsure
			}
			return ""
		}
		if t.plan.Verdict != Granted {
			return t.plan.Verdict
		}
		t.stage = stageAskPeers
	case stageAskPeers:
		if t.peersAsked == len(t.plan.Peers) {
			t.stage = stageResolve
			return ""
		}
		m := t.plan.Peers[t.peersAsked]
		t.peersAsked++
		if to := s.reachable(t.coordinator, m); to != nil {
			t.replies = append(t.replies, to.dedup.RecordPeerClaim(t.claim, m, s.localTime(to)))
		}
	case stageResolve:
		if v := t.coordinator.dedup.Resolve(t.claim, t.plan, t.replies, s.localTime(t.coordinator)); v != Granted {
			return v
		}
		t.stage = stageDispatch
	case stageDispatch:
		if v := t.origin.dedup.ConfirmDispatch(t.claim); v != Granted {
			return v
		}
		s.log = append(s.log, fmt.Sprintf("%v dispatch %s by %v, plan %+v, coordinator %+v, replies %+v", s.now.Format("15:04:05.000"), t.claim.ID, t.origin.member, t.plan, *t.coordinator.dedup, t.replies))
		if s.now.Sub(t.arrivedAt) < testMaxDeadline {
			s.dispatched[t.claim.ID] = append(s.dispatched[t.claim.ID], t.arrivedAt)
		}
		return Granted
	}
	return ""
}

// stopNode runs a planned stop of n, which hands its claims over to all
// reachable nodes.
func (s *simulation) stopNode(n *node) {
	if !n.up || n.frozen {
		return
	}
	for _, part := range n.dedup.Leave() {
		for _, o := range s.nodes {
			if to := s.reachable(n, o.member); to != nil && to != n {
				to.dedup.AcceptHandover(part, s.localTime(to))
			}
		}
	}
	n.up = false
	if !n.storeUnreachable && !s.storeDown {
		if c, ok := n.dedup.FinalChange(s.latestChange, s.localTime(n)); ok {
			s.latestChange = c
		}
		delete(s.leases, n.member)
	}
}
