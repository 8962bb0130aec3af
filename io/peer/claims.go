package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/platform"

	"github.com/google/uuid"
)

// Limits of a claim.
const (
	// claimLimit bounds the search for an entry that decides.
	claimLimit = time.Second
	// claimPause is the mean pause between two tries.
	claimPause = 50 * time.Millisecond
	// maxHops bounds how often one entry may name another as the home.
	maxHops = 3
	// maxReleases bounds the releases that wait to be sent. One that is
	// dropped only makes a repeat of that id be refused for a while.
	maxReleases = 4096
	// defaultHold applies before the first configuration.
	defaultHold = time.Hour
)

// Claims is this entry's part in deciding on callers' ids. It is safe for
// concurrent use; its lock is never held during a call.
type ClaimManager struct {
	self     caller.Member
	store    platform.Store
	client   *claimClient
	releases chan caller.Claim
	// joining is true from a registration to the first reading after it. It
	// belongs to Verify.
	joining bool

	mu        sync.Mutex
	homes     *caller.Deduplicator
	addresses map[caller.Member]netip.AddrPort
}

// NewClaims returns the part of entry self, whose registration lapses after
// ttl.
func NewClaimManager(self peer.Member, s platform.Store, ttl time.Duration) *ClaimManager {
	m := caller.Member{ID: self.ID, Incarnation: self.Incarnation}
	return &ClaimManager{
		self:      m,
		store:     s,
		client:    &claimClient{httpjson.NewClient(claimTimeout)},
		releases:  make(chan caller.Claim, maxReleases),
		homes:     caller.NewDeduplicator(m, ttl*4/5, defaultHold),
		addresses: make(map[caller.Member]netip.AddrPort),
	}
}

// SetHold sets how long after it last reached the store this entry may decide
// with the consent of all others.
func (s *ClaimManager) SetOutageHold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes.SetOutageHold(d)
}

// Close ends idle connections.
func (s *ClaimManager) Close() { s.client.http.Close() }

// Claim implements the callers' interface.
func (s *ClaimManager) Claim(ctx context.Context, service, id string) (func(), error) {
	c := caller.Claim{Service: service, ID: id, Token: uuid.NewString(), From: s.self}
	s.mu.Lock()
	v := s.homes.Begin(c, time.Now())
	s.mu.Unlock()
	if v == caller.Granted {
		v = s.search(ctx, c)
	}
	if v == caller.Granted {
		v = s.dispatch(c)
	}
	if v == caller.Granted {
		return func() { s.giveUp(c) }, nil
	}
	s.giveUp(c)
	if v == caller.Repeated {
		return nil, status.ErrRepeatedRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, status.RetryIn(status.ErrRepeatUnsure, caller.RetryAfter(s.homes.RetryDelay(id, time.Now())))
}

func (s *ClaimManager) dispatch(c caller.Claim) caller.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homes.ConfirmDispatch(c)
}

// search asks the home of c, and again while there is none that is sure.
func (s *ClaimManager) search(ctx context.Context, c caller.Claim) caller.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	for {
		if v := s.askHome(ctx, c); v == caller.Granted || v == caller.Repeated {
			return v
		}
		t := time.NewTimer(claimPause/2 + rand.N(claimPause))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return caller.Unsure
		}
	}
}

// askHome asks the home of c, following at most maxHops entries that name
// another one.
func (s *ClaimManager) askHome(ctx context.Context, c caller.Claim) caller.Verdict {
	s.mu.Lock()
	home, ok := s.homes.Coordinator(c)
	s.mu.Unlock()
	if !ok {
		return caller.Unsure
	}
	a := ClaimResponse{Verdict: caller.NotCoordinator, Coordinator: home}
	for range maxHops {
		if a.Coordinator == s.self {
			a = s.decide(ctx, c)
		} else {
			var err error
			if a, err = s.client.ask(ctx, s.address(a.Coordinator), c); err != nil {
				return caller.Unsure
			}
		}
		if a.Verdict != caller.NotCoordinator {
			return a.Verdict
		}
	}
	return caller.Unsure
}

func (s *ClaimManager) address(m caller.Member) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[m]
}

// decide grants or refuses a claim as its home.
func (s *ClaimManager) decide(ctx context.Context, c caller.Claim) ClaimResponse {
	s.mu.Lock()
	p := s.homes.PlanGrant(c, time.Now())
	s.mu.Unlock()
	if p.Verdict != caller.Granted {
		return ClaimResponse{p.Verdict, p.Coordinator}
	}
	consents := s.consents(ctx, PeerRequest{Claim: &c}, p)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ClaimResponse{Verdict: s.homes.Resolve(c, p, consents, time.Now())}
}

// consents asks all members of a plan at once, or one after the other until
// one consents.
func (s *ClaimManager) consents(ctx context.Context, n PeerRequest, p caller.GrantPlan) []caller.PeerReply {
	if p.RequireAll {
		return s.tellAll(ctx, n, p.Peers)
	}
	for _, m := range p.Peers {
		n.To = m
		a, err := s.client.note(ctx, s.address(m), n)
		if err == nil && a.Verdict != caller.Unsure {
			return []caller.PeerReply{a}
		}
	}
	return nil
}

// tellAll sends a note to each member and returns the answers that came.
func (s *ClaimManager) tellAll(ctx context.Context, n PeerRequest, to []caller.Member) []caller.PeerReply {
	answers := make(chan caller.PeerReply, len(to))
	for _, m := range to {
		go func() {
			a, err := s.client.note(ctx, s.address(m), PeerRequest{To: m, Claim: n.Claim})
			if err != nil {
				a = caller.PeerReply{Verdict: caller.Unsure}
			}
			answers <- a
		}()
	}
	out := make([]caller.PeerReply, 0, len(to))
	for range to {
		out = append(out, <-answers)
	}
	return out
}

// noted answers a note or a greeting.
func (s *ClaimManager) noted(n PeerRequest) caller.PeerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Claim == nil {
		return s.homes.ReportState(n.To)
	}
	return s.homes.RecordPeerClaim(*n.Claim, n.To, time.Now())
}

func (s *ClaimManager) forget(c caller.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes.Release(c)
}

func (s *ClaimManager) inherit(l caller.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes.AcceptHandover(l, time.Now())
}

// giveUp forgets a claim here and lets the others know.
func (s *ClaimManager) giveUp(c caller.Claim) {
	s.forget(c)
	select {
	case s.releases <- c:
	default:
	}
}
