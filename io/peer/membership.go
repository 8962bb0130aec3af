package peer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"

	"github.com/pkg/errors"
)

// Run sends releases until ctx ends.
func (s *ClaimManager) Run(ctx context.Context) error {
	for {
		select {
		case c := <-s.releases:
			for _, to := range s.others() {
				_ = s.client.release(ctx, to, c)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// others returns the addresses of the other members.
func (s *ClaimManager) others() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for m, a := range s.addresses {
		if m != s.self {
			out = append(out, a)
		}
	}
	return out
}

// Verify reads the members after this entry registered, anew if joined is
// true, or kept its registration alive; begun is when that began. Calls must
// not overlap.
func (s *ClaimManager) RefreshMembers(ctx context.Context, begun time.Time, joined bool) error {
	s.joining = s.joining || joined
	latest, revision, err := s.latestChange(ctx)
	if err != nil {
		return err
	}
	if s.joining {
		s.mu.Lock()
		s.homes.Join(latest, begun)
		s.mu.Unlock()
		s.joining = false
	}
	r := caller.MembersSnapshot{SeqBefore: latest.Seq, SeqAfter: latest.Seq, StartedAt: begun}
	if r.Members, err = s.readMembers(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	next, needed := s.homes.NextChange(r.Members, latest)
	s.mu.Unlock()
	if needed {
		if err := s.writeChange(ctx, next, revision); err != nil {
			return err
		}
		r.SeqAfter = next.Seq
		if r.Members, err = s.readMembers(ctx); err != nil {
			return err
		}
	}
	s.adopt(ctx, r, needed, next)
	return nil
}

// adopt acts on a reading, unless the members changed while a change was
// written: the next reading tells then.
func (s *ClaimManager) adopt(ctx context.Context, r caller.MembersSnapshot, written bool, c caller.ViewChange) {
	s.mu.Lock()
	if again, differs := s.homes.NextChange(r.Members, c); written && differs && again.ViewDigest != c.ViewDigest {
		s.mu.Unlock()
		return
	}
	s.homes.UpdateMembers(r, time.Now())
	greet := s.homes.PeersToQuery()
	s.mu.Unlock()
	for _, a := range s.tellAll(ctx, PeerRequest{}, greet) {
		s.mu.Lock()
		s.homes.MergeState(a)
		s.mu.Unlock()
	}
}

func (s *ClaimManager) latestChange(ctx context.Context) (caller.ViewChange, int64, error) {
	var c caller.ViewChange
	e, err := s.store.Get(ctx, coreplatform.CallerChangeKey)
	if errors.Is(err, status.ErrNotFound) {
		return c, 0, nil
	}
	if err != nil {
		return c, 0, err
	}
	return c, e.Revision, errors.Wrap(json.Unmarshal(e.Value, &c), "decode change")
}

// writeChange replaces the latest change. If another entry was faster, or the
// answer was lost, the next reading tells.
func (s *ClaimManager) writeChange(ctx context.Context, c caller.ViewChange, expect int64) error {
	v, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	_, err = s.store.Put(ctx, platform.Write{Key: coreplatform.CallerChangeKey, Value: v, Expect: expect})
	return err
}

func (s *ClaimManager) readMembers(ctx context.Context) ([]caller.Member, error) {
	ch, err := s.store.List(ctx, coreplatform.EntryPrefix)
	if err != nil {
		return nil, err
	}
	var members []caller.Member
	addresses := make(map[caller.Member]netip.AddrPort)
	for _, e := range ch.Entries {
		var m peer.Member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return nil, errors.Wrap(err, "decode member")
		}
		k := caller.Member{ID: m.ID, Incarnation: m.Incarnation}
		members = append(members, k)
		addresses[k] = m.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	return members, nil
}

// Leave hands this entry's claims over to the others before a planned stop.
func (s *ClaimManager) Leave(ctx context.Context) {
	s.mu.Lock()
	legacy := s.homes.Leave()
	s.mu.Unlock()
	for _, to := range s.others() {
		for _, l := range legacy {
			if s.client.legacy(ctx, to, l) != nil {
				break
			}
		}
	}
	s.closeLast(ctx)
}

// closeLast notes in the store that the last entry stopped as planned. Without
// the note, the next one waits for the hold.
func (s *ClaimManager) closeLast(ctx context.Context) {
	latest, revision, err := s.latestChange(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	c, last := s.homes.FinalChange(latest, time.Now())
	s.mu.Unlock()
	if last {
		_ = s.writeChange(ctx, c, revision)
	}
}
