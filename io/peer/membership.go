package peer

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/platform"

	"github.com/pkg/errors"
)

// Run sends the queued releases to the other entries until ctx ends.
func (cm *ClaimManager) Run(ctx context.Context) error {
	for {
		select {
		case c := <-cm.releases:
			for _, to := range cm.others() {
				_ = cm.client.release(ctx, to, c)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// others returns the addresses of the other members.
func (cm *ClaimManager) others() []netip.AddrPort {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	var out []netip.AddrPort
	for m, a := range cm.addresses {
		if m != cm.self {
			out = append(out, a)
		}
	}
	return out
}

// RefreshMembers reads the registered members after this entry registered or
// renewed its registration. registered is true if the registration is new, and
// startedAt is when the registration or renewal began. Calls must not overlap.
func (cm *ClaimManager) RefreshMembers(ctx context.Context, startedAt time.Time, registered bool) error {
	cm.joining = cm.joining || registered
	latest, revision, err := cm.readLatestChange(ctx)
	if err != nil {
		return err
	}
	if cm.joining {
		cm.mu.Lock()
		cm.dedup.Join(latest, startedAt)
		cm.mu.Unlock()
		cm.joining = false
	}
	snapshot := caller.MembersSnapshot{SeqBefore: latest.Seq, SeqAfter: latest.Seq, StartedAt: startedAt}
	if snapshot.Members, err = cm.readMembers(ctx); err != nil {
		return err
	}
	cm.mu.Lock()
	next, changed := cm.dedup.NextChange(snapshot.Members, latest)
	cm.mu.Unlock()
	if changed {
		if err := cm.writeChange(ctx, next, revision); err != nil {
			return err
		}
		snapshot.SeqAfter = next.Seq
		if snapshot.Members, err = cm.readMembers(ctx); err != nil {
			return err
		}
	}
	cm.applySnapshot(ctx, snapshot, changed, next)
	return nil
}

// applySnapshot applies a snapshot of the members, unless the members changed
// while this entry wrote a view change. In that case the next refresh reads them
// again.
func (cm *ClaimManager) applySnapshot(ctx context.Context, snapshot caller.MembersSnapshot, written bool, change caller.ViewChange) {
	cm.mu.Lock()
	if next, differs := cm.dedup.NextChange(snapshot.Members, change); written && differs && next.ViewDigest != change.ViewDigest {
		cm.mu.Unlock()
		return
	}
	cm.dedup.UpdateMembers(snapshot, time.Now())
	peers := cm.dedup.PeersToQuery()
	cm.mu.Unlock()
	for _, reply := range cm.queryPeers(ctx, PeerRequest{}, peers) {
		cm.mu.Lock()
		cm.dedup.MergeState(reply)
		cm.mu.Unlock()
	}
}

func (cm *ClaimManager) readLatestChange(ctx context.Context) (caller.ViewChange, int64, error) {
	var change caller.ViewChange
	e, err := cm.store.Get(ctx, coreplatform.ClaimViewChangeKey)
	if errors.Is(err, status.ErrNotFound) {
		return change, 0, nil
	}
	if err != nil {
		return change, 0, err
	}
	return change, e.Revision, errors.Wrap(json.Unmarshal(e.Value, &change), "decode view change")
}

// writeChange replaces the latest view change in the store. If another entry
// replaced it first or the store's answer was lost, the next refresh reads the
// actual one.
func (cm *ClaimManager) writeChange(ctx context.Context, change caller.ViewChange, expectedRevision int64) error {
	v, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encode view change")
	}
	_, err = cm.store.Put(ctx, platform.Write{Key: coreplatform.ClaimViewChangeKey, Value: v, Expect: expectedRevision})
	return err
}

// readMembers reads the registered members. It skips registrations that cannot be decoded,
// which the watch of the registrations logs.
func (cm *ClaimManager) readMembers(ctx context.Context) ([]caller.Member, error) {
	list, err := cm.store.List(ctx, coreplatform.EntryPrefix)
	if err != nil {
		return nil, err
	}
	var members []caller.Member
	addresses := make(map[caller.Member]netip.AddrPort)
	for _, e := range list.KeyValues {
		m, err := peer.DecodeMember(strings.TrimPrefix(e.Key, coreplatform.EntryPrefix), e.Value)
		if err != nil {
			continue
		}
		k := caller.Member{ID: m.ID, Incarnation: m.Incarnation}
		members = append(members, k)
		addresses[k] = m.Address
	}
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.addresses = addresses
	return members, nil
}

// Leave hands this entry's claims over to the other entries before a planned
// stop.
func (cm *ClaimManager) Leave(ctx context.Context) {
	cm.mu.Lock()
	parts := cm.dedup.Leave()
	cm.mu.Unlock()
	for _, to := range cm.others() {
		for _, part := range parts {
			if cm.client.handOver(ctx, to, part) != nil {
				break
			}
		}
	}
	cm.writeFinalChange(ctx)
}

// writeFinalChange records in the store that the last entry completed a planned
// stop. Without this record, the next entry to start must wait for the outage
// hold.
func (cm *ClaimManager) writeFinalChange(ctx context.Context) {
	latest, revision, err := cm.readLatestChange(ctx)
	if err != nil {
		return
	}
	cm.mu.Lock()
	final, last := cm.dedup.FinalChange(latest, time.Now())
	cm.mu.Unlock()
	if last {
		_ = cm.writeChange(ctx, final, revision)
	}
}
