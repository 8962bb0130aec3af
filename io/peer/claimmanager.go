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

// Limits of the claim protocol.
const (
	// claimSearchTimeout bounds the time in which a claim looks for a
	// coordinator that can decide.
	claimSearchTimeout = time.Second
	// claimRetryInterval is the mean delay between two tries.
	claimRetryInterval = 50 * time.Millisecond
	// maxCoordinatorsAsked is the maximum number of entries to ask in one try.
	// Each of them may name another one as the coordinator.
	maxCoordinatorsAsked = 3
	// maxQueuedReleases is the maximum number of releases that wait to be sent.
	// A dropped release only means that repeats of its id are refused for a
	// while.
	maxQueuedReleases = 4096
	// defaultOutageHold applies until the first configuration is known.
	defaultOutageHold = time.Hour
)

// ClaimManager runs this entry's part of the protocol that dispatches each
// request id chosen by a caller at most once: it connects a caller.Deduplicator
// to the other entries and the store. It is safe for concurrent use. Its lock is
// never held during a call to another entry or to the store.
type ClaimManager struct {
	self     caller.Member
	store    platform.Store
	client   *claimClient
	releases chan caller.Claim
	// joining is true from a registration until the view change was read after
	// it. Only RefreshMembers uses it.
	joining bool

	mu        sync.Mutex
	dedup     *caller.Deduplicator
	addresses map[caller.Member]netip.AddrPort
}

// NewClaimManager returns the ClaimManager of entry self, whose registration
// expires after ttl. The Deduplicator may use a view of the members for 4/5 of
// ttl, because this time must be shorter than ttl.
func NewClaimManager(self peer.Member, store platform.Store, ttl time.Duration) *ClaimManager {
	member := caller.Member{ID: self.ID, Incarnation: self.Incarnation}
	return &ClaimManager{
		self:      member,
		store:     store,
		client:    &claimClient{httpjson.NewClient(claimCallTimeout)},
		releases:  make(chan caller.Claim, maxQueuedReleases),
		dedup:     caller.NewDeduplicator(member, ttl*4/5, defaultOutageHold),
		addresses: make(map[caller.Member]netip.AddrPort),
	}
}

// SetOutageHold sets how long after its last contact with the store this entry
// may grant claims with the consent of all other entries.
func (cm *ClaimManager) SetOutageHold(hold time.Duration) {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.dedup.SetOutageHold(hold)
}

// Close closes idle connections.
func (cm *ClaimManager) Close() { cm.client.http.Close() }

// Claim implements the Claimer interface of package io/caller.
func (cm *ClaimManager) Claim(ctx context.Context, service, id string) (func(), error) {
	c := caller.Claim{Service: service, ID: id, Token: uuid.NewString(), From: cm.self}
	cm.mu.Lock()
	verdict := cm.dedup.Begin(c, time.Now())
	cm.mu.Unlock()
	if verdict == caller.Granted {
		verdict = cm.requestGrant(ctx, c)
	}
	if verdict == caller.Granted {
		verdict = cm.confirmDispatch(c)
	}
	if verdict == caller.Granted {
		return func() { cm.releaseClaim(c) }, nil
	}
	cm.releaseClaim(c)
	if verdict == caller.Repeated {
		return nil, status.ErrRepeatedRequest
	}
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return nil, status.RetryIn(status.ErrRepeatUnsure, caller.RetryAfter(cm.dedup.RetryDelay(id, time.Now())))
}

func (cm *ClaimManager) confirmDispatch(c caller.Claim) caller.Verdict {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return cm.dedup.ConfirmDispatch(c)
}

// requestGrant asks the coordinator of c, and retries until the verdict is final
// or claimSearchTimeout has passed.
func (cm *ClaimManager) requestGrant(ctx context.Context, c caller.Claim) caller.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimSearchTimeout)
	defer cancel()
	for {
		if v := cm.askCoordinator(ctx, c); v == caller.Granted || v == caller.Repeated {
			return v
		}
		t := time.NewTimer(claimRetryInterval/2 + rand.N(claimRetryInterval))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return caller.Unsure
		}
	}
}

// askCoordinator asks the coordinator of c. It follows redirects to another
// coordinator and asks at most maxCoordinatorsAsked entries.
func (cm *ClaimManager) askCoordinator(ctx context.Context, c caller.Claim) caller.Verdict {
	cm.mu.Lock()
	coordinator, ok := cm.dedup.Coordinator(c)
	cm.mu.Unlock()
	if !ok {
		return caller.Unsure
	}
	resp := ClaimResponse{Verdict: caller.NotCoordinator, Coordinator: coordinator}
	for range maxCoordinatorsAsked {
		if resp.Coordinator == cm.self {
			resp = cm.decide(ctx, c)
		} else {
			var err error
			if resp, err = cm.client.requestClaim(ctx, cm.address(resp.Coordinator), c); err != nil {
				return caller.Unsure
			}
		}
		if resp.Verdict != caller.NotCoordinator {
			return resp.Verdict
		}
	}
	return caller.Unsure
}

func (cm *ClaimManager) address(m caller.Member) netip.AddrPort {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return cm.addresses[m]
}

// decide grants or refuses a claim as the coordinator of its id.
func (cm *ClaimManager) decide(ctx context.Context, c caller.Claim) ClaimResponse {
	cm.mu.Lock()
	plan := cm.dedup.PlanGrant(c, time.Now())
	cm.mu.Unlock()
	if plan.Verdict != caller.Granted {
		return ClaimResponse{plan.Verdict, plan.Coordinator}
	}
	replies := cm.collectReplies(ctx, PeerRequest{Claim: &c}, plan)
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return ClaimResponse{Verdict: cm.dedup.Resolve(c, plan, replies, time.Now())}
}

// collectReplies asks all peers of a plan concurrently if the plan requires all
// of them. Otherwise it asks one after another until one has a verdict other than
// Unsure.
func (cm *ClaimManager) collectReplies(ctx context.Context, req PeerRequest, plan caller.GrantPlan) []caller.PeerReply {
	if plan.RequireAll {
		return cm.queryPeers(ctx, req, plan.Peers)
	}
	for _, m := range plan.Peers {
		req.To = m
		reply, err := cm.client.sendPeerRequest(ctx, cm.address(m), req)
		if err == nil && reply.Verdict != caller.Unsure {
			return []caller.PeerReply{reply}
		}
	}
	return nil
}

// queryPeers sends req to each of the members concurrently and returns their
// replies. A member that does not reply counts as Unsure.
func (cm *ClaimManager) queryPeers(ctx context.Context, req PeerRequest, to []caller.Member) []caller.PeerReply {
	replies := make(chan caller.PeerReply, len(to))
	for _, m := range to {
		go func() {
			reply, err := cm.client.sendPeerRequest(ctx, cm.address(m), PeerRequest{To: m, Claim: req.Claim})
			if err != nil {
				reply = caller.PeerReply{Verdict: caller.Unsure}
			}
			replies <- reply
		}()
	}
	out := make([]caller.PeerReply, 0, len(to))
	for range to {
		out = append(out, <-replies)
	}
	return out
}

// handlePeerRequest records the claim of a request from another entry, or
// reports this entry's state if the request has none.
func (cm *ClaimManager) handlePeerRequest(req PeerRequest) caller.PeerReply {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	if req.Claim == nil {
		return cm.dedup.ReportState(req.To)
	}
	return cm.dedup.RecordPeerClaim(*req.Claim, req.To, time.Now())
}

func (cm *ClaimManager) removeClaim(c caller.Claim) {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.dedup.Release(c)
}

func (cm *ClaimManager) acceptHandover(part caller.Handover) {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.dedup.AcceptHandover(part, time.Now())
}

// releaseClaim removes a claim from this entry and queues its release at the
// other entries. It drops that release if the queue is full.
func (cm *ClaimManager) releaseClaim(c caller.Claim) {
	cm.removeClaim(c)
	select {
	case cm.releases <- c:
	default:
	}
}
